//! A holder that binds itself: what its death leaves free was never spent.

use std::collections::BTreeMap;

use cypressfork_core::budget::{
    Bound, Bounds, Elapsed, LeaseRequest, Ledger, Policy, Rate, Report, Reservation, SliceStore,
    report_interval,
};
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::state::State;
use cypressfork_core::unit::{HolderId, LeaseId, Millis, Time, Tokens};
use proptest::prelude::*;
use rstest::rstest;

const BUDGET: &str = "account/club";
const TOTAL: Tokens = 1_000_000;

fn bound(spent: Tokens, limit: Tokens, rate: Tokens) -> Bound {
    Bound { budget: BUDGET.to_owned(), spent, limit, rate }
}

fn span(ms: u64) -> Option<Millis> {
    Some(Millis(ms))
}

/// Reports as (seq, after, bound); then how long ago the last two were taken.
#[rstest]
#[case::nothing_told(&[], (span(0), span(0)), 0)]
#[case::one_told(&[(1, 0, bound(10, 100, 0))], (span(5_000), span(9_000)), 90)]
#[case::rate_since_the_last(&[(1, 0, bound(10, 100, 20))], (span(2_000), span(9_000)), 130)]
#[case::the_one_before_allows_more(
    &[(1, 0, bound(0, 500, 0)), (2, 1, bound(50, 100, 0))], (span(10), span(20)), 450)]
#[case::the_rate_of_the_one_before_runs_longer(
    &[(1, 0, bound(0, 100, 100)), (2, 1, bound(100, 200, 0))], (span(10), span(9_000)), 900)]
#[case::a_late_copy_changes_nothing(
    &[(1, 0, bound(0, 100, 0)), (2, 1, bound(90, 400, 0)), (1, 0, bound(0, 100, 0))],
    (span(10), span(20)), 310)]
#[case::an_unanswered_one_keeps_the_one_before(
    &[(1, 0, bound(0, 700, 0)), (2, 1, bound(0, 100, 0)), (3, 1, bound(50, 100, 0))],
    (span(10), span(20)), 650)]
#[case::an_unknown_span_frees_nothing(
    &[(1, 0, bound(10, 100, 5))], (None, None), Tokens::MAX - 10)]
#[case::without_a_rate_the_span_does_not_matter(&[(1, 0, bound(10, 100, 0))], (None, None), 90)]
fn what_a_dead_holder_may_have_spent(
    #[case] reports: &[(u64, u64, Bound)],
    #[case] (last, before): (Option<Millis>, Option<Millis>),
    #[case] unreported: Tokens,
) {
    let mut b = Bounds::default();
    for (seq, after, word) in reports {
        b.record(HolderId(1), Time(1), *seq, *after, std::slice::from_ref(word));
    }
    assert_eq!(b.unreported(HolderId(1), BUDGET, &Elapsed { last, before }), unreported);
}

#[test]
fn a_bound_holder_waits_for_its_word_to_be_taken() {
    let mut w = World::new();
    assert!(w.reserve(0, 5_000).is_none(), "nothing was told yet");
    w.want(0, 5_000);
    w.tell(0, Fate::Answered);
    let r = w.reserve(0, 5_000).unwrap();
    w.settle(0, r, 5_000);
}

#[test]
fn a_request_that_waits_is_in_every_report_until_it_stops() {
    let mut w = World::new();
    w.ask(0, 100_000);
    let now = w.now;
    let limit = |w: &mut World| w.slices(0).bound(now, BUDGET).unwrap().limit;
    let before = w.slices(0).bound(now, BUDGET).unwrap();
    // It begins to wait while a report is under way that does not ask for it.
    w.want(0, 40_000);
    w.slices(0).confirm_bound(now, &before);
    assert!(limit(&mut w) >= 40_000, "the answer to that report made it forgotten");
    // A second one waits too, and smaller requests come in between.
    w.want(0, 30_000);
    assert!(limit(&mut w) >= 70_000, "only the largest was asked for");
    [40_000, 30_000].iter().for_each(|n| w.slices(0).remove_limit_demand(*n));
    assert_eq!(limit(&mut w), before.limit);
}

#[test]
fn a_part_is_set_aside_where_the_whole_does_not_fit() {
    let mut w = World::new();
    w.ask(0, 50_000);
    w.want(0, 8_000);
    w.tell(0, Fate::Answered);
    let now = w.now;
    let allowed = w.slices(0).limit_remaining(now);
    assert!(allowed > 0 && allowed < 50_000);
    assert!(w.reserve(0, 50_000).is_none());
    let part = w.slices(0).reserve_part(now, 50_000).unwrap();
    assert_eq!(part.amount(), allowed);
    assert!(w.slices(0).reserve_part(now, 1).is_none(), "the limit is used up");
}

/// A holder that served one large request has no higher rate than its usual spending.
#[test]
fn one_large_request_hardly_raises_what_a_death_strands() {
    let policy = policy();
    let mut rate = Rate::default();
    for second in 0..20 {
        rate.record(Time(second * 1_000), 500);
    }
    rate.close_sample(Time(20_000));
    let (room, growth) = policy.unreported_allowance(&rate, 0);
    rate.record(Time(20_000), 17_000);
    let (room_after, growth_after) = policy.unreported_allowance(&rate, 0);
    assert_eq!((room, growth), (room_after, growth_after), "one sample is not closed yet");
    rate.close_sample(Time(21_000));
    let (room_after, growth_after) = policy.unreported_allowance(&rate, 0);
    assert!(room_after < 5_000 && growth_after < 6_000, "{room_after} {growth_after}");
}

/// What is idle and what all holders spend usually decide, not the size of the whole budget.
#[test]
fn a_holder_with_little_idle_binds_itself_to_little() {
    let huge = Policy::for_prepaid(1_000_000_000);
    assert_eq!(huge.unreported_allowance(&Rate::default(), 1_600), (100, 100));
}

/// What can have been spent unreported counts, and the rest comes free, as the event says.
#[test]
fn a_write_off_is_told_beforehand() {
    let mut w = World::new();
    w.ask(0, 100_000);
    w.tell(0, Fate::Answered);
    let holder = w.holders[0].id;
    let elapsed = Elapsed { last: span(1_000), before: span(1_000) };
    let open = w.held(0);
    let told = w.ledger.write_off_amounts(holder, &elapsed);
    assert_eq!(told.counted + told.freed, open);
    let spent = w.ledger.get(BUDGET).unwrap().spent();
    w.ledger.write_off(holder, &elapsed);
    assert_eq!(w.ledger.get(BUDGET).unwrap().spent() - spent, told.counted);
    assert_eq!(w.held(0), 0);
}

#[test]
fn an_unanswered_holder_spends_at_its_rate_only() {
    let mut w = World::new();
    w.tell(0, Fate::Answered);
    let now = w.now;
    let first = w.slices(0).limit_remaining(now);
    w.pass(4_000);
    let now = w.now;
    let later = w.slices(0).limit_remaining(now);
    assert!(later > first, "it may go on without an answer");
    assert!(w.reserve(0, later + 1).is_none(), "but no faster than it said");
    assert!(w.reserve(0, later).is_some());
}

/// It is known when the limit allows a request by itself, and never too early.
#[test]
fn it_is_known_when_an_unanswered_holder_may_spend_more() {
    let mut w = World::new();
    w.tell(0, Fate::Answered);
    let now = w.now;
    let allowed = w.slices(0).limit_remaining(now);
    assert_eq!(w.slices(0).limit_wait(now, allowed), Some(Millis(0)));
    let span = w.slices(0).limit_wait(now, allowed + 2_000).unwrap();
    assert!(span > Millis(0));
    w.pass(span.0 - 2);
    assert!(w.reserve(0, allowed + 2_000).is_none(), "it is too early");
    w.pass(2);
    assert!(w.reserve(0, allowed + 2_000).is_some());
    let (now, idle) = (w.now, w.held(0));
    assert_eq!(w.slices(0).limit_wait(now, idle + 1), None, "tokens are missing");
}

#[test]
fn a_holder_that_was_never_answered_waits_for_a_report() {
    let mut w = World::new();
    let now = w.now;
    assert_eq!(w.slices(0).limit_wait(now, 10), None);
}

#[test]
fn a_death_frees_what_was_not_allowed() {
    let mut w = World::new();
    w.want(0, 5_000);
    w.tell(0, Fate::Answered);
    let r = w.reserve(0, 5_000).unwrap();
    w.settle(0, r, 3_000);
    w.tell(0, Fate::Answered);
    let held = w.held(0);
    w.pass(500);
    w.replace(0);
    let f = w.ledger.get(BUDGET).unwrap();
    assert_eq!(f.open(), w.held(1), "nothing of the dead one's is open");
    assert!(f.spent() >= 3_000);
    assert!(f.spent() < held / 2, "most of its {held} tokens came free");
}

/// Through the commands of the log: a successor's registration, then the leader's word for how
/// long its predecessor may have gone on.
#[test]
fn a_successor_frees_its_predecessors_slices_once() {
    let mut state = State::default();
    let mut index = 0;
    let mut apply = |c: &Command| {
        index += 1;
        state.apply(Time(index * 10), LeaseId { term: 1, index }, c)
    };
    let budgets = vec![(BUDGET.to_owned(), TOTAL)];
    apply(&Command::Publish { version: 1, source: "{}".into(), budgets, services: Vec::new() });
    let register = |nonce, age| Command::Register {
        vm: "entry-1".into(),
        data_centre: "tamar-a".into(),
        address: "10.0.0.1:80".into(),
        nonce,
        age: Millis(age),
        link: String::new(),
    };
    let Answer::Registered(old) = apply(&register(1, 0)) else { panic!() };
    let budget = BUDGET.to_owned();
    let ask = LeaseRequest { holder: old, budget, seq: 1, need: 90_000, want: 90_000 };
    assert!(matches!(apply(&Command::Ask(ask)), Answer::Decided(Ok(_))));
    let told = Command::Tally {
        holder: old,
        reports: Vec::new(),
        batch: 0,
        bills: Vec::new(),
        seq: 1,
        after: 0,
        bounds: vec![bound(0, 20_000, 1_000)],
    };
    apply(&told);
    let Answer::Registered(new) = apply(&register(2, 700)) else { panic!() };
    assert_ne!(old, new);
    assert_eq!(apply(&register(2, 700)), Answer::Registered(new), "a resend");
    let elapsed = Elapsed { last: span(3_000), before: span(9_000) };
    let write_off = Command::WriteOff { holder: old, elapsed };
    apply(&write_off);
    apply(&write_off);
    assert_eq!(state.unsettled_holders().count(), 0);
    let f = state.ledger().get(BUDGET).unwrap();
    assert_eq!((f.spent(), f.open(), f.free()), (23_000, 0, TOTAL - 23_000));
}

#[test]
fn it_is_known_how_long_a_successor_had_been_running() {
    let mut state = State::default();
    for (index, age) in [(1, 0), (2, 700)] {
        let c = Command::Register {
            vm: "entry-1".into(),
            data_centre: "tamar-a".into(),
            address: "10.0.0.1:80".into(),
            nonce: index,
            age: Millis(age),
            link: String::new(),
        };
        state.apply(Time(index), LeaseId { term: 1, index }, &c);
    }
    assert_eq!(state.unsettled_holders().collect::<Vec<_>>(), [(HolderId(1), Millis(700))]);
}

/// What becomes of a report.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Lost,
    Taken,
    Answered,
    /// It arrives when the next step of this kind comes.
    Late,
}

struct Sent {
    holder: HolderId,
    seq: u64,
    after: u64,
    reports: Vec<Report>,
    bounds: Vec<Bound>,
}

struct Holder {
    id: HolderId,
    slices: SliceStore,
    /// Numbers of the last report and of the last one known to be taken.
    told: (u64, u64),
    open: Vec<Reservation>,
    /// What requests wait for a limit with.
    waiting: Vec<Tokens>,
}

/// Two holders and their grantor.
struct World {
    now: Time,
    ledger: Ledger,
    holders: Vec<Holder>,
    ids: u64,
    consumed: Tokens,
    /// When a report first came, by holder and number.
    came: BTreeMap<(HolderId, u64), Time>,
    late: Vec<Sent>,
}

fn policy() -> Policy {
    Policy::for_prepaid(TOTAL)
}

impl World {
    fn new() -> World {
        let mut ledger = Ledger::default();
        ledger.fund(BUDGET, TOTAL, policy());
        let mut w = World {
            now: Time(1_000),
            ledger,
            holders: Vec::new(),
            ids: 0,
            consumed: 0,
            came: BTreeMap::new(),
            late: Vec::new(),
        };
        for _ in 0..2 {
            let h = w.fresh();
            w.holders.push(h);
        }
        (0..2).for_each(|n| w.ask(n, 50_000));
        w
    }

    fn fresh(&mut self) -> Holder {
        self.ids += 1;
        let id = HolderId(self.ids);
        Holder {
            id,
            slices: SliceStore::new(policy(), 0),
            told: (0, 0),
            open: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn slices(&mut self, n: usize) -> &mut SliceStore {
        &mut self.holders[n].slices
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(Millis(ms));
    }

    fn held(&self, n: usize) -> Tokens {
        let f = self.ledger.get(BUDGET).unwrap();
        let own = f.leases().filter(|(_, l)| l.holder == self.holders[n].id);
        own.map(|(_, l)| l.open()).sum()
    }

    fn ask(&mut self, n: usize, need: Tokens) {
        let (now, id) = (self.now, self.holders[n].id);
        let Some(ask): Option<LeaseRequest> = self.slices(n).next_request(now, id, BUDGET, need)
        else {
            return;
        };
        self.ids += 1;
        let lease = LeaseId { term: 1, index: self.ids };
        let decision = self.ledger.request_lease(now, lease, &ask).unwrap();
        self.slices(n).apply_decision(ask.seq, &decision);
    }

    fn want(&mut self, n: usize, tokens: Tokens) {
        self.slices(n).add_limit_demand(tokens);
        self.holders[n].waiting.push(tokens);
    }

    fn reserve(&mut self, n: usize, tokens: Tokens) -> Option<Reservation> {
        let now = self.now;
        self.slices(n).reserve(now, tokens)
    }

    fn settle(&mut self, n: usize, r: Reservation, used: Tokens) {
        let now = self.now;
        self.consumed += self.slices(n).settle(now, r, used);
    }

    fn tell(&mut self, n: usize, fate: Fate) {
        let now = self.now;
        let h = &mut self.holders[n];
        let reports = h.slices.reports(now);
        let bounds: Vec<Bound> = h.slices.bound(now, BUDGET).into_iter().collect();
        h.told.0 += 1;
        let sent = Sent { holder: h.id, seq: h.told.0, after: h.told.1, reports, bounds };
        match fate {
            Fate::Lost => {}
            Fate::Late => self.late.push(sent),
            Fate::Taken => {
                self.take(&sent);
            }
            Fate::Answered => {
                let known = self.take(&sent);
                self.pass(15);
                let now = self.now;
                let h = &mut self.holders[n];
                for (r, k) in sent.reports.iter().zip(known) {
                    h.slices.acknowledge(now, r, k);
                }
                h.told.1 = sent.seq;
                sent.bounds.iter().for_each(|b| h.slices.confirm_bound(now, b));
                h.waiting.drain(..).for_each(|n| h.slices.remove_limit_demand(n));
            }
        }
    }

    fn take(&mut self, s: &Sent) -> Vec<bool> {
        self.came.entry((s.holder, s.seq)).or_insert(self.now);
        let known = s.reports.iter().map(|r| self.ledger.report(self.now, s.holder, r)).collect();
        self.ledger.record_bounds(s.holder, self.now, s.seq, s.after, &s.bounds);
        known
    }

    fn deliver_late(&mut self) {
        for s in std::mem::take(&mut self.late) {
            self.take(&s);
        }
    }

    /// Kills a holder's process, with all it had reserved spent in full, and buries it as its
    /// successor registers.
    fn replace(&mut self, n: usize) {
        let open = std::mem::take(&mut self.holders[n].open);
        for r in open {
            let all = r.amount();
            self.settle(n, r, all);
        }
        let id = self.holders[n].id;
        let chain = self.ledger.last_reports(id);
        let since = |seq| match seq {
            0 => Some(Millis(0)),
            seq => self.came.get(&(id, seq)).map(|at| self.now.since(*at)),
        };
        let elapsed = Elapsed { last: since(chain.last.seq), before: since(chain.before.seq) };
        self.ledger.write_off(id, &elapsed);
        self.holders[n] = self.fresh();
    }

    /// What is spent, what may still be spent and what is free come to no more than is prepaid.
    fn check(&self) {
        let f = self.ledger.get(BUDGET).unwrap();
        assert!(self.ledger.consistent());
        assert!(f.spent() + f.open() + f.free() <= TOTAL);
        let outstanding: Tokens =
            self.holders.iter().flat_map(|h| &h.open).map(Reservation::amount).sum();
        assert!(
            self.consumed + outstanding <= f.spent() + f.open(),
            "{} consumed and {outstanding} set aside, {} spent and {} open",
            self.consumed,
            f.spent(),
            f.open()
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    Reserve(usize, Tokens),
    Settle(usize, u8),
    Ask(usize, Tokens),
    Tell(usize, Fate),
    Pass(u64),
    DeliverLate,
    Recall(usize),
    Replace(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..2usize;
    let fate = prop_oneof![
        1 => Just(Fate::Lost),
        1 => Just(Fate::Taken),
        1 => Just(Fate::Late),
        4 => Just(Fate::Answered),
    ];
    prop_oneof![
        4 => (n.clone(), 1..60_000u64).prop_map(|(n, t)| Step::Reserve(n, t)),
        3 => (n.clone(), any::<u8>()).prop_map(|(n, part)| Step::Settle(n, part)),
        1 => (n.clone(), 1..80_000u64).prop_map(|(n, t)| Step::Ask(n, t)),
        4 => (n.clone(), fate).prop_map(|(n, f)| Step::Tell(n, f)),
        2 => (1..6_000u64).prop_map(Step::Pass),
        1 => Just(Step::DeliverLate),
        1 => n.clone().prop_map(Step::Recall),
        1 => n.prop_map(Step::Replace),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Whatever is lost, late, killed or silent.
    #[test]
    fn no_order_of_events_spends_more_than_is_prepaid(steps in prop::collection::vec(step(), 1..120)) {
        let mut w = World::new();
        for s in steps {
            match s {
                Step::Reserve(n, tokens) => match w.reserve(n, tokens) {
                    Some(r) => w.holders[n].open.push(r),
                    None => w.want(n, tokens),
                },
                Step::Settle(n, part) => {
                    if let Some(r) = w.holders[n].open.pop() {
                        let used = r.amount() * u64::from(part) / 255;
                        w.settle(n, r, used);
                    }
                }
                Step::Ask(n, need) => w.ask(n, need),
                Step::Tell(n, fate) => w.tell(n, fate),
                Step::Pass(ms) => w.pass(ms),
                Step::DeliverLate => w.deliver_late(),
                Step::Recall(n) => w.slices(n).return_idle(),
                Step::Replace(n) => w.replace(n),
            }
            w.check();
        }
    }
}

/// Holders, the longest time set, and the time between two reports of each, in milliseconds.
#[rstest]
#[case::few(7, 1_000, 250)]
#[case::some_seventy(70, 1_000, 250)]
#[case::more(140, 1_000, 500)]
#[case::many(691, 1_000, 1_000)]
#[case::none_known_yet(0, 1_000, 250)]
#[case::a_setting_that_is_shorter_stands(7, 50, 50)]
fn the_fewer_holders_there_are_the_more_often_each_reports(
    #[case] holders: u64,
    #[case] most: u64,
    #[case] every: u64,
) {
    assert_eq!(report_interval(holders, Millis(most)), Millis(every));
}
