//! Which routers of a data centre keep the tokens of a budget.
//!
//! Where a data centre has many routers, a slice for each of them is smaller than one request, and
//! what a dead one may have spent unreported is counted many times over. So a few of them, found by
//! rendezvous hashing, hold a budget's tokens for all routers of their data centre, which set tokens
//! aside there for one request at a time. That is a matter of policy alone: each router's slices
//! are its own, so two views of who is a home never spend a token twice.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::hash::{Fnv, rendezvous};

/// Routers of a data centre from which on budgets have homes there. With fewer, each holds its own
/// slices: measured on data centres of 2 and 3 routers, and of 22 to 62.
pub const MANY: usize = 12;

/// Homes of a budget in one data centre. A second one serves when the first does not answer.
pub const HOMES: usize = 2;

/// Routers that are remembered as those next in line, where homes do not answer.
const RANKED: usize = 4;

/// The routers that come into question as homes of a budget, the first ones first.
pub fn ranked(budget: &str, routers: &[SocketAddr]) -> Vec<SocketAddr> {
    let key = Fnv::new().part(budget.as_bytes()).value();
    let mut all: Vec<_> = routers.iter().map(|a| (Reverse(rendezvous(key, *a)), *a)).collect();
    all.sort_unstable();
    all.into_iter().take(RANKED).map(|(_, a)| a).collect()
}

/// The homes to ask for tokens, in order: the asking router itself if it is one, else one drawn by
/// its address, so that each home serves a part of the routers. `is_out` tells which do not answer;
/// if none does, all that come into question are named.
pub fn order(
    ranked: &[SocketAddr],
    own: SocketAddr,
    is_out: impl Fn(&SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let answering = ranked.iter().copied().filter(|a| !is_out(a));
    let mut homes: Vec<_> = answering.take(HOMES).collect();
    if homes.is_empty() {
        homes = ranked.to_vec();
    }
    let start = homes.iter().position(|a| *a == own);
    let start = start.unwrap_or_else(|| turn(own, homes.len()));
    homes.rotate_left(start);
    homes
}

/// Which of `n` a router begins with, so that not all begin with the same; 0 of none.
pub fn turn(own: SocketAddr, n: usize) -> usize {
    let draw = rendezvous(0, own) as usize;
    draw.checked_rem(n).unwrap_or(0)
}
