//! The native dialect: the headers of `docs/CALLERS.md`, and documents as JSON.
//!
//! The functions that parse and set headers are also used by other dialects.

use std::collections::HashSet;

use actix_http::header::{
    AUTHORIZATION, DATE, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::{Document, InvalidDocument};
use cypressfork_core::fleet::format::{self, DocumentFormat};
use cypressfork_core::fleet::limit::{LimitHeader, Rate};
use cypressfork_core::route::{PromptPrefixes, backoff};
use cypressfork_core::unit::Millis;

use super::dialect::{CallerRequest, Dialect, ForwardHeaders, PromptSize, ReplicaResponse};
use crate::reply::{REQUEST_ID, Refusal};

/// The caller's timeout; in a forwarded request the time left. In milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-timeout-ms");

/// `PROMPT,MAX_OUTPUT`: tokens of the prompt, and the maximum tokens of the response.
const TOKENS: HeaderName = HeaderName::from_static("x-tokens");

/// Comma-separated `ID:TOKENS` for each part of the prompt, with hexadecimal ids.
const PARTS: HeaderName = HeaderName::from_static("x-prompt-parts");

/// Id of the last stream event that the caller received.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Id of the attempt that brought the first event of the stream that the caller resumes.
const RESUMES: HeaderName = HeaderName::from_static("x-resumes");

/// Id of the replica that the request is sent to.
const REPLICA: HeaderName = HeaderName::from_static("x-replica");

/// Start time of the process of that replica, in milliseconds since 1970. A process that started at another time
/// under the same id must not run the request.
const REPLICA_START: HeaderName = HeaderName::from_static("x-replica-start");

/// Name of the client account.
const ACCOUNT: HeaderName = HeaderName::from_static("x-client-account");

/// Present if the replica did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// The replica's rate limit for all gateways together: requests per second, as a decimal number.
const LIMIT: HeaderName = HeaderName::from_static("x-rate-limit");

/// `1` if the replica is about to leave.
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// The most requests a second that the replica can reject without failing, of all gateways together.
const MAX_REJECTIONS: HeaderName = HeaderName::from_static("x-max-rejections");

/// The native dialect.
pub struct Native;

impl DocumentFormat for Native {
    fn parse(source: &str) -> Result<Document, InvalidDocument> {
        format::parse_json(source)
    }
}

/// Returns the text of a header, or `None` if it is absent or not visible ASCII.
pub fn header_text(h: &HeaderMap, name: HeaderName) -> Option<&str> {
    h.get(name).and_then(|v| v.to_str().ok())
}

/// Parses the number in a header. Returns `None` if the header is absent, and [`Code::HeaderBad`] if it
/// is not a number.
pub fn parse_number(h: &HeaderMap, name: HeaderName) -> Result<Option<u64>, Code> {
    let Some(v) = h.get(name) else { return Ok(None) };
    let n = v.to_str().ok().and_then(|v| v.trim().parse().ok());
    n.map(Some).ok_or(Code::HeaderBad)
}

/// Parses the rate limit in the header `name` of a response. A repeated header is invalid.
pub fn parse_limit(h: &HeaderMap, name: HeaderName) -> LimitHeader {
    let mut all = h.get_all(name);
    let Some(value) = all.next() else { return LimitHeader::Absent };
    let rate = value.to_str().ok().and_then(Rate::parse);
    match (rate, all.next()) {
        (Some(rate), None) => LimitHeader::Limit(rate),
        _ => LimitHeader::Invalid,
    }
}

/// Parses the backoff that a response requests. Only `Retry-After` headers of 503 responses count. Each has
/// a number of seconds, or a date that is compared with the response's `Date`. Of several headers the
/// longest backoff applies.
pub fn parse_retry_after(head: &ResponseHead) -> backoff::RetryAfter {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return backoff::RetryAfter::Absent;
    }
    let h = &head.headers;
    let parse = |v: &HeaderValue| match v.to_str() {
        Ok(s) => delay_until(h, s).unwrap_or_else(|| backoff::RetryAfter::parse(s)),
        Err(_) => backoff::RetryAfter::Invalid,
    };
    let all = h.get_all(RETRY_AFTER).map(parse);
    all.fold(backoff::RetryAfter::Absent, backoff::RetryAfter::merge)
}

/// Returns the time from a response's `Date` to the HTTP date in `text`; 0 if that is earlier, and `None`
/// if one of them is not a date.
fn delay_until(h: &HeaderMap, text: &str) -> Option<backoff::RetryAfter> {
    let end = httpdate::parse_http_date(text).ok()?;
    let sent = httpdate::parse_http_date(header_text(h, DATE)?).ok()?;
    let span = end.duration_since(sent).unwrap_or_default();
    Some(backoff::RetryAfter::Delay(Millis(span.as_millis() as u64)))
}

/// Returns whether the header `name` of a response announces that the replica is about to leave.
pub fn is_leaving(h: &HeaderMap, name: HeaderName) -> bool {
    h.get_all(name).any(|v| v == "1")
}

/// Parses the number of requests a second that a replica can reject without failing. Returns `None` if the header
/// `name` is absent or not a number; of several values the lowest counts.
pub fn parse_max_rejections(h: &HeaderMap, name: HeaderName) -> Option<u32> {
    let numbers = h.get_all(name).filter_map(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    numbers.filter(|n| *n >= 0.0).map(|n| n as u32).min()
}

/// Parses the size of a prompt from the headers with the token counts and the parts. Returns `None` without
/// token counts, and [`Code::HeaderBad`] if a header is malformed.
pub fn parse_prompt_size(
    tokens: Option<&str>,
    parts: Option<&str>,
) -> Result<Option<PromptSize>, Code> {
    let Some(tokens) = tokens else { return Ok(None) };
    let (prompt, max_output) = tokens.split_once(',').ok_or(Code::HeaderBad)?;
    let count = |s: &str| s.trim().parse().map_err(|_| Code::HeaderBad);
    let parts = parts.unwrap_or_default().split(',').filter(|p| !p.is_empty());
    let parts: Option<Vec<_>> = parts.map(parse_part).collect();
    let parts = parts.ok_or(Code::HeaderBad)?;
    let shared_parts = shared_parts(&parts);
    let prefixes = PromptPrefixes::from_sized_parts(parts);
    let (tokens, max_output) = (count(prompt)?, count(max_output)?);
    Ok(Some(PromptSize { tokens, max_output, prefixes, shared_parts }))
}

/// Returns the distinct ids of all parts of a prompt but the last.
fn shared_parts(parts: &[(u64, u64)]) -> Vec<u64> {
    let mut known = HashSet::new();
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|(id, _)| *id).filter(|id| known.insert(*id)).collect()
}

/// Parses a hexadecimal id and a token count.
fn parse_part(s: &str) -> Option<(u64, u64)> {
    let (id, tokens) = s.trim().split_once(':')?;
    // Ids are only compared, so the last 64 bits of a longer one are enough.
    let digits = id.get(id.len().saturating_sub(16)..)?;
    Some((u64::from_str_radix(digits, 16).ok()?, tokens.parse().ok()?))
}

/// Returns the key of a bearer `Authorization` header.
pub fn bearer_key(h: &HeaderMap) -> Option<&str> {
    let (scheme, key) = header_text(h, AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Sets a header to a number.
pub fn set_number(h: &mut HeaderMap, name: HeaderName, n: u64) {
    h.insert(name, HeaderValue::from(n));
}

/// Sets a header to a text. Does nothing if the text is not a valid header value.
pub fn set_text(h: &mut HeaderMap, name: HeaderName, s: &str) {
    if let Ok(v) = HeaderValue::from_str(s) {
        h.insert(name, v);
    }
}

impl Dialect for Native {
    fn parse_request(head: &RequestHead) -> Result<CallerRequest, Code> {
        let h = &head.headers;
        Ok(CallerRequest {
            host: header_text(h, HOST).ok_or(Code::HeaderBad)?.to_owned(),
            id: header_text(h, REQUEST_ID).ok_or(Code::HeaderBad)?.to_owned(),
            key: bearer_key(h).map(str::to_owned),
            timeout: parse_number(h, DEADLINE)?.map(Millis),
            prompt: parse_prompt_size(header_text(h, TOKENS), header_text(h, PARTS))?,
            last_event: parse_number(h, LAST_EVENT)?,
            resumes: header_text(h, RESUMES).map(str::to_owned),
        })
    }

    fn set_forward_headers(h: &mut HeaderMap, values: &ForwardHeaders) {
        h.remove(AUTHORIZATION);
        h.remove(ACCOUNT);
        h.remove(REPLICA_START);
        set_number(h, DEADLINE, values.time_left.0);
        set_text(h, REPLICA, values.replica);
        if values.born > 0 {
            set_number(h, REPLICA_START, values.born);
        }
        if let Some(account) = values.account {
            set_text(h, ACCOUNT, account);
        }
        if let Some(n) = values.last_event {
            set_number(h, LAST_EVENT, n);
        }
    }

    fn parse_response(head: &ResponseHead) -> ReplicaResponse<'_> {
        let h = &head.headers;
        ReplicaResponse {
            id: header_text(h, REQUEST_ID),
            not_run: h.contains_key(NOT_RUN),
            wrong_replica: head.status.as_u16() == 421,
            well_formed: true,
            limit: parse_limit(h, LIMIT),
            retry_after: parse_retry_after(head),
            draining: is_leaving(h, LEAVING),
            max_rejections: parse_max_rejections(h, MAX_REJECTIONS),
        }
    }

    fn set_refusal_headers(r: &Refusal, h: &mut HeaderMap) -> u16 {
        if let Some(span) = r.retry_after {
            set_number(h, RETRY_AFTER, span.as_retry_after_secs());
        }
        match r.code.status() {
            0 => 503,
            status => status,
        }
    }
}
