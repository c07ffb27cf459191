//! Random numbers, split by what they are for: one part of the world that draws more does not change what
//! another draws, so that a fault can be added to a day without drawing its traffic anew.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub type Rng = ChaCha8Rng;

/// The generator of one part: the same for the same seed, name and number, on every machine.
pub fn rng(seed: u64, part: &str, number: u64) -> Rng {
    ChaCha8Rng::seed_from_u64(mix(part
        .bytes()
        .fold(mix(seed ^ 0x5851_f42d_4c95_7f2d), |hash, byte| mix(hash ^ u64::from(byte)))
        ^ number))
}

/// Spreads a number over 64 bits (the finalizer of SplitMix64).
pub fn mix(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
