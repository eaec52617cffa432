//! `GET /v1/entry`: which of the system's addresses a caller should use.

use actix_http::header::{CACHE_CONTROL, HeaderValue};
use actix_http::{Response, StatusCode};
use cypressfork_core::query::Site;
use cypressfork_http::Body;
use serde_json::json;

use crate::app::App;
use crate::reply::json_response;

/// Addresses in one answer at most.
const MOST: usize = 8;

/// The sites in the order that a caller should try them: this data centre first, spread by
/// `turn`, without those that leave or are not heard of.
pub fn rank<'a>(sites: &'a [Site], data_centre: &str, turn: usize) -> Vec<&'a Site> {
    let near = |s: &&Site| s.data_centre == data_centre;
    let usable = sites.iter().filter(|s| s.usable);
    let (mut here, mut there): (Vec<_>, Vec<_>) = usable.partition(near);
    for group in [&mut here, &mut there] {
        let n = group.len().max(1);
        group.rotate_left(turn % n);
    }
    here.append(&mut there);
    here.truncate(MOST);
    here
}

/// Answers with the ranked addresses and how long to keep them.
pub fn entry(app: &App) -> Response<Body> {
    let sites = app.sites.borrow();
    let turn = app.draw() as usize;
    let ranked = rank(&sites, &app.settings.base.data_centre, turn);
    let own = app.settings.public.to_string();
    let mut addresses: Vec<_> = ranked
        .iter()
        .map(|s| json!({ "address": s.address, "vm": s.vm, "data_centre": s.data_centre }))
        .collect();
    if addresses.is_empty() && !app.draining.get() {
        let base = &app.settings.base;
        let here = json!({ "address": own, "vm": base.vm, "data_centre": base.data_centre });
        addresses.push(here);
    }
    let keep = app.settings.entry_keep.as_secs();
    let v = json!({ "addresses": addresses, "keep_s": keep });
    let mut r = json_response(StatusCode::OK, &v);
    if let Ok(v) = HeaderValue::from_str(&format!("max-age={keep}")) {
        r.headers_mut().insert(CACHE_CONTROL, v);
    }
    r
}
