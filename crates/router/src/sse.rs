//! Incremental parser of server-sent events.

/// Maximum size of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events and extracts their `data`.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    data: Vec<u8>,
    has_data: bool,
}

/// Error for an event larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Parser {
    /// Processes more bytes of the stream. Returns the data of the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, TooLarge> {
        let mut events = Vec::new();
        for &b in bytes {
            if b != b'\n' {
                self.line.push(b);
            } else {
                events.extend(self.end_line());
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(TooLarge);
            }
        }
        Ok(events)
    }

    fn end_line(&mut self) -> Option<Vec<u8>> {
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        if line.is_empty() {
            let is_complete = std::mem::take(&mut self.has_data);
            return is_complete.then(|| std::mem::take(&mut self.data));
        }
        if let Some(rest) = line.strip_prefix(b"data:") {
            if self.has_data {
                self.data.push(b'\n');
            }
            self.data.extend_from_slice(rest.strip_prefix(b" ").unwrap_or(rest));
            self.has_data = true;
        }
        None
    }
}
