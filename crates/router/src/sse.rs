//! Server-sent events, as engines send them.

/// The largest event, in bytes.
pub const EVENT_CAP: usize = 1024 * 1024;

/// Cuts a stream of bytes into the `data` of its events.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    data: Vec<u8>,
    any: bool,
}

/// An event that is too large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

impl Parser {
    /// Takes more bytes; returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Vec<u8>>, TooLarge> {
        let mut events = Vec::new();
        for &b in bytes {
            if b != b'\n' {
                self.line.push(b);
            } else {
                events.extend(self.end_line());
            }
            if self.line.len() + self.data.len() > EVENT_CAP {
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
            let whole = std::mem::take(&mut self.any);
            return whole.then(|| std::mem::take(&mut self.data));
        }
        if let Some(rest) = line.strip_prefix(b"data:") {
            if self.any {
                self.data.push(b'\n');
            }
            self.data.extend_from_slice(rest.strip_prefix(b" ").unwrap_or(rest));
            self.any = true;
        }
        None
    }
}
