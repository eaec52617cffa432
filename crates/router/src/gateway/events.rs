//! Splits a replica's event stream into complete events, in order and without duplicates.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Size of the longest end of an event, in bytes: a line end and an empty line with a carriage return.
const MAX_END_BYTES: usize = 3;

/// Why a stream cannot continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// An event exceeds the maximum size.
    TooLarge,
    /// An event is missing.
    Gap,
}

/// Splits a stream into complete events and checks their numbers. Keeps its position when the stream
/// continues at another replica.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the start of `buf` in which no event ends. Searching them again for each received part would
    /// take time that grows with the square of an event's size.
    searched: usize,
    last: Option<u64>,
    count: u64,
}

impl EventSplitter {
    /// Returns a splitter for a stream that continues after event number `last`.
    pub fn resume_after(last: Option<u64>) -> EventSplitter {
        EventSplitter { last, ..EventSplitter::default() }
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events [`EventSplitter::feed`] has returned.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of bytes buffered of an incomplete event.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards a buffered incomplete event after its replica has failed.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }

    /// Appends received bytes. Returns the events that they complete, without those returned before.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = end_of_event(&self.buf, self.searched) {
            let event = self.buf.split_to(end);
            self.searched = 0;
            if self.is_new(&event)? {
                self.count += 1;
                out.extend_from_slice(&event);
            }
        }
        // The end of an event may be received in parts; all but its last byte may be here.
        self.searched = self.buf.len().saturating_sub(MAX_END_BYTES - 1);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(out.freeze())
    }

    /// Returns whether an event was not returned before and records its number. An event without a
    /// number always counts as new.
    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(n) = event_number(event) else { return Ok(true) };
        match self.last {
            Some(last) if n <= last => Ok(false),
            Some(last) if n > last + 1 => Err(EventError::Gap),
            _ => {
                self.last = Some(n);
                Ok(true)
            }
        }
    }
}

/// Returns the end of the first event, after the empty line that terminates it. That line does not begin before
/// `from`.
fn end_of_event(buf: &[u8], from: usize) -> Option<usize> {
    let is_line_end = |at: usize| buf[at] == b'\n';
    let end_of_blank_line = |at: usize| match buf.get(at + 1)? {
        b'\n' => Some(at + 2),
        b'\r' if buf.get(at + 2) == Some(&b'\n') => Some(at + 3),
        _ => None,
    };
    (from..buf.len()).filter(|at| is_line_end(*at)).find_map(end_of_blank_line)
}

/// Returns the number in the `id` field of an event.
fn event_number(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let id = lines.into_iter().find_map(|l| l.strip_prefix(b"id:"))?;
    std::str::from_utf8(id.trim_ascii()).ok()?.parse().ok()
}
