//! A hash that stands in for random numbers, so that decisions can be repeated.

/// Maps a number to the unit interval `[0, 1)` (the finalizer of SplitMix64).
pub fn unit_hash(n: u64) -> f64 {
    let z = (n ^ (n >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
