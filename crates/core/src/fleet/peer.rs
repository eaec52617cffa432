//! Messages between routers: token loans, prompt placements, permits and relayed connections.
//!
//! A router that is short of a budget's tokens and cannot get more from the control group in time may
//! borrow parts of other routers' slices. The lender reserves the tokens as for a request of its own and
//! settles once the borrower reports what was used. Without a report, the whole loan counts as used. No
//! tokens move between leases, so the control group's ledger is not involved.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::limit::permits::{Grant, PermitRequest};
use super::origin::{Origin, OriginRecord, StreamId};
use super::relay::{Connect, Connected};
use crate::route::PromptPrefixes;
use crate::unit::{Millis, Time, Tokens};

/// Maximum time for a borrower to settle a loan; longer than any request timeout.
const LOAN_TIMEOUT: Millis = Millis::seconds(45);

/// How long the ids of settled loans are kept, to reject late requests for them.
const SETTLED_TTL: Millis = Millis::seconds(90);

/// A prompt that a router has sent to a replica. Other routers include it in their estimates of the
/// replica's load and of the prefixes that it has cached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Name of the service.
    pub service: String,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Tokens of the prompt that the replica does not have cached.
    pub fresh: Tokens,
    /// Prefixes of the prompt.
    pub trail: PromptPrefixes,
}

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reserve as many of the tokens as the lender can spare.
    Reserve {
        /// Random id of the loan, chosen by the borrower.
        id: u64,
        /// Name of the client account.
        account: String,
        /// Maximum number of tokens.
        tokens: Tokens,
    },
    /// Settle a loan; unused tokens return to the lender.
    Settle {
        /// Id of the loan.
        id: u64,
        /// Number of tokens used.
        used: Tokens,
    },
    /// Report that a prompt was sent to a replica.
    Placed(Placement),
    /// Reserve tokens at a home of the budget: all of them if they become available in time, else as many
    /// as there are.
    Hold {
        /// Random id of the loan, chosen by the borrower.
        id: u64,
        /// Name of the client account.
        account: String,
        /// Maximum number of tokens.
        tokens: Tokens,
        /// Maximum time to wait for more tokens.
        within: Millis,
    },
    /// Request permits for a replica with a rate limit.
    Permit(PermitRequest),
    /// Ask how much longer the receiver, as the primary issuer of a replica's permits, issues them at
    /// the reduced rate.
    Settles {
        /// Id of the replica.
        replica: String,
        /// Data centre of the replica.
        data_centre: String,
    },
    /// Open a connection to a replica and relay it on this link. Must be the first message on a link.
    Connect(Connect),
    /// Back off from a replica: it requested that from the receiver in a response that it relayed, or fails if it
    /// rejects more requests.
    BackedOff {
        /// Name of the service.
        service: String,
        /// Address of the replica.
        replica: SocketAddr,
        /// The backoff.
        span: Millis,
    },
    /// Keep the origins of streams.
    KeepOrigins(Vec<OriginRecord>),
    /// Ask for the origin of a stream.
    FindOrigin(StreamId),
}

/// The reason a home reserved fewer tokens than requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortfall {
    /// The whole budget is too small, according to the control group.
    Spent,
    /// The tokens are leased elsewhere; more may be available after this time.
    Busy(Millis),
    /// The home has the tokens, but its spending limit allows them only after this time.
    Limited(Millis),
    /// The router does not accept loans.
    Closed,
}

/// The response to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Number of tokens reserved; 0 if the lender can spare none.
    Reserved(Tokens),
    /// The loan is settled.
    Settled,
    /// The placement is recorded.
    Noted,
    /// Number of tokens reserved at a home, and the reason if not all of them are.
    Held(Tokens, Option<Shortfall>),
    /// The response to [`PeerRequest::Permit`].
    Permitted(Grant),
    /// Remaining time at the reduced rate, for [`PeerRequest::Settles`]; `None` if the router is
    /// not the primary issuer or issues at the full rate.
    Settles(Option<Millis>),
    /// The response to [`PeerRequest::Connect`].
    Connected(Connected),
    /// The origin of a stream; `None` if it is unknown.
    Origin(Option<Origin>),
}

/// Returns at most `limit` lenders to ask, in descending order of the tokens they can probably spare.
/// Ties are in random order, so that borrowers do not all ask the same lender.
pub fn choose_lenders<K>(
    peers: impl IntoIterator<Item = (K, Tokens)>,
    limit: usize,
    rng: &mut impl Rng,
) -> Vec<K> {
    // One random number per peer: drawing it in the comparison would not give a consistent order.
    let drawn = peers.into_iter().map(|(peer, spare)| (Reverse(spare), rng.random::<u32>(), peer));
    let mut all: Vec<_> = drawn.collect();
    all.sort_by_key(|(spare, draw, _)| (*spare, *draw));
    all.into_iter().take(limit).map(|(_, _, peer)| peer).collect()
}

/// Splits `used` tokens over the parts of a reservation: fills them in order and returns the charge of
/// each.
pub fn split_charge(parts: &[Tokens], used: Tokens) -> Vec<Tokens> {
    let mut remaining = used;
    let mut charge = |part: &Tokens| {
        let charged = remaining.min(*part);
        remaining -= charged;
        charged
    };
    parts.iter().map(&mut charge).collect()
}

/// The loans of a lender, by id; `R` is the reservation held for each.
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
    /// Returns whether loan `id` may be made; false if it was already settled, because then its request
    /// arrived late.
    pub fn can_open(&self, id: u64) -> bool {
        !self.settled.contains_key(&id)
    }

    /// Records loan `id` with its `reservation`, unless it is already open or settled.
    ///
    /// # Errors
    ///
    /// Returns the `reservation`, for the caller to release, if the loan is already open or settled.
    pub fn open_once(&mut self, now: Time, id: u64, reservation: R) -> Result<(), R> {
        if self.open.contains_key(&id) || !self.can_open(id) {
            return Err(reservation);
        }
        self.open(now, id, reservation);
        Ok(())
    }

    /// Returns the reservation held for loan `id`, if the loan is open.
    pub fn get(&self, id: u64) -> Option<&R> {
        self.open.get(&id).map(|(_, reservation)| reservation)
    }

    /// Records loan `id` with its `reservation`, and replaces an open loan with the same id.
    pub fn open(&mut self, now: Time, id: u64, reservation: R) {
        self.open.insert(id, (now, reservation));
    }

    /// Marks a loan as settled. Returns its reservation if the loan was open.
    pub fn settle(&mut self, now: Time, id: u64) -> Option<R> {
        self.settled.insert(id, now);
        self.open.remove(&id).map(|(_, reservation)| reservation)
    }

    /// Ends the loans that were not settled in time and returns their reservations, all of which count as
    /// used.
    pub fn expire(&mut self, now: Time) -> Vec<R> {
        self.settled.retain(|_, at| now.since(*at) < SETTLED_TTL);
        let overdue: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, (since, _))| now.since(*since) >= LOAN_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        overdue.into_iter().filter_map(|id| self.settle(now, id)).collect()
    }
}
