//! Heads that begin inside the head of another response.

/// A status line up to its code; `0` stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/1.0 000";

/// Returns whether a status line stands inside the head at the start of `bytes`, whole or not. It is then either a part of
/// a field, or the start of a response whose sender stopped in the middle of the one before.
pub fn has_inner_status_line(bytes: &[u8]) -> bool {
    let head = &bytes[..head_length(bytes)];
    head.windows(STATUS_LINE.len()).skip(1).any(is_status_line)
}

fn is_status_line(bytes: &[u8]) -> bool {
    let is_like = |(b, like): (&u8, &u8)| b == like || (b.is_ascii_digit() && *like == b'0');
    bytes.iter().zip(STATUS_LINE).all(is_like)
}

/// Returns the length of the head up to its empty line, or of all bytes if there is none.
fn head_length(bytes: &[u8]) -> usize {
    let is_last = |n: &usize| {
        let rest = &bytes[n + 1..];
        bytes[*n] == b'\n' && (rest.starts_with(b"\n") || rest.starts_with(b"\r\n"))
    };
    (0..bytes.len()).find(is_last).unwrap_or(bytes.len())
}
