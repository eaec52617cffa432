//! How far behind a process is with its own work, and how full its link is.
//!
//! Callers may stay with one gateway whatever they are told, and its processor then has more to do
//! than it can. All its work waits in one queue, also what it hears of the fleet: a gateway that goes
//! on taking requests hears of no new document, gets no loan in time, notices late that callers have
//! gone, and answers nobody in time. A pass of that queue is measured at each request, at next to no
//! cost, and new requests are refused while passes are so long that those under way suffer.

use std::collections::VecDeque;

use crate::unit::{Millis, Time};

/// The longest pass with which requests are taken. Each event of a stream waits for a pass, and streams
/// are to be passed on within 200 ms of the replica's sending; a link to a control process takes three
/// passes to open, within 600 ms.
pub const LONGEST: Millis = Millis(200);

/// For how long a pass counts: what comes within it meets the same queue.
const LOOK_BACK: Millis = Millis(300);

/// For how long after such a pass a gateway that hears of nobody takes itself for overloaded, not for
/// cut off: links that broke meanwhile take a second to open and to be answered on.
const RECENTLY: Millis = Millis::seconds(3);

/// Weight of the newest pass in the mean, as a divisor.
const SMOOTHING: u64 = 16;

/// A mean pass with which a gateway is busy. A request waits for some eight passes on its way: at 25 ms
/// they take 200 ms of the second or less in which most answers are wanted.
const BUSY_PASS_US: u64 = 25_000;

/// The part of its link's capacity with which a gateway is busy, in hundredths. What is sent in bursts
/// fills the rest, and what a gateway hears of the fleet waits behind it.
const BUSY_LINK: u64 = 50;

/// The part with which new connections are refused: what callers send on those there are already fills
/// the rest.
const FULL_LINK: u64 = 80;

/// Over how long a link is looked at, at least.
const LINK_SPAN: Millis = Millis(300);

/// After so long without a request the mean says nothing any more.
const MEAN_KEPT: Millis = Millis::seconds(2);

/// How often refusals are logged.
const TELL_EVERY: Millis = Millis::seconds(1);

/// The passes of late.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// When they ended, and how long they took: only those that no later one exceeds.
    passes: VecDeque<(Time, Millis)>,
    behind_at: Option<Time>,
    mean_us: u64,
    noted_at: Time,
    /// Requests refused since that was told, and when it was.
    refused: u64,
    told_at: Time,
    /// Bytes served by a time, and how full the link was in the span before.
    served: (Time, u64),
    link: u64,
}

impl Pace {
    /// Notes a pass that ended at `now` and took so many microseconds.
    pub fn note(&mut self, now: Time, took_us: u64) {
        let took = Millis(took_us / 1_000);
        while self.passes.back().is_some_and(|(_, t)| *t <= took) {
            self.passes.pop_back();
        }
        self.passes.push_back((now, took));
        if took > LONGEST {
            self.behind_at = Some(now);
        }
        self.mean_us = self.mean_us - self.mean_us / SMOOTHING + took_us / SMOOTHING;
        self.noted_at = now;
    }

    /// Whether the process is too far behind to take another request.
    pub fn is_behind(&mut self, now: Time) -> bool {
        while self.passes.front().is_some_and(|(at, _)| now.since(*at) > LOOK_BACK) {
            self.passes.pop_front();
        }
        self.passes.front().is_some_and(|(_, took)| *took > LONGEST)
    }

    /// Counts a request that is refused or not. Returns how many were refused, if that is to be told.
    pub fn told(&mut self, now: Time, refused: bool) -> Option<u64> {
        self.refused += u64::from(refused);
        if self.refused == 0 || now.since(self.told_at) < TELL_EVERY {
            return None;
        }
        self.told_at = now;
        Some(std::mem::take(&mut self.refused))
    }

    /// Whether it was so lately.
    pub fn was_behind(&self, now: Time) -> bool {
        self.behind_at.is_some_and(|at| now.since(at) < RECENTLY)
    }

    /// The mean pass of late, in microseconds.
    pub fn mean_us(&self, now: Time) -> u64 {
        if now.since(self.noted_at) < MEAN_KEPT { self.mean_us } else { 0 }
    }

    /// Notes how many bytes have come from callers and gone to them since the start, over a link that
    /// bears `capacity` of them a second; 0: nobody knows. Each crosses it twice, once each way.
    pub fn note_served(&mut self, now: Time, bytes: u64, capacity: u64) {
        let (since, before) = self.served;
        let span = now.since(since);
        if span < LINK_SPAN {
            return;
        }
        self.served = (now, bytes);
        let fits = capacity * span.0 / 1_000;
        self.link = ((bytes - before.min(bytes)) * 100).checked_div(fits).unwrap_or(0);
    }

    /// How full the link was lately, in hundredths.
    pub fn link(&self) -> u64 {
        self.link
    }

    /// Whether there is no room on the link for what further callers would send.
    pub fn is_full(&self) -> bool {
        self.link >= FULL_LINK
    }

    /// Whether callers are better off elsewhere.
    pub fn is_busy(&self, now: Time) -> bool {
        self.mean_us(now) >= BUSY_PASS_US || self.link >= BUSY_LINK
    }
}
