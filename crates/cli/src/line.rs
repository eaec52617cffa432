//! Parses log lines, in the JSON and the plain text form that processes write.

use serde_json::Value;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Timestamp in milliseconds since the Unix epoch.
    pub ms: u64,
    /// Number of the event, if the line has one.
    pub event: Option<u16>,
    /// The whole line, as it was read.
    pub text: String,
}

impl Line {
    /// Parses a line; returns `None` for other text, such as the message of a panic.
    pub fn parse(text: &str) -> Option<Line> {
        let (ms, event) =
            if text.starts_with('{') { parse_json(text)? } else { parse_plain(text)? };
        Some(Line { ms, event, text: text.to_owned() })
    }

    /// Returns whether the value of any field equals `id`.
    pub fn mentions(&self, id: &str) -> bool {
        match serde_json::from_str::<Value>(&self.text) {
            Ok(Value::Object(fields)) => fields.values().any(|v| v.as_str() == Some(id)),
            _ => self.text.split(' ').any(|w| w.split_once('=').is_some_and(|(_, v)| v == id)),
        }
    }
}

fn parse_json(text: &str) -> Option<(u64, Option<u16>)> {
    let v: Value = serde_json::from_str(text).ok()?;
    let event = v["event"].as_u64().and_then(|n| u16::try_from(n).ok());
    Some((v["ms"].as_u64()?, event))
}

fn parse_plain(text: &str) -> Option<(u64, Option<u16>)> {
    let mut fields = text.split(' ');
    let ms = fields.next()?.parse().ok()?;
    let event = fields.nth(1).and_then(|w| w.strip_prefix("CFE")).and_then(|n| n.parse().ok());
    Some((ms, event))
}
