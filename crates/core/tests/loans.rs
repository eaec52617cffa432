//! Loans between routers: whatever becomes of their messages, and whoever dies, what borrowers use
//! was set aside before, and nothing that was set aside is lost or counted twice.

use std::collections::BTreeMap;

use cypressfork_core::fleet::share::Loans;
use cypressfork_core::unit::{Millis, Time, Tokens};
use proptest::prelude::*;

const HOMES: usize = 3;

/// What each home has at first.
const TOTAL: Tokens = 10_000;

/// The longest that a request runs, in milliseconds.
const RUN_MOST: u64 = 15_000;

/// A home: tokens that are idle, set aside in loans, and spent.
#[derive(Default)]
struct Home {
    idle: Tokens,
    loans: Loans<Tokens>,
    /// What is set aside in each open loan.
    open: BTreeMap<u64, Tokens>,
    spent: Tokens,
}

impl Home {
    /// Serves a request for a loan, which may be a copy.
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
        let late: Tokens = self.loans.expire(now).into_iter().sum();
        self.spent += late;
        self.open.retain(|id, _| self.loans.get(*id).is_some());
    }
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Hold { id: u64, wanted: Tokens },
    Settle { id: u64, used: Tokens },
}

/// A request of a borrower that runs with tokens of one home.
#[derive(Clone, Copy, Debug)]
struct Run {
    home: usize,
    id: u64,
    held: Tokens,
    used: Tokens,
    since: Time,
}

#[derive(Default)]
struct World {
    now: Time,
    homes: Vec<Home>,
    /// Messages that were sent and may yet arrive, in any order, more than once.
    sent: Vec<(usize, Message)>,
    running: Vec<Run>,
    /// What requests have used in truth, by home.
    used: Vec<Tokens>,
    ids: u64,
}

#[derive(Clone, Debug)]
enum Step {
    /// A borrower asks; whether its answer comes.
    Borrow {
        home: usize,
        wanted: Tokens,
        answered: bool,
    },
    /// A request goes on.
    Use {
        run: usize,
        part: u8,
    },
    /// It ends, and the home is told; whether that arrives at once.
    End {
        run: usize,
        arrives: bool,
    },
    /// The borrower dies, and its requests with it.
    Die {
        run: usize,
    },
    /// A message that was sent arrives, late or once more.
    Arrive {
        message: usize,
    },
    Pass {
        ms: u64,
    },
}

impl World {
    fn new() -> World {
        let home = || Home { idle: TOTAL, ..Home::default() };
        let homes = (0..HOMES).map(|_| home()).collect();
        World { homes, used: vec![0; HOMES], ..World::default() }
    }

    fn arrive(&mut self, home: usize, m: Message) -> Tokens {
        match m {
            Message::Hold { id, wanted } => self.homes[home].hold(self.now, id, wanted),
            Message::Settle { id, used } => {
                self.homes[home].settle(self.now, id, used);
                0
            }
        }
    }

    fn borrow(&mut self, home: usize, wanted: Tokens, answered: bool) {
        self.ids += 1;
        let id = self.ids;
        let ask = Message::Hold { id, wanted };
        self.sent.push((home, ask));
        if !answered {
            // It gives up, and says so; both may arrive yet, in any order.
            return self.sent.push((home, Message::Settle { id, used: 0 }));
        }
        let held = self.arrive(home, ask);
        if held > 0 {
            self.running.push(Run { home, id, held, used: 0, since: self.now });
        }
    }

    fn end(&mut self, run: usize, arrives: bool) {
        let r = self.running.remove(run);
        let settle = Message::Settle { id: r.id, used: r.used };
        self.sent.push((r.home, settle));
        if arrives {
            self.arrive(r.home, settle);
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
            Step::Die { run } if running > 0 => {
                self.running.remove(run % running);
            }
            Step::Arrive { message } if !self.sent.is_empty() => {
                let (home, m) = self.sent[message % self.sent.len()];
                self.arrive(home, m);
            }
            Step::Pass { ms } => self.pass(*ms),
            _ => {}
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(Millis(ms));
        // A request has a deadline; whoever runs it stops then, and says so as long as it lives.
        while let Some(n) = self.running.iter().position(|r| self.now.since(r.since).0 > RUN_MOST) {
            self.end(n, true);
        }
        for h in &mut self.homes {
            h.expire(self.now);
        }
    }

    fn check(&self) {
        for (h, used) in self.homes.iter().zip(&self.used) {
            let open: Tokens = h.open.values().sum();
            assert_eq!(h.idle + open + h.spent, TOTAL, "tokens are conserved");
            assert!(*used <= h.spent + open, "{used} used, {} spent, {open} set aside", h.spent);
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
        1 => run.clone().prop_map(|run| Step::Die { run }),
        3 => run.prop_map(|message| Step::Arrive { message }),
        1 => (1..12_000u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203), ..ProptestConfig::default() })]

    /// Whatever is lost, doubled, late or crossed, and whoever dies.
    #[test]
    fn no_order_of_messages_uses_more_than_was_set_aside(steps in prop::collection::vec(step(), 1..150)) {
        let mut w = World::new();
        for s in &steps {
            w.step(s);
            w.check();
        }
    }
}

#[test]
fn a_copy_of_a_request_for_a_loan_sets_nothing_more_aside() {
    let mut h = Home { idle: 100, ..Home::default() };
    assert_eq!(h.hold(Time(0), 1, 60), 60);
    assert_eq!(h.hold(Time(5), 1, 60), 60, "it is told of the first");
    assert_eq!((h.idle, h.spent), (40, 0));
    h.settle(Time(9), 1, 10);
    assert_eq!(h.hold(Time(10), 1, 60), 0, "a copy that comes after the end");
    assert_eq!((h.idle, h.spent), (90, 10));
}
