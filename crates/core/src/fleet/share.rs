//! What routers ask and tell each other: tokens that one sets aside for a request of another, and
//! the prompts that they have sent to replicas.
//!
//! A router that is short of a budget's tokens, and cannot have more of the group in time, may use
//! those in other routers' slices, a part from each. A lender reserves them as for a request of its
//! own, and settles when the borrower tells what was used. If it never does, all of it counts as
//! used.
//! Nothing moves between leases, so that the group's accounts need not know of it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::limit::permits::{Ask, Grant};
use crate::route::Trail;
use crate::unit::{Millis, Time, Tokens};

/// How long a borrower may take to settle; longer than any request's time limit.
const SETTLE_WITHIN: Millis = Millis::seconds(45);

/// How long it is remembered that a loan was settled, against a late request for it.
const SETTLED_KEPT: Millis = Millis::seconds(90);

/// A prompt that a router has sent to a replica. Others reckon with the time that reading it takes,
/// and know where its parts are cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The service.
    pub service: String,
    /// The replica.
    pub replica: SocketAddr,
    /// What of the prompt it has to read.
    pub fresh: Tokens,
    /// The prompt.
    pub trail: Trail,
}

/// What a router asks of another, or tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Set tokens aside, as many of them as can be spared.
    Reserve {
        /// Drawn by the borrower; another for each loan.
        id: u64,
        /// The client account.
        account: String,
        /// How many, at most.
        tokens: Tokens,
    },
    /// So many were used; the rest is the lender's again.
    Settle {
        /// The loan.
        id: u64,
        /// How many.
        used: Tokens,
    },
    /// A prompt was sent to a replica.
    Placed(Placement),
    /// Set tokens aside at a home of the budget: all of them if they can be had in time, else as
    /// many as there are.
    Hold {
        /// Drawn by the borrower; another for each loan.
        id: u64,
        /// The client account.
        account: String,
        /// How many, at most.
        tokens: Tokens,
        /// How long the home may wait for more.
        within: Millis,
    },
    /// Permits for requests to a replica that names a limit.
    Permit(Ask),
    /// How much longer it stands back as the first router of a replica's permits.
    Settles {
        /// The replica.
        replica: String,
        /// Its data centre.
        data_centre: String,
    },
}

/// Why a home could not set aside all tokens that were asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Short {
    /// The group says that the whole budget does not hold them.
    Spent,
    /// They are elsewhere; there may be more after this time.
    Busy(Millis),
    /// The home has them, and may spend them after this time.
    Limited(Millis),
    /// This router takes on no loans.
    Closed,
}

/// A lender's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// So many are set aside; 0: the lender can spare none.
    Reserved(Tokens),
    /// It is settled.
    Settled,
    /// It is taken note of.
    Noted,
    /// So many are set aside at a home, and why not all.
    Held(Tokens, Option<Short>),
    /// To [`Request::Permit`].
    Permitted(Grant),
    /// To [`Request::Settles`]; none: it does not, or is not the first.
    Settles(Option<Millis>),
}

/// The lenders to ask, at most `most`: those that can likely spare most first, and among equals
/// any, so that not all borrowers ask the same.
pub fn lenders<K>(
    peers: impl IntoIterator<Item = (K, Tokens)>,
    most: usize,
    rng: &mut impl Rng,
) -> Vec<K> {
    // A key drawn anew at each comparison would be no order.
    let drawn = peers.into_iter().map(|(peer, hope)| (Reverse(hope), rng.random::<u32>(), peer));
    let mut all: Vec<_> = drawn.collect();
    all.sort_by_key(|(hope, draw, _)| (*hope, *draw));
    all.into_iter().take(most).map(|(_, _, peer)| peer).collect()
}

/// What each part of a reservation is charged of `used` tokens, in the order of `parts`.
pub fn charges(parts: &[Tokens], used: Tokens) -> Vec<Tokens> {
    let mut left = used;
    let mut charge = |part: &Tokens| {
        let of_part = left.min(*part);
        left -= of_part;
        of_part
    };
    parts.iter().map(&mut charge).collect()
}

/// A lender's loans; `R` is what it holds for each.
#[derive(Debug)]
pub struct Loans<R> {
    open: BTreeMap<u64, (Time, R)>,
    settled: BTreeMap<u64, Time>,
}

impl<R> Default for Loans<R> {
    fn default() -> Loans<R> {
        Loans { open: BTreeMap::new(), settled: BTreeMap::new() }
    }
}

impl<R> Loans<R> {
    /// Whether loan `id` may be made: not if it was settled before its request came.
    pub fn may_make(&self, id: u64) -> bool {
        !self.settled.contains_key(&id)
    }

    /// Makes a loan of `held`, unless it was made or settled meanwhile: then `held` is handed back
    /// to be given up, and a copy of the request is told of what was made first.
    pub fn make_once(&mut self, now: Time, id: u64, held: R) -> Result<(), R> {
        if self.open.contains_key(&id) || !self.may_make(id) {
            return Err(held);
        }
        self.make(now, id, held);
        Ok(())
    }

    /// What is held for loan `id`, if it is open.
    pub fn get(&self, id: u64) -> Option<&R> {
        self.open.get(&id).map(|(_, held)| held)
    }

    /// Makes a loan.
    pub fn make(&mut self, now: Time, id: u64, held: R) {
        self.open.insert(id, (now, held));
    }

    /// Ends a loan; returns what was held for it, once.
    pub fn settle(&mut self, now: Time, id: u64) -> Option<R> {
        self.settled.insert(id, now);
        self.open.remove(&id).map(|(_, held)| held)
    }

    /// Ends the loans whose borrowers keep silent, and returns what was held for them: all of it
    /// counts as used.
    pub fn expire(&mut self, now: Time) -> Vec<R> {
        self.settled.retain(|_, at| now.since(*at) < SETTLED_KEPT);
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, (since, _))| now.since(*since) >= SETTLE_WITHIN)
            .map(|(id, _)| *id)
            .collect();
        late.into_iter().filter_map(|id| self.settle(now, id)).collect()
    }
}
