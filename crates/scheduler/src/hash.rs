//! Hash functions used in place of random numbers, so that decisions are reproducible.

/// Spreads numbers that are close together over the whole range (Fibonacci hashing).
pub fn fibonacci_hash(number: u64) -> u64 {
    number.wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

/// Maps a number to the unit interval `[0, 1)` (the finalizer of `SplitMix64`).
pub fn hash_to_unit_interval(number: u64) -> f64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
