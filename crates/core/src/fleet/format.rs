//! Formats in which documents are submitted.

use super::document::{Document, InvalidDocument};

/// Parses and validates a document in the native format: JSON with the field names of [`Document`].
pub fn parse_json(source: &str) -> Result<Document, InvalidDocument> {
    let d: Document =
        serde_json::from_str(source).map_err(|e| InvalidDocument::new(e.to_string()))?;
    d.validate()?;
    Ok(d)
}

/// A document format. Parsing is deterministic: every process gets the same document from a source.
pub trait DocumentFormat: 'static {
    /// Parses and validates a document.
    fn parse(source: &str) -> Result<Document, InvalidDocument>;
}
