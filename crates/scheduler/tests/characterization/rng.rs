//! Seeded random number generator (`SplitMix64`), with the same output on every platform.

/// A seeded generator of random numbers; holds the state of `SplitMix64`.
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    /// Returns the next 64 random bits.
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from 0 up to but excluding `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end.max(1)
    }

    /// Returns a number from `start` up to but excluding `end`; `start` if the range is empty.
    pub fn in_range(&mut self, start: i64, end: i64) -> i64 {
        start + (self.next_u64() % (end - start).max(1) as u64) as i64
    }

    /// Returns true with a probability of `per_mille` divided by 1000.
    pub fn chance_per_mille(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// Returns one of the values, which must not be empty.
    pub fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}
