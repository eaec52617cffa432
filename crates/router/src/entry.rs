//! `GET /v1/entry`: the router addresses that a caller should use.

use actix_http::header::{CACHE_CONTROL, HeaderValue};
use actix_http::{Response, StatusCode};
use cypressfork_core::query::Site;
use cypressfork_http::Body;
use serde_json::json;

use crate::app::App;
use crate::reply::json_response;

/// The most addresses in one response.
const MAX_ADDRESSES: usize = 8;

/// Returns the usable routers in the order in which a caller should try them: those in
/// `data_centre` first. Each of the two groups is rotated by `rotation` to spread callers.
/// Returns at most `MAX_ADDRESSES`.
pub fn order_sites<'a>(sites: &'a [Site], data_centre: &str, rotation: usize) -> Vec<&'a Site> {
    let is_local = |s: &&Site| s.data_centre == data_centre;
    let usable = sites.iter().filter(|s| s.usable);
    let (mut local, mut remote): (Vec<_>, Vec<_>) = usable.partition(is_local);
    for group in [&mut local, &mut remote] {
        let n = group.len().max(1);
        group.rotate_left(rotation % n);
    }
    local.append(&mut remote);
    local.truncate(MAX_ADDRESSES);
    local
}

/// Returns the response with the addresses of usable routers and how long a caller may cache them.
/// If no router is known to be usable, lists this one unless it is draining.
pub fn entry_response(app: &App) -> Response<Body> {
    let sites = app.sites.borrow();
    let rotation = app.random_u128() as usize;
    let ordered = order_sites(&sites, &app.settings.base.data_centre, rotation);
    let own = app.settings.public.to_string();
    let mut addresses: Vec<_> = ordered
        .iter()
        .map(|s| json!({ "address": s.address, "vm": s.vm, "data_centre": s.data_centre }))
        .collect();
    if addresses.is_empty() && !app.stop.is_requested() {
        let base = &app.settings.base;
        let local = json!({ "address": own, "vm": base.vm, "data_centre": base.data_centre });
        addresses.push(local);
    }
    let max_age = app.settings.entry_max_age.as_secs();
    let v = json!({ "addresses": addresses, "keep_s": max_age });
    let mut r = json_response(StatusCode::OK, &v);
    if let Ok(v) = HeaderValue::from_str(&format!("max-age={max_age}")) {
        r.headers_mut().insert(CACHE_CONTROL, v);
    }
    r
}
