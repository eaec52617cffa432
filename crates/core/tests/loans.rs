//! Property tests of loans between routers: with lost, duplicated and reordered messages and crashed
//! borrowers, no more tokens are used than were reserved, and none are lost or counted twice.

use std::collections::BTreeMap;

use cypressfork_core::fleet::peer::Loans;
use cypressfork_core::unit::{Millis, Time, Tokens};
use proptest::prelude::*;

const HOMES: usize = 3;

/// Tokens of each home at the start.
const TOTAL: Tokens = 10_000;

/// Deadline of a request, in milliseconds.
const MAX_RUN_MS: u64 = 15_000;

/// A home router: its idle tokens, those reserved in loans, and those spent.
#[derive(Default)]
struct Home {
    idle: Tokens,
    loans: Loans<Tokens>,
    /// Tokens reserved in each open loan.
    open: BTreeMap<u64, Tokens>,
    spent: Tokens,
}

impl Home {
    /// Handles a request for a loan, possibly a duplicate. Returns the tokens reserved under `id`.
    fn hold(&mut self, now: Time, id: u64, wanted: Tokens) -> Tokens {
        let part = wanted.min(self.idle);
        self.idle -= part;
        match self.loans.open_once(now, id, part) {
            Ok(()) => {
                self.open.insert(id, part);
            }
            Err(part) => self.idle += part,
        }
        self.loans.get(id).copied().unwrap_or(0)
    }

    fn settle(&mut self, now: Time, id: u64, used: Tokens) {
        if let Some(held) = self.loans.settle(now, id) {
            let used = used.min(held);
            self.spent += used;
            self.idle += held - used;
            assert_eq!(self.open.remove(&id), Some(held));
        }
    }

    fn expire(&mut self, now: Time) {
        let expired: Tokens = self.loans.expire(now).into_iter().sum();
        self.spent += expired;
        self.open.retain(|id, _| self.loans.get(*id).is_some());
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Hold { id: u64, wanted: Tokens },
    Settle { id: u64, used: Tokens },
}

/// A running request of a borrower that uses tokens of one home.
#[derive(Clone, Copy, Debug)]
struct Run {
    home: usize,
    id: u64,
    held: Tokens,
    used: Tokens,
    since: Time,
}

#[derive(Default)]
struct Simulation {
    now: Time,
    homes: Vec<Home>,
    /// Messages sent. Each may arrive any number of times, in any order.
    sent: Vec<(usize, Message)>,
    running: Vec<Run>,
    /// Tokens that requests have actually used, by home.
    used: Vec<Tokens>,
    last_id: u64,
}

#[derive(Clone, Debug)]
enum Step {
    /// A borrower requests a loan; `answered` is whether it gets the response.
    Borrow {
        home: usize,
        wanted: Tokens,
        answered: bool,
    },
    /// A request uses a part of its remaining tokens, in 255ths.
    Use {
        run: usize,
        part: u8,
    },
    /// A request ends and settles its loan; `arrives` is whether the settlement arrives at once.
    End {
        run: usize,
        arrives: bool,
    },
    /// The borrower of a request crashes without settling.
    Crash {
        run: usize,
    },
    /// A message arrives late or again.
    Deliver {
        message: usize,
    },
    Advance {
        ms: u64,
    },
}

impl Simulation {
    fn new() -> Simulation {
        let home = || Home { idle: TOTAL, ..Home::default() };
        let homes = (0..HOMES).map(|_| home()).collect();
        Simulation { homes, used: vec![0; HOMES], ..Simulation::default() }
    }

    fn deliver(&mut self, home: usize, m: Message) -> Tokens {
        match m {
            Message::Hold { id, wanted } => self.homes[home].hold(self.now, id, wanted),
            Message::Settle { id, used } => {
                self.homes[home].settle(self.now, id, used);
                0
            }
        }
    }

    fn borrow(&mut self, home: usize, wanted: Tokens, answered: bool) {
        self.last_id += 1;
        let id = self.last_id;
        let request = Message::Hold { id, wanted };
        self.sent.push((home, request));
        if !answered {
            // The borrower gives up and settles; both messages may still arrive, in any order.
            return self.sent.push((home, Message::Settle { id, used: 0 }));
        }
        let held = self.deliver(home, request);
        if held > 0 {
            self.running.push(Run { home, id, held, used: 0, since: self.now });
        }
    }

    fn end(&mut self, run: usize, arrives: bool) {
        let r = self.running.remove(run);
        let settle = Message::Settle { id: r.id, used: r.used };
        self.sent.push((r.home, settle));
        if arrives {
            self.deliver(r.home, settle);
        }
    }

    fn step(&mut self, s: &Step) {
        let running = self.running.len();
        match s {
            Step::Borrow { home, wanted, answered } => self.borrow(*home, *wanted, *answered),
            Step::Use { run, part } if running > 0 => {
                let r = &mut self.running[run % running];
                let more = (r.held - r.used) * u64::from(*part) / 255;
                r.used += more;
                self.used[r.home] += more;
            }
            Step::End { run, arrives } if running > 0 => self.end(run % running, *arrives),
            Step::Crash { run } if running > 0 => {
                self.running.remove(run % running);
            }
            Step::Deliver { message } if !self.sent.is_empty() => {
                let (home, m) = self.sent[message % self.sent.len()];
                self.deliver(home, m);
            }
            Step::Advance { ms } => self.advance(*ms),
            _ => {}
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Millis(ms));
        // A borrower that has not crashed stops a request at its deadline and settles.
        while let Some(n) = self.running.iter().position(|r| self.now.since(r.since).0 > MAX_RUN_MS)
        {
            self.end(n, true);
        }
        for h in &mut self.homes {
            h.expire(self.now);
        }
    }

    fn check_invariants(&self) {
        for (h, used) in self.homes.iter().zip(&self.used) {
            let open: Tokens = h.open.values().sum();
            assert_eq!(h.idle + open + h.spent, TOTAL, "tokens are conserved");
            assert!(*used <= h.spent + open, "{used} used, {} spent, {open} reserved", h.spent);
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let run = 0..1_000usize;
    prop_oneof![
        4 => (0..HOMES, 1..3_000u64, prop::bool::weighted(0.8))
            .prop_map(|(home, wanted, answered)| Step::Borrow { home, wanted, answered }),
        3 => (run.clone(), any::<u8>()).prop_map(|(run, part)| Step::Use { run, part }),
        3 => (run.clone(), any::<bool>()).prop_map(|(run, arrives)| Step::End { run, arrives }),
        1 => run.clone().prop_map(|run| Step::Crash { run }),
        3 => run.prop_map(|message| Step::Deliver { message }),
        1 => (1..12_000u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203), ..ProptestConfig::default() })]

    /// Guards against overspending and lost tokens under message faults and crashes.
    #[test]
    fn no_order_of_messages_uses_more_than_was_reserved(steps in prop::collection::vec(step(), 1..150)) {
        let mut sim = Simulation::new();
        for s in &steps {
            sim.step(s);
            sim.check_invariants();
        }
    }
}

#[test]
fn a_duplicate_request_for_a_loan_reserves_nothing_more() {
    let mut h = Home { idle: 100, ..Home::default() };
    assert_eq!(h.hold(Time(0), 1, 60), 60);
    assert_eq!(h.hold(Time(5), 1, 60), 60, "a duplicate gets the first response");
    assert_eq!((h.idle, h.spent), (40, 0));
    h.settle(Time(9), 1, 10);
    assert_eq!(h.hold(Time(10), 1, 60), 0, "a duplicate after the settlement");
    assert_eq!((h.idle, h.spent), (90, 10));
}
