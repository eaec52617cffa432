//! Formats in which documents are submitted.

use super::document::{Document, InvalidDocument};

/// Returns why JSON cannot be read, without the values and names in it, which may be API keys.
pub fn reason(e: &serde_json::Error) -> String {
    let text = e.to_string();
    // Other errors quote words of this program, or one in the place of a kind, where no key belongs.
    let is_quoting = text.starts_with("invalid ") || text.starts_with("unknown field ");
    let start = text.find(['"', '`']).filter(|_| is_quoting);
    let end = |start: usize| match text[start..].starts_with('"') {
        true => text.rfind('"'),
        false => text.rfind("`, expected").or(text.rfind("`, there are")),
    };
    let quoted = start.and_then(|start| Some((start, end(start)?)));
    match quoted {
        Some((start, end)) => format!("{}{}", text[..start].trim_end(), &text[end + 1..]),
        None => text,
    }
}

/// Parses and validates a document in the native format: JSON with the field names of [`Document`].
pub fn parse_json(source: &str) -> Result<Document, InvalidDocument> {
    let d: Document = serde_json::from_str(source).map_err(|e| InvalidDocument::new(reason(&e)))?;
    d.validate()?;
    Ok(d)
}

/// Maximum number of values in a document, by [`count_values`]. A parsed value takes many times its size.
pub const MAX_VALUES: usize = 512 * 1024;

/// Returns an upper bound of the number of values in a JSON text.
pub fn count_values(source: &str) -> usize {
    source.bytes().filter(|b| matches!(b, b',' | b'[' | b'{')).count() + 1
}

/// A document format. Parsing is deterministic: every process gets the same document from a source.
pub trait DocumentFormat: 'static {
    /// Parses and validates a document.
    fn parse(source: &str) -> Result<Document, InvalidDocument>;
}
