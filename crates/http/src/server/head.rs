//! Decodes the heads of requests with any number of header fields.
//!
//! The decoder of the library takes up to 96 fields. A longer head is parsed here, and the decoder gets the fields that
//! concern the connection and the framing, so that it checks them as in any other head.

use actix_codec::Decoder;
use actix_http::Request;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message};
use actix_http::header::{HeaderName, HeaderValue};
use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};

/// Number of fields for which there is room at first.
const FIRST_FIELDS: usize = 256;

/// Minimum size of a header field in bytes: its name, the colon and the line end.
const MIN_FIELD_BYTES: usize = 4;

/// Fields that concern the connection and the framing.
const FRAMING_FIELDS: [&str; 6] =
    ["host", "connection", "content-length", "transfer-encoding", "upgrade", "expect"];

/// Decodes the head of a request or a part of its body. Returns `None` if more bytes are needed.
///
/// # Errors
/// Fails if the bytes are not valid.
pub fn decode(
    codec: &mut Codec,
    buf: &mut BytesMut,
) -> Result<Option<Message<Request>>, ParseError> {
    match codec.decode(buf) {
        // Also the error for too many fields.
        Err(ParseError::TooLarge) => decode_long_head(codec, buf),
        decoded => decoded,
    }
}

/// Returns the number of fields of the head at the start of `buf`, 0 if it is incomplete.
pub fn field_count(buf: &[u8]) -> usize {
    let last = buf.iter().rposition(|b| *b == b'\n').unwrap_or(0);
    let mut lines = buf[..last].split(|b| *b == b'\n');
    let is_end = |line: &[u8]| matches!(line, b"" | b"\r");
    // The first line may follow empty ones.
    lines.by_ref().find(|line| !is_end(line));
    lines.position(is_end).unwrap_or(0)
}

/// The name and the value of a header field, as ranges of the head.
type FieldRange = ((usize, usize), (usize, usize));

/// What a long head consists of.
struct LongHead {
    /// The bytes of the head.
    length: usize,
    /// The range of the first line.
    first_line: (usize, usize),
    fields: Vec<FieldRange>,
}

fn decode_long_head(
    codec: &mut Codec,
    buf: &mut BytesMut,
) -> Result<Option<Message<Request>>, ParseError> {
    let Some(parsed) = parse(buf)? else { return Ok(None) };
    let head = buf.split_to(parsed.length).freeze();
    let is_framing = |f: &&FieldRange| {
        let name = &head[f.0.0..f.0.1];
        FRAMING_FIELDS.iter().any(|n| name.eq_ignore_ascii_case(n.as_bytes()))
    };
    let mut short = BytesMut::from(&head[parsed.first_line.0..parsed.first_line.1]);
    for ((name, name_end), (value, value_end)) in parsed.fields.iter().filter(is_framing) {
        short.extend_from_slice(&head[*name..*name_end]);
        short.extend_from_slice(b": ");
        short.extend_from_slice(&head[*value..*value_end]);
        short.extend_from_slice(b"\r\n");
    }
    short.extend_from_slice(b"\r\n");
    let Some(Message::Item(mut req)) = codec.decode(&mut short)? else {
        return Err(ParseError::Header);
    };
    for f in parsed.fields.iter().filter(|f| !is_framing(f)) {
        append_field(&mut req, &head, f)?;
    }
    Ok(Some(Message::Item(req)))
}

fn append_field(req: &mut Request, head: &Bytes, f: &FieldRange) -> Result<(), ParseError> {
    let ((name, name_end), (value, value_end)) = *f;
    let name = HeaderName::from_bytes(&head[name..name_end]).map_err(|_| ParseError::Header)?;
    let value = HeaderValue::from_maybe_shared(head.slice(value..value_end))
        .map_err(|_| ParseError::Header)?;
    req.head_mut().headers.append(name, value);
    Ok(())
}

/// Finds the fields of a head. Returns `None` if it is incomplete.
fn parse(buf: &[u8]) -> Result<Option<LongHead>, ParseError> {
    let mut room = FIRST_FIELDS;
    loop {
        let mut fields = vec![EMPTY_HEADER; room];
        let mut parsed = httparse::Request::new(&mut fields);
        match parsed.parse(buf) {
            Ok(Status::Partial) => return Ok(None),
            Ok(Status::Complete(length)) => {
                let range = |part: &[u8]| match part.is_empty() {
                    true => (0, 0),
                    false => {
                        let start = part.as_ptr() as usize - buf.as_ptr() as usize;
                        (start, start + part.len())
                    }
                };
                // Empty lines may come before the first one.
                let start = range(parsed.method.unwrap_or_default().as_bytes()).0;
                let line = buf[start..].iter().position(|b| *b == b'\n').map_or(0, |n| n + 1);
                let fields =
                    parsed.headers.iter().map(|f| (range(f.name.as_bytes()), range(f.value)));
                let first_line = (start, start + line);
                return Ok(Some(LongHead { length, first_line, fields: fields.collect() }));
            }
            Err(httparse::Error::TooManyHeaders) if room < buf.len() / MIN_FIELD_BYTES => room *= 2,
            Err(e) => return Err(e.into()),
        }
    }
}
