//! A hash that is the same in every process and release: 64-bit FNV-1a.

/// A hash in the making.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv(u64);

impl Fnv {
    /// The hash of nothing.
    pub(crate) const fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    /// Adds a part; where one part ends and the next begins makes a difference.
    pub(crate) fn part(self, bytes: &[u8]) -> Fnv {
        bytes.iter().chain(&[0xff]).fold(self, |h, b| h.byte(*b))
    }

    /// Adds a byte.
    pub(crate) fn byte(self, b: u8) -> Fnv {
        Fnv((self.0 ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
    }

    /// The hash so far.
    pub(crate) fn value(self) -> u64 {
        self.0
    }
}
