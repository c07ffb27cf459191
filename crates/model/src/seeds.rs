//! Deterministic random numbers, with a separate stream for each part of the world. A part that draws more
//! numbers does not change what the others draw, so that a fault can be added to a scenario without changing
//! its traffic.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The generator of one stream.
pub type Rng = ChaCha8Rng;

/// Creates the generator of one stream. The same seed, stream and index give the same numbers on every
/// machine.
pub fn rng(seed: u64, stream: &str, index: u64) -> Rng {
    ChaCha8Rng::seed_from_u64(splitmix64(
        stream
            .bytes()
            .fold(splitmix64(seed ^ 0x5851_f42d_4c95_7f2d), |hash, byte| splitmix64(hash ^ u64::from(byte)))
            ^ index,
    ))
}

/// Hashes a number to 64 well-mixed bits: one step of SplitMix64, with its finalizer.
pub fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
