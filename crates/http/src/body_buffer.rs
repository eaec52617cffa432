//! Buffers of bodies that are being received.
//!
//! A long body has memory of its own from the system. It is used as far as bytes arrive, is not copied when the body
//! grows, and goes back to the system when the body is dropped, whatever else the process has allocated meanwhile.

use bytes::{Bytes, BytesMut};
use cypressfork_core::code::Code;
use memmap2::{Advice, MmapMut};

/// Size of a body above which it has memory of its own, in bytes.
const LONG_BODY_BYTES: usize = 64 * 1024;

/// Size of the first buffer of a body in bytes; most bodies fit into it.
const FIRST_BYTES: usize = 4 * 1024;

/// Step in which the system provides memory, in bytes, at most.
const PAGE_BYTES: usize = 64 * 1024;

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    max_bytes: usize,
    declared: Option<usize>,
    /// The body as long as it is short.
    short: BytesMut,
    long: Option<LongBody>,
}

/// A body in memory of its own.
#[derive(Debug)]
struct LongBody {
    memory: MmapMut,
    len: usize,
}

impl LongBody {
    /// Returns an empty body of at most `max_bytes`.
    fn new(max_bytes: usize) -> Result<LongBody, Code> {
        let memory = MmapMut::map_anon(max_bytes).map_err(|_| Code::Overloaded)?;
        // With huge pages a few bytes could take megabytes. Systems without them reject the advice.
        let _ = memory.advise(Advice::NoHugePage);
        Ok(LongBody { memory, len: 0 })
    }

    fn push(&mut self, part: &[u8]) {
        self.memory[self.len..self.len + part.len()].copy_from_slice(part);
        self.len += part.len();
    }
}

impl AsRef<[u8]> for LongBody {
    fn as_ref(&self) -> &[u8] {
        &self.memory[..self.len]
    }
}

impl BodyBuffer {
    /// Returns an empty body of at most `max_bytes`, of which `declared` bytes will be received if that is known.
    pub fn new(declared: Option<u64>, max_bytes: usize) -> BodyBuffer {
        let declared = declared.and_then(|n| usize::try_from(n).ok());
        BodyBuffer { max_bytes, declared, short: BytesMut::new(), long: None }
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.long.as_ref().map_or(self.short.len(), |l| l.len)
    }

    /// Returns whether no byte was received.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the body uses, in bytes.
    pub fn capacity(&self) -> usize {
        let long = self.long.as_ref();
        long.map_or(self.short.capacity(), |l| {
            l.len.next_multiple_of(PAGE_BYTES).min(l.memory.len())
        })
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    /// Fails with [`Code::BodyTooLarge`] if the body is too large, and with [`Code::Overloaded`] if the system has no
    /// memory for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Code> {
        let len = self.len() + part.len();
        if len > self.max_bytes {
            return Err(Code::BodyTooLarge);
        }
        if let Some(long) = &mut self.long {
            long.push(part);
            return Ok(());
        }
        if len <= LONG_BODY_BYTES {
            self.reserve_short(len);
            self.short.extend_from_slice(part);
            return Ok(());
        }
        let expected = self.declared.unwrap_or(self.max_bytes).clamp(len, self.max_bytes);
        let mut long = LongBody::new(expected)?;
        self.max_bytes = expected;
        long.push(&std::mem::take(&mut self.short));
        long.push(part);
        self.long = Some(long);
        Ok(())
    }

    /// Makes room for `len` bytes in all.
    fn reserve_short(&mut self, len: usize) {
        if len > self.short.capacity() {
            let expected = self.declared.unwrap_or(FIRST_BYTES).clamp(1, FIRST_BYTES);
            let capacity = expected.max(len).max(2 * self.short.capacity());
            self.short.reserve(capacity.min(LONG_BODY_BYTES) - self.short.len());
        }
    }

    /// Returns the whole body.
    pub fn into_bytes(self) -> Bytes {
        match self.long {
            Some(long) => Bytes::from_owner(long),
            None => self.short.freeze(),
        }
    }
}
