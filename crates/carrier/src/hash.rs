//! The same number for the same words in every process and build: digests travel.

/// FNV-1a over each field with its length, so that no two rows of fields run into each other; mixed at the end, since
/// digests are joined by exclusive or.
pub(crate) fn hash<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut take = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    for field in fields {
        (field.len() as u64).to_le_bytes().into_iter().for_each(&mut take);
        field.iter().copied().for_each(&mut take);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
