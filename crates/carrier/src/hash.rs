//! A hash that is the same in every process and build, since digests are sent between processes.

/// FNV-1a over each field preceded by its length, so that different sequences of fields never have the same
/// input bytes. The result is mixed at the end, since digests are combined by exclusive or.
pub(crate) fn hash<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut mix_byte = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    for field in fields {
        (field.len() as u64).to_le_bytes().into_iter().for_each(&mut mix_byte);
        field.iter().copied().for_each(&mut mix_byte);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
