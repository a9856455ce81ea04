//! The driver's own random numbers (`SplitMix64`), the same on every platform.

/// A seeded generator.
pub struct Random(u64);

impl Random {
    /// A generator that starts from a seed.
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// The next 64 random bits.
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 to `end`, the end excluded; 0 for an empty range.
    pub fn below(&mut self, end: u64) -> u64 {
        self.bits() % end.max(1)
    }

    /// A number from `start` to `end`, the end excluded.
    pub fn between(&mut self, start: i64, end: i64) -> i64 {
        start + (self.bits() % (end - start).max(1) as u64) as i64
    }

    /// True in so many of a thousand cases.
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }

    /// One of some values.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}
