//! Selects the home routers of a budget: those that hold its tokens for their data centre.
//!
//! In a data centre with many routers, one slice per router would be smaller than a request, and each
//! dead router would add to the tokens that count as spent unreported. So a few routers, selected by
//! rendezvous hashing, hold a budget's tokens, and all routers of the data centre reserve tokens there
//! for each request. This is only a placement policy: a slice belongs to the router that leased it, so
//! routers that disagree about the homes never spend a token twice.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::hash::{Fnv, rendezvous_rank};

/// Minimum number of routers in a data centre for budgets to have homes there. With fewer, each router
/// holds its own slices.
pub const MIN_ROUTERS_FOR_HOMES: usize = 12;

/// Number of homes of a budget in one data centre. The second serves if the first does not answer.
pub const HOMES_PER_BUDGET: usize = 2;

/// Maximum number of home candidates, including the fallbacks for homes that do not answer.
const MAX_CANDIDATES: usize = 4;

/// Returns the candidates for homes of a budget, best rank first, by rendezvous hashing of its name.
pub fn home_candidates(budget: &str, routers: &[SocketAddr]) -> Vec<SocketAddr> {
    let key = Fnv::new().add_part(budget.as_bytes()).finish();
    let mut all: Vec<_> = routers.iter().map(|a| (Reverse(rendezvous_rank(key, *a)), *a)).collect();
    all.sort_unstable();
    all.into_iter().take(MAX_CANDIDATES).map(|(_, a)| a).collect()
}

/// Returns the homes to ask for tokens, in order.
///
/// Takes the first available `candidates`, or all of them if every one `is_unavailable`. The order
/// starts with `own` if it is a home, else at a position given by a hash of `own`, which spreads
/// the routers over the homes.
pub fn ask_order(
    candidates: &[SocketAddr],
    own: SocketAddr,
    is_unavailable: impl Fn(&SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let available = candidates.iter().copied().filter(|a| !is_unavailable(a));
    let mut homes: Vec<_> = available.take(HOMES_PER_BUDGET).collect();
    if homes.is_empty() {
        homes = candidates.to_vec();
    }
    let start = homes.iter().position(|a| *a == own);
    let start = start.unwrap_or_else(|| start_index(own, homes.len()));
    homes.rotate_left(start);
    homes
}

/// Returns the number of holders among which a router divides what all holders of a budget may have
/// together. `areas` is the number of data centres with homes, `is_home` whether the router is one of the
/// budget's homes, and `routers` the number of all routers.
///
/// The homes have one half together. The other half is for the other routers, any of which may hold
/// tokens: those with heavy demand, and those in data centres without homes.
pub fn holder_count(areas: usize, is_home: bool, routers: usize) -> u64 {
    let holders = match (areas, is_home) {
        (0, _) => routers,
        (_, true) => 2 * areas * HOMES_PER_BUDGET,
        (_, false) => 2 * routers,
    };
    holders as u64
}

/// Returns the number of routers that hold tokens, and report what they spent, when `budgets` have
/// homes in `areas` data centres and there are `routers` in all. The few others with heavy demand are
/// not counted.
pub fn reporting_routers(areas: usize, budgets: usize, routers: usize) -> u64 {
    let homes = areas * HOMES_PER_BUDGET * budgets;
    let reporting = if homes == 0 { routers } else { homes.min(routers) };
    reporting as u64
}

/// Returns the index among `n` items at which router `own` starts, a hash of its address that spreads
/// routers evenly; 0 if `n` is 0.
pub fn start_index(own: SocketAddr, n: usize) -> usize {
    let hash = rendezvous_rank(0, own) as usize;
    hash.checked_rem(n).unwrap_or(0)
}
