//! A hash that is stable across processes and releases (64-bit FNV-1a), and rendezvous hashing with
//! it.

use std::net::SocketAddr;

/// An incremental 64-bit FNV-1a hash.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv(u64);

impl Fnv {
    /// Returns the hash of no bytes.
    pub(crate) const fn new() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }

    /// Adds a part and a separator, so that the boundaries between parts affect the hash.
    pub(crate) fn add_part(self, bytes: &[u8]) -> Fnv {
        bytes.iter().chain(&[0xff]).fold(self, |h, b| h.add_byte(*b))
    }

    /// Adds a byte.
    pub(crate) fn add_byte(self, b: u8) -> Fnv {
        Fnv((self.0 ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3))
    }

    /// Returns the hash of the bytes added.
    pub(crate) fn finish(self) -> u64 {
        self.0
    }
}

/// Returns the rank of an address for a key, by rendezvous hashing. The address with the highest
/// rank is the key's home, so removing an address moves only the keys that it was home of.
pub(crate) fn rendezvous_rank(key: u64, address: SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match address {
        SocketAddr::V4(a) => bytes[..4].copy_from_slice(&a.ip().octets()),
        SocketAddr::V6(a) => bytes[..16].copy_from_slice(&a.ip().octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    let mixed = Fnv::new().add_part(&key.to_be_bytes()).add_part(&bytes).finish();
    // The last input bytes barely affect the high bits of an FNV hash.
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}
