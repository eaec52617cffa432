//! What a request's headers say.

use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap};
use cypressfork_core::code::Code;
use cypressfork_core::config::Priority;
use cypressfork_node::digest::key_digest;

use crate::reply::Refusal;

/// The longest request id, in bytes.
const ID_CAP: usize = 128;

/// The headers that the router reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// SHA-256 of the bearer key, in lower-case hexadecimal.
    pub key: String,
    /// The request's id; drawn here if the caller gave none.
    pub id: String,
    /// The caller gave the id.
    pub id_given: bool,
    /// Milliseconds that the request may take.
    pub deadline: Option<Duration>,
    /// Its class.
    pub priority: Option<Priority>,
    /// It may run at most once.
    pub once: bool,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

fn text<'a>(h: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(v) = h.get(name) else { return Ok(None) };
    let bad = |_| Refusal::from(Code::HeaderBad).detail(format!("{name} is not plain text"));
    v.to_str().map(|s| Some(s.trim())).map_err(bad)
}

fn bad(name: &str, value: &str, want: &str) -> Refusal {
    Refusal::from(Code::HeaderBad).detail(format!("{name} cannot be '{value}': {want}"))
}

fn key(h: &HeaderMap) -> Result<String, Refusal> {
    let v = text(h, AUTHORIZATION.as_str())?.ok_or(Code::KeyMissing)?;
    let (scheme, key) = v.split_once(' ').ok_or(Code::KeyMissing)?;
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(Code::KeyMissing.into());
    }
    Ok(key_digest(key.trim()))
}

fn id(h: &HeaderMap) -> Result<Option<String>, Refusal> {
    for name in ["idempotency-key", "x-request-id"] {
        if let Some(v) = text(h, name)? {
            let v = v.trim_matches('"');
            if v.is_empty() || v.len() > ID_CAP {
                return Err(bad(name, v, "take 1 to 128 characters"));
            }
            return Ok(Some(v.to_owned()));
        }
    }
    Ok(None)
}

fn deadline(h: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    const NAME: &str = "x-deadline-ms";
    let Some(v) = text(h, NAME)? else { return Ok(None) };
    match v.parse() {
        Ok(ms @ 1..=3_600_000) => Ok(Some(Duration::from_millis(ms))),
        _ => Err(bad(NAME, v, "take milliseconds from 1 to 3600000")),
    }
}

fn priority(h: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    const NAME: &str = "x-priority";
    let Some(v) = text(h, NAME)? else { return Ok(None) };
    let p = Priority::parse(v).ok_or_else(|| bad(NAME, v, "take live, prompt, normal or bulk"))?;
    Ok(Some(p))
}

fn once(h: &HeaderMap) -> Result<bool, Refusal> {
    const NAME: &str = "x-not-repeatable";
    match text(h, NAME)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(v) => Err(bad(NAME, v, "take true or false")),
    }
}

/// Reads the headers; `fresh` is the id of a request that has none.
pub fn read(h: &HeaderMap, cap: usize, fresh: u128) -> Result<Head, Refusal> {
    let size: usize = h.iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    if size > cap {
        let detail = format!("{size} bytes, the cap is {cap}");
        return Err(Refusal::from(Code::HeadTooLarge).detail(detail));
    }
    let given = id(h)?;
    let once = once(h)?;
    if once && given.is_none() {
        return Err(Code::IdMissing.into());
    }
    Ok(Head {
        key: key(h)?,
        id_given: given.is_some(),
        id: given.unwrap_or_else(|| format!("{fresh:032x}")),
        deadline: deadline(h)?,
        priority: priority(h)?,
        once,
        traceparent: text(h, "traceparent")?.map(str::to_owned),
    })
}
