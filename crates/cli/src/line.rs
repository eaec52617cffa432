//! Log lines, in both forms in which processes write them.

use serde_json::Value;

/// One log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was written, in milliseconds since 1970.
    pub ms: u64,
    /// The event's number, if it tells one.
    pub event: Option<u16>,
    /// The line as written.
    pub text: String,
}

impl Line {
    /// Reads a line; none if it is not one of a log, such as the message of a panic.
    pub fn read(text: &str) -> Option<Line> {
        let (ms, event) = if text.starts_with('{') { json(text)? } else { plain(text)? };
        Some(Line { ms, event, text: text.to_owned() })
    }

    /// Whether it names `id`, as a whole value.
    pub fn names(&self, id: &str) -> bool {
        match serde_json::from_str::<Value>(&self.text) {
            Ok(Value::Object(fields)) => fields.values().any(|v| v.as_str() == Some(id)),
            _ => self.text.split(' ').any(|w| w.split_once('=').is_some_and(|(_, v)| v == id)),
        }
    }
}

fn json(text: &str) -> Option<(u64, Option<u16>)> {
    let v: Value = serde_json::from_str(text).ok()?;
    let event = v["event"].as_u64().and_then(|n| u16::try_from(n).ok());
    Some((v["ms"].as_u64()?, event))
}

fn plain(text: &str) -> Option<(u64, Option<u16>)> {
    let mut words = text.split(' ');
    let ms = words.next()?.parse().ok()?;
    let event = words.nth(1).and_then(|w| w.strip_prefix("CFE")).and_then(|n| n.parse().ok());
    Some((ms, event))
}
