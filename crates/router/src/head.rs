//! Parses the request headers that the router uses.

use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap};
use cypressfork_core::code::Code;
use cypressfork_core::config::Priority;
use cypressfork_node::digest::key_digest;

use crate::reply::Refusal;

/// The longest request id accepted, in bytes.
const MAX_ID_LEN: usize = 128;

/// The parsed headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// SHA-256 of the bearer key, in lower-case hexadecimal.
    pub key: String,
    /// The request's id, generated if the caller sent none.
    pub id: String,
    /// Whether the caller sent the id.
    pub id_given: bool,
    /// How long the request may take, if the caller set a limit.
    pub deadline: Option<Duration>,
    /// The priority class, if the caller set one.
    pub priority: Option<Priority>,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
    /// The W3C trace context.
    pub traceparent: Option<String>,
}

fn header_text<'a>(h: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(v) = h.get(name) else { return Ok(None) };
    let not_text = |_| Refusal::from(Code::HeaderBad).detail(format!("{name} is not plain text"));
    v.to_str().map(|s| Some(s.trim())).map_err(not_text)
}

fn invalid_header(name: &str, value: &str, want: &str) -> Refusal {
    Refusal::from(Code::HeaderBad).detail(format!("{name} cannot be '{value}': {want}"))
}

fn parse_key(h: &HeaderMap) -> Result<String, Refusal> {
    let v = header_text(h, AUTHORIZATION.as_str())?.ok_or(Code::KeyMissing)?;
    let (scheme, key) = v.split_once(' ').ok_or(Code::KeyMissing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(Code::KeyMissing.into());
    }
    Ok(key_digest(key.trim()))
}

fn parse_id(h: &HeaderMap) -> Result<Option<String>, Refusal> {
    for name in ["idempotency-key", "x-request-id"] {
        if let Some(v) = header_text(h, name)? {
            let v = v.trim_matches('"');
            if v.is_empty() || v.len() > MAX_ID_LEN {
                return Err(invalid_header(name, v, "take 1 to 128 characters"));
            }
            return Ok(Some(v.to_owned()));
        }
    }
    Ok(None)
}

fn parse_deadline(h: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    const NAME: &str = "x-deadline-ms";
    let Some(v) = header_text(h, NAME)? else { return Ok(None) };
    match v.parse() {
        Ok(ms @ 1..=3_600_000) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(invalid_header(NAME, v, "take milliseconds from 1 to 3600000")),
    }
}

fn parse_priority(h: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    const NAME: &str = "x-priority";
    let Some(v) = header_text(h, NAME)? else { return Ok(None) };
    let p = Priority::parse(v)
        .ok_or_else(|| invalid_header(NAME, v, "take live, prompt, normal or bulk"))?;
    Ok(Some(p))
}

fn parse_at_most_once(h: &HeaderMap) -> Result<bool, Refusal> {
    const NAME: &str = "x-not-repeatable";
    match header_text(h, NAME)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(v) => Err(invalid_header(NAME, v, "take true or false")),
    }
}

/// Parses the headers of a request, which may have `cap` bytes in total. If there is no request id,
/// it becomes `generated_id`. Returns a refusal if the headers are too large, the key is missing, a
/// value is invalid, or an at-most-once request has no id.
pub fn parse(h: &HeaderMap, cap: usize, generated_id: u128) -> Result<Head, Refusal> {
    let size: usize = h.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    if size > cap {
        let detail = format!("{size} bytes, the cap is {cap}");
        return Err(Refusal::from(Code::HeadTooLarge).detail(detail));
    }
    let given_id = parse_id(h)?;
    let at_most_once = parse_at_most_once(h)?;
    if at_most_once && given_id.is_none() {
        return Err(Code::IdMissing.into());
    }
    Ok(Head {
        key: parse_key(h)?,
        id_given: given_id.is_some(),
        id: given_id.unwrap_or_else(|| format!("{generated_id:032x}")),
        deadline: parse_deadline(h)?,
        priority: parse_priority(h)?,
        at_most_once,
        traceparent: header_text(h, "traceparent")?.map(str::to_owned),
    })
}
