//! What a router knows of one replica of a service.

use std::collections::VecDeque;

use super::backlog::Backlog;
use super::rest::Rest;
use crate::config::Upstream;
use crate::fleet::rollout::split::Side;
use crate::unit::{Millis, Time};

/// What a replica in another data centre costs, in microseconds.
const FAR: u64 = 3_000;

/// What a replica in another region costs, in microseconds: a round trip of some 40 ms, and half as
/// much again as the link is shared by all.
const ABROAD: u64 = 60_000;

/// Weight of the newest sample of how running requests delay the next one, as a divisor.
const SMOOTHING: u64 = 8;

/// The time that a running request delays the next one until it was measured, in microseconds.
const SHARE_GUESS: u64 = 20_000;

/// Requests that an engine runs side by side before more of them wait, until a report says so.
const SLOTS_GUESS: u32 = 8;

/// How late reports of load may be and still be told apart from this router's own requests.
const REPORTS_LATE: Millis = Millis::seconds(15);

/// What a router knows of one replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Where it is.
    pub upstream: Upstream,
    /// Requests of this router that it is running.
    pub outstanding: u32,
    /// The prompts that it is to read.
    pub(super) backlog: Backlog,
    pub(super) slots: u32,
    /// Version of its software.
    pub(super) version: String,
    /// The side of its service's roll-out that it is on.
    pub side: Side,
    pub(super) failures: u32,
    pub(super) out_until: Time,
    pub(super) leaving: bool,
    /// Until when it bears few requests.
    pub(super) cold_until: Time,
    /// Its data centre gets no new work.
    pub(super) closed: bool,
    /// It lies in another region than this router.
    pub(super) abroad: bool,
    /// It names a limit.
    pub(super) limited: bool,
    /// Until when requests that are no more urgent than this get no permit for it.
    pub(super) barred: Option<(Time, u8)>,
    /// It wants nothing from this router for a while.
    pub(super) rest: Rest,
    /// How `outstanding` changed lately, to tell own requests in a late report from others'.
    history: VecDeque<(Time, u32)>,
    reported: Time,
    /// Requests of others in the last report.
    others: u32,
    share_us: u64,
}

impl Replica {
    pub(super) fn new(upstream: &Upstream) -> Replica {
        Replica {
            upstream: upstream.clone(),
            outstanding: 0,
            backlog: Backlog::default(),
            slots: SLOTS_GUESS,
            version: String::new(),
            side: Side::default(),
            failures: 0,
            out_until: Time(0),
            leaving: false,
            cold_until: Time(0),
            closed: false,
            abroad: false,
            limited: false,
            barred: None,
            rest: Rest::default(),
            history: VecDeque::new(),
            reported: Time(0),
            others: 0,
            share_us: SHARE_GUESS,
        }
    }

    pub(super) fn set_outstanding(&mut self, now: Time, n: u32) {
        self.outstanding = n;
        self.history.push_back((now, n));
        while self.history.get(1).is_some_and(|(at, _)| now.since(*at) > REPORTS_LATE) {
            self.history.pop_front();
        }
    }

    /// Requests of this router that it was running at `at`.
    fn outstanding_at(&self, at: Time) -> u32 {
        self.history.iter().rev().find(|(t, _)| *t <= at).map_or(0, |(_, n)| *n)
    }

    /// Takes a report of its load, made at `at`, unless a newer one has come.
    pub(super) fn report(&mut self, at: Time, running: u32, waiting: u32) {
        if at > self.reported {
            self.reported = at;
            self.others = (running + waiting).saturating_sub(self.outstanding_at(at));
        }
    }

    /// Requests that it has now, as far as can be told: this router's own, and those of others
    /// when it last reported.
    pub(super) fn load(&self) -> u64 {
        u64::from(self.outstanding) + u64::from(self.others)
    }

    /// The expected time to the first event, in microseconds: waiting for a place, sharing the
    /// engine with what runs, the prompts before it, and what of its own is not in the cache.
    pub(super) fn expected_us(&self, now: Time, data_centre: &str, fresh: u64) -> u64 {
        let load = self.load();
        let queued = load.saturating_sub(u64::from(self.slots)) * u64::from(self.slots);
        let far = match self.abroad {
            true => ABROAD,
            false if self.upstream.vm.data_centre == data_centre => 0,
            false => FAR,
        };
        let reading = self.backlog.left(now) + self.backlog.span(fresh);
        (load + queued) * self.share_us + reading + far
    }

    /// Takes the first event of the request `ticket`, `first_us` after it was sent.
    pub(super) fn first_event(&mut self, now: Time, ticket: u64, first_us: u64) {
        let Some(reading) = self.backlog.first_event(now, ticket, first_us) else { return };
        let others = self.load().saturating_sub(1);
        if let Some(sample) = first_us.saturating_sub(reading).checked_div(others) {
            self.share_us = self.share_us - self.share_us / SMOOTHING + sample.div_ceil(SMOOTHING);
        }
    }

    /// Whether it may get new work, as far as others say.
    pub(super) fn is_open(&self) -> bool {
        !self.leaving && !self.closed
    }

    /// Whether its limit keeps requests of this priority away.
    pub(super) fn is_barred(&self, now: Time, priority: u8) -> bool {
        self.limited && self.barred.is_some_and(|(until, least)| until > now && priority >= least)
    }

    /// Whether it gets no new work at `now`.
    pub fn is_out(&self, now: Time) -> bool {
        !self.is_open() || self.out_until > now
    }
}
