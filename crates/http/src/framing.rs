//! Limit on the bytes of a chunked body that are not part of the body.

/// Bytes of chunk sizes, extensions and trailers that are accepted without any byte of the body.
const FREE_BYTES: u64 = 16 * 1024;

/// Further such bytes that are accepted for each byte of the body. A chunk of one byte may have a short extension.
const BYTES_PER_BODY_BYTE: u64 = 128;

/// Counts the bytes of chunk sizes, extensions and trailers. Decoders skip these without a limit of their own.
#[derive(Clone, Copy, Debug)]
pub struct FramingLimit {
    left: u64,
}

impl Default for FramingLimit {
    fn default() -> FramingLimit {
        FramingLimit { left: FREE_BYTES }
    }
}

impl FramingLimit {
    /// Records that a decoder consumed `consumed` bytes, `body` of which were part of the body. Returns whether
    /// the others are within the limit.
    pub fn record(&mut self, consumed: usize, body: usize) -> bool {
        let framing = consumed.saturating_sub(body) as u64;
        let allowed = self.left.saturating_add(body as u64 * BYTES_PER_BODY_BYTE);
        self.left = allowed.saturating_sub(framing);
        framing <= allowed
    }
}
