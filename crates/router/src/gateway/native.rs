//! The project's own words: the headers of `docs/CALLERS.md`, and documents as JSON.

use actix_http::header::{
    AUTHORIZATION, DATE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::{Document, InvalidDocument};
use cypressfork_core::fleet::format::{self, DocumentFormat};
use cypressfork_core::fleet::limit::{LimitHeader, Rate};
use cypressfork_core::route::{PromptPrefixes, rest};
use cypressfork_core::unit::Millis;

use super::dialect::{Dialect, Head, Inbound, Prompt, Told};
use crate::reply::{REQUEST_ID, Refusal};

/// Milliseconds that the caller waits, or that the replica may work.
const DEADLINE: HeaderName = HeaderName::from_static("x-timeout-ms");

/// `TOKENS,MOST`: tokens of the prompt, and the most of the answer.
const TOKENS: HeaderName = HeaderName::from_static("x-tokens");

/// `ID:TOKENS` for each part of the prompt, with commas between them; ids in hexadecimal.
const PARTS: HeaderName = HeaderName::from_static("x-prompt-parts");

/// The last event that the caller has.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// The replica that is meant.
const REPLICA: HeaderName = HeaderName::from_static("x-replica");

/// The client account.
const ACCOUNT: HeaderName = HeaderName::from_static("x-client-account");

/// A replica's word that it did not run a request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Requests a second that the replica takes from all gateways together, as a decimal number.
const LIMIT: HeaderName = HeaderName::from_static("x-rate-limit");

/// The replica's word that it leaves.
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// The project's own words.
pub struct Native;

impl DocumentFormat for Native {
    fn parse(source: &str) -> Result<Document, InvalidDocument> {
        format::parse_json(source)
    }
}

/// The text of a header.
pub fn text(h: &HeaderMap, name: HeaderName) -> Option<&str> {
    h.get(name).and_then(|v| v.to_str().ok())
}

/// The number in a header; an error if there is something else in it.
pub fn number(h: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Code> {
    let Some(v) = h.get(name) else { return Ok(None) };
    let n = v.to_str().ok().and_then(|v| v.trim().parse().ok());
    n.map(Some).ok_or(Code::HeaderBad)
}

/// What the header `name` of an answer says of its replica's limit.
pub fn limit(h: &HeaderMap, name: HeaderName) -> LimitHeader {
    let mut all = h.get_all(name);
    let Some(value) = all.next() else { return LimitHeader::Absent };
    let rate = value.to_str().ok().and_then(Rate::parse);
    match (rate, all.next()) {
        (Some(rate), None) => LimitHeader::Limit(rate),
        _ => LimitHeader::Invalid,
    }
}

/// What an answer says of a rest: only a replica that turns a request away with 503 asks for one. It names
/// seconds, or a date, which counts from the date of the answer.
pub fn rest(head: &ResponseHead) -> rest::RetryAfter {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return rest::RetryAfter::Absent;
    }
    let h = &head.headers;
    let read = |v: &HeaderValue| match v.to_str() {
        Ok(s) => until_date(h, s).unwrap_or_else(|| rest::RetryAfter::parse(s)),
        Err(_) => rest::RetryAfter::Invalid,
    };
    let all = h.get_all(RETRY_AFTER).map(read);
    all.fold(rest::RetryAfter::Absent, rest::RetryAfter::or_later)
}

/// The span between the date of an answer and a later date.
fn until_date(h: &HeaderMap, text: &str) -> Option<rest::RetryAfter> {
    let end = httpdate::parse_http_date(text).ok()?;
    let sent = httpdate::parse_http_date(self::text(h, DATE)?).ok()?;
    let span = end.duration_since(sent).unwrap_or_default();
    Some(rest::RetryAfter::Delay(Millis(span.as_millis() as u64)))
}

/// Whether the header `name` of an answer says that its replica leaves.
pub fn leaving(h: &HeaderMap, name: HeaderName) -> bool {
    h.get_all(name).any(|v| v == "1")
}

/// The work that a request asks for, from the two headers that tell it.
pub fn prompt(tokens: Option<&str>, parts: Option<&str>) -> Result<Option<Prompt>, Code> {
    let Some(tokens) = tokens else { return Ok(None) };
    let (prompt, most) = tokens.split_once(',').ok_or(Code::HeaderBad)?;
    let count = |s: &str| s.trim().parse().map_err(|_| Code::HeaderBad);
    let parts = parts.unwrap_or_default().split(',').filter(|p| !p.is_empty());
    let parts: Option<Vec<_>> = parts.map(part).collect();
    let trail = PromptPrefixes::from_sized_parts(parts.ok_or(Code::HeaderBad)?);
    Ok(Some(Prompt { tokens: count(prompt)?, most: count(most)?, trail }))
}

/// An id in hexadecimal and a count of tokens.
fn part(s: &str) -> Option<(u64, u64)> {
    let (id, tokens) = s.trim().split_once(':')?;
    // Only whether two ids are equal matters; the last digits of a long one tell enough.
    let digits = id.get(id.len().saturating_sub(16)..)?;
    Some((u64::from_str_radix(digits, 16).ok()?, tokens.parse().ok()?))
}

/// The key of a bearer authorization.
pub fn bearer(h: &HeaderMap) -> Option<&str> {
    let (scheme, key) = text(h, AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Sets a header to a number.
pub fn set_number(h: &mut HeaderMap, name: HeaderName, n: u64) {
    h.insert(name, HeaderValue::from(n));
}

/// Sets a header to a text; one that a header cannot hold is left out.
pub fn set_text(h: &mut HeaderMap, name: HeaderName, s: &str) {
    if let Ok(v) = HeaderValue::from_str(s) {
        h.insert(name, v);
    }
}

impl Dialect for Native {
    fn inbound(head: &RequestHead) -> Result<Inbound, Code> {
        let h = &head.headers;
        Ok(Inbound {
            host: text(h, HOST).ok_or(Code::HeaderBad)?.to_owned(),
            id: text(h, REQUEST_ID).ok_or(Code::HeaderBad)?.to_owned(),
            key: bearer(h).map(str::to_owned),
            deadline: number(h, DEADLINE)?.map(Millis),
            prompt: prompt(text(h, TOKENS), text(h, PARTS))?,
            last_event: number(h, LAST_EVENT)?,
        })
    }

    fn outbound(h: &mut HeaderMap, told: &Told) {
        h.remove(AUTHORIZATION);
        h.remove(ACCOUNT);
        set_number(h, DEADLINE, told.deadline.0);
        set_text(h, REPLICA, told.replica);
        if let Some(account) = told.account {
            set_text(h, ACCOUNT, account);
        }
        if let Some(n) = told.last_event {
            set_number(h, LAST_EVENT, n);
        }
    }

    fn head(head: &ResponseHead) -> Head<'_> {
        let h = &head.headers;
        Head {
            id: text(h, REQUEST_ID),
            not_run: h.contains_key(NOT_RUN),
            another: head.status.as_u16() == 421,
            sound: true,
            limit: limit(h, LIMIT),
            rest: rest(head),
            leaving: leaving(h, LEAVING),
        }
    }

    fn refusal(r: &Refusal, h: &mut HeaderMap) -> u16 {
        if let Some(span) = r.after {
            set_number(h, RETRY_AFTER, span.as_retry_after_secs());
        }
        match r.code.status() {
            0 => 503,
            status => status,
        }
    }
}
