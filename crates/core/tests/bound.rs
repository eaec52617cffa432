//! Tests spending bounds: writing off a dead holder never frees tokens that it may have spent.

use std::collections::BTreeMap;

use cypressfork_core::budget::{
    Bound, Bounds, Elapsed, LeaseRequest, Ledger, Policy, Rate, Report, Reservation, SliceStore,
    SpendingLimit, hold_off, longest_run, may_wait_for_limit, report_interval,
};
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::state::State;
use cypressfork_core::unit::{HolderId, LeaseId, Millis, Time, Tokens};
use proptest::prelude::*;
use rstest::rstest;

const BUDGET: &str = "account/club";
const TOTAL: Tokens = 1_000_000;

fn bound(spent: Tokens, limit: Tokens, rate: Tokens) -> Bound {
    Bound { budget: BUDGET.to_owned(), spent, limit, rate, ..Bound::default() }
}

fn some_ms(ms: u64) -> Option<Millis> {
    Some(Millis(ms))
}

/// Guards against a write-off that underestimates unreported spending. Reports are (seq, after,
/// bound); `last` and `before` are the ages of the last two.
#[rstest]
#[case::no_report(&[], (some_ms(0), some_ms(0)), 0)]
#[case::one_report(&[(1, 0, bound(10, 100, 0))], (some_ms(5_000), some_ms(9_000)), 90)]
#[case::rate_since_the_last(&[(1, 0, bound(10, 100, 20))], (some_ms(2_000), some_ms(9_000)), 130)]
#[case::the_previous_report_allows_more(
    &[(1, 0, bound(0, 500, 0)), (2, 1, bound(50, 100, 0))], (some_ms(10), some_ms(20)), 450)]
#[case::the_rate_of_the_previous_report_applies_longer(
    &[(1, 0, bound(0, 100, 100)), (2, 1, bound(100, 200, 0))], (some_ms(10), some_ms(9_000)), 900)]
#[case::a_late_copy_changes_nothing(
    &[(1, 0, bound(0, 100, 0)), (2, 1, bound(90, 400, 0)), (1, 0, bound(0, 100, 0))],
    (some_ms(10), some_ms(20)), 310)]
#[case::an_unanswered_report_keeps_the_previous_one(
    &[(1, 0, bound(0, 700, 0)), (2, 1, bound(0, 100, 0)), (3, 1, bound(50, 100, 0))],
    (some_ms(10), some_ms(20)), 650)]
#[case::an_unknown_span_frees_nothing(
    &[(1, 0, bound(10, 100, 5))], (None, None), Tokens::MAX - 10)]
#[case::without_a_rate_the_span_does_not_matter(&[(1, 0, bound(10, 100, 0))], (None, None), 90)]
fn unreported_spending_is_bounded_by_the_last_reports(
    #[case] reports: &[(u64, u64, Bound)],
    #[case] (last, before): (Option<Millis>, Option<Millis>),
    #[case] unreported: Tokens,
) {
    let mut b = Bounds::default();
    for (seq, after, reported) in reports {
        b.record(HolderId(1), Time(1), *seq, *after, std::slice::from_ref(reported));
    }
    assert_eq!(b.unreported(HolderId(1), BUDGET, &Elapsed { last, before }), unreported);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_203), ..ProptestConfig::default() })]

    /// Guards against a holder's limit that exceeds what the grantor counts, for any shape of the
    /// growth, with the holder's clock fast and the grantor's slow by 1 in 1,000. Also guards against
    /// a limit that falls, and a wait that ends before or long after the limit allows the tokens.
    #[test]
    fn a_limit_stays_below_what_the_grantor_counts(
        (limit, rate, early_rate) in (0..50_000u64, 0..5_000u64, 0..8_000u64),
        (hold_off, early_for) in (prop_oneof![Just(0), 0..6_000u64], 0..9_000u64),
        ramp in prop_oneof![Just(0), 0..12_000u64],
        times in prop::collection::vec(0..40_000u64, 1..40),
        n in 0..100_000u64,
    ) {
        let (hold_off, early_for) = (Millis(hold_off), Millis(early_for));
        let ramp = Millis(ramp);
        let b = Bound { rate, hold_off, early_rate, early_for, ramp, ..bound(0, limit, 0) };
        let mut grantor = Bounds::default();
        grantor.record(HolderId(1), Time(1), 1, 0, std::slice::from_ref(&b));
        let mut holder = SpendingLimit::default();
        holder.accept(Time(7), &b);
        let mut times = times;
        times.sort_unstable();
        let mut previous = 0;
        for t in times {
            let allowed = holder.at(Time(7 + t + t / 1_000));
            let last = some_ms(t - t.div_ceil(1_000));
            let counted = grantor.unreported(HolderId(1), BUDGET, &Elapsed { last, before: some_ms(0) });
            prop_assert!(allowed <= counted, "{allowed} allowed and {counted} counted after {t} ms");
            prop_assert!(allowed >= previous, "the limit fell to {allowed} after {t} ms");
            previous = allowed;
        }
        match holder.time_until(Time(7), n) {
            None => prop_assert!(n > limit && rate == 0),
            Some(Millis(0)) => prop_assert!(n <= limit),
            Some(span) => {
                prop_assert!(holder.at(Time(7 + span.0)) >= n);
                prop_assert!(holder.at(Time(7 + span.0 - 3)) < n, "{span:?} is too long");
            }
        }
    }
}

/// Guards against a hold-off that is shorter than a restart after 2 s, measured from the last report but
/// one, at the report intervals of small and large fleets.
#[rstest]
#[case::frequent_reports(50, 2_500)]
#[case::few_holders(250, 2_800)]
#[case::many_holders(1_000, 4_300)]
#[case::rare_reports(60_000, 4_300)]
fn the_hold_off_covers_a_restart(#[case] interval: u64, #[case] expected: u64) {
    assert_eq!(hold_off(Millis(interval)), Millis(expected));
}

/// Guards against requests that are refused twice although a limit allows them in time, and against
/// requests that wait in vain. Times are in milliseconds.
#[rstest]
#[case::soon(100, 4_000, true)]
#[case::in_time_to_be_served(1_500, 2_000, true)]
#[case::too_late_to_be_served(1_501, 2_000, false)]
#[case::after_callers_give_up(3_201, 15_000, false)]
fn a_request_waits_for_a_limit_only_if_it_can_be_served_then(
    #[case] after: u64,
    #[case] time_left: u64,
    #[case] waits: bool,
) {
    assert_eq!(may_wait_for_limit(Millis(after), Millis(time_left)), waits);
}

/// Guards against a bound of a process of the previous release that is read with another growth than
/// the one by which that process spends.
#[test]
fn a_bound_without_a_hold_off_grows_from_the_start() {
    let old: Bound =
        rmp_serde::from_slice(&rmp_serde::to_vec(&(BUDGET, 10, 100, 20)).unwrap()).unwrap();
    assert_eq!(old, bound(10, 100, 20));
    let mut b = Bounds::default();
    b.record(HolderId(1), Time(1), 1, 0, &[old]);
    let elapsed = Elapsed { last: some_ms(500), before: some_ms(0) };
    assert_eq!(b.unreported(HolderId(1), BUDGET, &elapsed), 100);
}

/// Guards against spending before the grantor has recorded the holder's bound.
#[test]
fn a_holder_spends_only_after_its_bound_is_acknowledged() {
    let mut sim = Simulation::new();
    assert!(sim.reserve(0, 5_000).is_none(), "no bound was reported yet");
    sim.wait_for_limit(0, 5_000);
    sim.send_report(0, Delivery::Answered);
    let r = sim.reserve(0, 5_000).unwrap();
    sim.settle(0, r, 5_000);
}

/// Guards against a waiting request that drops out of the bound when another report is acknowledged.
#[test]
fn a_request_that_waits_is_in_every_report_until_it_stops() {
    let mut sim = Simulation::new();
    sim.request_lease(0, 100_000);
    let now = sim.now;
    let limit = |sim: &mut Simulation| sim.slices(0).bound(now, BUDGET).unwrap().limit;
    let before = sim.slices(0).bound(now, BUDGET).unwrap();
    // It starts to wait after a report without its demand was sent.
    sim.wait_for_limit(0, 40_000);
    sim.slices(0).confirm_bound(now, &before);
    assert!(limit(&mut sim) >= 40_000, "the acknowledgement dropped the waiting demand");
    // Demands of several waiting requests add up.
    sim.wait_for_limit(0, 30_000);
    assert!(limit(&mut sim) >= 70_000, "only the largest demand counts");
    [40_000, 30_000].iter().for_each(|n| sim.slices(0).remove_limit_demand(*n));
    assert_eq!(limit(&mut sim), before.limit);
}

/// Guards against requests without any response that count as spent when their holder dies, and against spending
/// that begins beyond the limit.
#[test]
fn tokens_set_aside_count_once_their_spending_begins() {
    let mut sim = Simulation::new();
    sim.request_lease(0, 100_000);
    sim.send_report(0, Delivery::Answered);
    let now = sim.now;
    let before = sim.slices(0).bound(now, BUDGET).unwrap().limit;
    let mut r = sim.slices(0).set_aside(now, 50_000).unwrap();
    assert!(sim.slices(0).bound(now, BUDGET).unwrap().limit <= before);
    assert!(!sim.slices(0).begin(now, &mut r), "the limit allows fewer tokens");
    sim.wait_for_limit(0, 50_000);
    sim.send_report(0, Delivery::Answered);
    let now = sim.now;
    assert!(sim.slices(0).begin(now, &mut r));
    assert!(sim.slices(0).bound(now, BUDGET).unwrap().limit >= 50_000);
    assert_eq!(sim.slices(0).settle(now, r, 20_000), 20_000);
    let unbegun = sim.slices(0).set_aside(now, 10_000).unwrap();
    assert_eq!(sim.slices(0).settle(now, unbegun, 10_000), 0, "nothing was spent");
}

/// Guards against a partial reservation that exceeds the limit.
#[test]
fn a_partial_reservation_fits_the_limit() {
    let mut sim = Simulation::new();
    sim.request_lease(0, 50_000);
    sim.wait_for_limit(0, 8_000);
    sim.send_report(0, Delivery::Answered);
    let now = sim.now;
    let allowed = sim.slices(0).limit_remaining(now);
    assert!(allowed > 0 && allowed < 50_000);
    assert!(sim.reserve(0, 50_000).is_none());
    let part = sim.slices(0).reserve_part(now, 50_000).unwrap();
    assert_eq!(part.amount(), allowed);
    assert!(sim.slices(0).reserve_part(now, 1).is_none(), "the limit is used up");
}

/// Guards against one large request that raises the bound far above the usual spending.
#[test]
fn one_large_request_hardly_raises_the_allowance() {
    let policy = policy();
    let mut rate = Rate::default();
    for second in 0..20 {
        rate.record(Time(second * 1_000), 500);
    }
    rate.close_sample(Time(20_000));
    let (allowance, growth) = policy.unreported_allowance(&rate, 0);
    rate.record(Time(20_000), 17_000);
    let (allowance_after, growth_after) = policy.unreported_allowance(&rate, 0);
    assert_eq!(
        (allowance, growth),
        (allowance_after, growth_after),
        "an open sample changes the allowance"
    );
    rate.close_sample(Time(21_000));
    let (allowance_after, growth_after) = policy.unreported_allowance(&rate, 0);
    assert!(allowance_after < 5_000 && growth_after < 6_000, "{allowance_after} {growth_after}");
}

/// Guards against an allowance that grows with the budget instead of with idle tokens and spending.
#[test]
fn a_holder_with_few_idle_tokens_has_a_small_allowance() {
    let huge = Policy::for_prepaid(1_000_000_000);
    assert_eq!(huge.unreported_allowance(&Rate::default(), 1_600), (100, 100));
}

/// Guards against a write-off that differs from the amounts announced in its event.
#[test]
fn a_write_off_matches_its_announcement() {
    let mut sim = Simulation::new();
    sim.request_lease(0, 100_000);
    sim.send_report(0, Delivery::Answered);
    let holder = sim.holders[0].id;
    let elapsed = Elapsed { last: some_ms(1_000), before: some_ms(1_000) };
    let open = sim.open_tokens(0);
    let announced = sim.ledger.write_off_amounts(holder, &elapsed);
    assert_eq!(announced.counted + announced.freed, open);
    let spent = sim.ledger.get(BUDGET).unwrap().spent();
    sim.ledger.write_off(holder, &elapsed);
    assert_eq!(sim.ledger.get(BUDGET).unwrap().spent() - spent, announced.counted);
    assert_eq!(sim.open_tokens(0), 0);
}

/// Guards against a holder without acknowledgements that stops, or exceeds its reported rate.
#[test]
fn an_unanswered_holder_spends_at_its_rate_only() {
    let mut sim = Simulation::new();
    sim.send_report(0, Delivery::Answered);
    let now = sim.now;
    let first = sim.slices(0).limit_remaining(now);
    sim.advance(4_000);
    let now = sim.now;
    let later = sim.slices(0).limit_remaining(now);
    assert!(later > first, "the limit does not grow without an answer");
    assert!(sim.reserve(0, later + 1).is_none(), "the limit grows faster than the reported rate");
    assert!(sim.reserve(0, later).is_some());
}

/// Guards against a wait that is too short or too long for the growing limit.
#[test]
fn limit_wait_returns_when_the_growing_limit_allows_a_request() {
    let mut sim = Simulation::new();
    sim.send_report(0, Delivery::Answered);
    let now = sim.now;
    let allowed = sim.slices(0).limit_remaining(now);
    assert_eq!(sim.slices(0).limit_wait(now, allowed), Some(Millis(0)));
    let span = sim.slices(0).limit_wait(now, allowed + 2_000).unwrap();
    assert!(span > Millis(0));
    sim.advance(span.0 - 2);
    assert!(sim.reserve(0, allowed + 2_000).is_none(), "the limit allows the request too early");
    sim.advance(2);
    assert!(sim.reserve(0, allowed + 2_000).is_some());
    let (now, idle) = (sim.now, sim.open_tokens(0));
    assert_eq!(sim.slices(0).limit_wait(now, idle + 1), None, "too few tokens are idle");
}

/// Guards against a wait for a limit that grows only after the first acknowledgement.
#[test]
fn a_holder_without_an_acknowledgement_has_no_limit_wait() {
    let mut sim = Simulation::new();
    let now = sim.now;
    assert_eq!(sim.slices(0).limit_wait(now, 10), None);
}

/// Guards against stranding a dead holder's tokens above its bound.
#[test]
fn a_write_off_frees_tokens_above_the_bound() {
    let mut sim = Simulation::new();
    sim.wait_for_limit(0, 5_000);
    sim.send_report(0, Delivery::Answered);
    let r = sim.reserve(0, 5_000).unwrap();
    sim.settle(0, r, 3_000);
    sim.send_report(0, Delivery::Answered);
    let held = sim.open_tokens(0);
    sim.advance(500);
    sim.replace(0, Millis(0));
    let budget_state = sim.ledger.get(BUDGET).unwrap();
    assert_eq!(
        budget_state.open_tokens(),
        sim.open_tokens(1),
        "tokens of the dead holder are still open"
    );
    assert!(budget_state.spent() >= 3_000);
    assert!(budget_state.spent() < held / 2, "too few of its {held} tokens were freed");
}

/// Guards against a repeated registration or write-off command that frees a predecessor's tokens
/// twice.
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
    let request = LeaseRequest { holder: old, budget, seq: 1, need: 90_000, want: 90_000 };
    assert!(matches!(apply(&Command::Ask(request)), Answer::Decided(Ok(_))));
    let tally = Command::Tally {
        holder: old,
        reports: Vec::new(),
        batch: 0,
        bills: Vec::new(),
        seq: 1,
        after: 0,
        bounds: vec![bound(0, 20_000, 1_000)],
    };
    apply(&tally);
    let Answer::Registered(new) = apply(&register(2, 700)) else { panic!() };
    assert_ne!(old, new);
    assert_eq!(apply(&register(2, 700)), Answer::Registered(new), "a resend");
    let elapsed = Elapsed { last: some_ms(3_000), before: some_ms(9_000) };
    let write_off = Command::WriteOff { holder: old, elapsed };
    apply(&write_off);
    apply(&write_off);
    assert_eq!(state.holders_to_write_off().count(), 0);
    let budget_state = state.ledger().get(BUDGET).unwrap();
    assert_eq!(
        (budget_state.spent(), budget_state.open_tokens(), budget_state.free()),
        (23_000, 0, TOTAL - 23_000)
    );
}

/// Guards against losing the successor's age, which bounds how long its predecessor ran.
#[test]
fn a_successors_age_at_registration_is_recorded() {
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
    assert_eq!(state.holders_to_write_off().collect::<Vec<_>>(), [(HolderId(1), Millis(700))]);
}

/// Whether a report and its answer arrive.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Lost,
    /// The report arrives and its answer is lost.
    Unanswered,
    Answered,
    /// The report arrives at the next [`Step::DeliverDelayed`].
    Delayed,
}

/// A message with a holder's reports and bounds.
struct SentReport {
    holder: HolderId,
    seq: u64,
    after: u64,
    reports: Vec<Report>,
    bounds: Vec<Bound>,
}

/// A holder's process.
struct Holder {
    id: HolderId,
    slices: SliceStore,
    /// Sequence numbers of the last report and of the last acknowledged one.
    report_seqs: (u64, u64),
    /// Reservations of running requests.
    open: Vec<Reservation>,
    /// Reservations whose spending has not begun.
    aside: Vec<Reservation>,
    /// Tokens that each request waiting for a higher limit needs.
    waiting: Vec<Tokens>,
}

/// Two holders and their grantor.
struct Simulation {
    now: Time,
    ledger: Ledger,
    holders: Vec<Holder>,
    last_id: u64,
    consumed: Tokens,
    /// When a report first arrived, by holder and sequence number.
    received_at: BTreeMap<(HolderId, u64), Time>,
    delayed: Vec<SentReport>,
    /// Time between the receipt of a report and that of its answer.
    answer_ms: u64,
    /// Drift of the holders' clocks, in parts of 1,000.
    drift: u64,
}

fn policy() -> Policy {
    Policy::for_prepaid(TOTAL)
}

impl Simulation {
    fn new() -> Simulation {
        let mut ledger = Ledger::default();
        ledger.fund(BUDGET, TOTAL, policy());
        let mut sim = Simulation {
            now: Time(1_000),
            ledger,
            holders: Vec::new(),
            last_id: 0,
            consumed: 0,
            received_at: BTreeMap::new(),
            delayed: Vec::new(),
            answer_ms: 15,
            drift: 0,
        };
        for _ in 0..2 {
            let h = sim.new_holder();
            sim.holders.push(h);
        }
        (0..2).for_each(|n| sim.request_lease(n, 50_000));
        sim
    }

    fn new_holder(&mut self) -> Holder {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        Holder {
            id,
            slices: SliceStore::new(policy(), 0),
            report_seqs: (0, 0),
            open: Vec::new(),
            aside: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn slices(&mut self, n: usize) -> &mut SliceStore {
        &mut self.holders[n].slices
    }

    /// Returns the time by a holder's clock: with `drift`, that of holder 0 runs fast and that of
    /// holder 1 slow.
    fn holder_time(&self, n: usize) -> Time {
        let drift = Millis(self.now.0 * self.drift / 1_000);
        if n == 0 { self.now.after(drift) } else { self.now.before(drift) }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.after(Millis(ms));
    }

    /// Returns the tokens of the holder's leases that are not reported as spent.
    fn open_tokens(&self, n: usize) -> Tokens {
        let budget_state = self.ledger.get(BUDGET).unwrap();
        let own = budget_state.leases().filter(|(_, l)| l.holder == self.holders[n].id);
        own.map(|(_, l)| l.open_tokens()).sum()
    }

    fn request_lease(&mut self, n: usize, need: Tokens) {
        let (now, id) = (self.now, self.holders[n].id);
        let holder_time = self.holder_time(n);
        let Some(request): Option<LeaseRequest> =
            self.slices(n).next_request(holder_time, id, BUDGET, need)
        else {
            return;
        };
        self.last_id += 1;
        let lease = LeaseId { term: 1, index: self.last_id };
        let decision = self.ledger.request_lease(now, lease, &request).unwrap();
        self.slices(n).apply_decision(request.seq, &decision);
    }

    /// Registers a request that waits for a higher limit.
    fn wait_for_limit(&mut self, n: usize, tokens: Tokens) {
        self.slices(n).add_limit_demand(tokens);
        self.holders[n].waiting.push(tokens);
    }

    fn reserve(&mut self, n: usize, tokens: Tokens) -> Option<Reservation> {
        let now = self.holder_time(n);
        self.slices(n).reserve(now, tokens)
    }

    /// Begins to spend the latest tokens that a holder has set aside, or waits for a higher limit.
    fn begin(&mut self, n: usize) {
        let now = self.holder_time(n);
        let Some(mut r) = self.holders[n].aside.pop() else { return };
        if self.slices(n).begin(now, &mut r) {
            self.holders[n].open.push(r);
        } else {
            self.wait_for_limit(n, r.amount());
            self.holders[n].aside.push(r);
        }
    }

    /// Reserves all that the holder's limit and its tokens allow.
    fn reserve_all(&mut self, n: usize) -> Option<Reservation> {
        let now = self.holder_time(n);
        self.slices(n).reserve_part(now, Tokens::MAX)
    }

    fn settle(&mut self, n: usize, r: Reservation, used: Tokens) {
        let now = self.holder_time(n);
        self.consumed += self.slices(n).settle(now, r, used);
    }

    /// Sends the holder's reports and bounds.
    fn send_report(&mut self, n: usize, delivery: Delivery) {
        let now = self.holder_time(n);
        let h = &mut self.holders[n];
        let reports = h.slices.reports(now);
        let bounds: Vec<Bound> = h.slices.bound(now, BUDGET).into_iter().collect();
        h.report_seqs.0 += 1;
        let sent = SentReport {
            holder: h.id,
            seq: h.report_seqs.0,
            after: h.report_seqs.1,
            reports,
            bounds,
        };
        match delivery {
            Delivery::Lost => {}
            Delivery::Delayed => self.delayed.push(sent),
            Delivery::Unanswered => {
                self.receive(&sent);
            }
            Delivery::Answered => {
                let known = self.receive(&sent);
                self.advance(self.answer_ms);
                let now = self.holder_time(n);
                let h = &mut self.holders[n];
                for (r, k) in sent.reports.iter().zip(known) {
                    h.slices.acknowledge(now, r, k);
                }
                h.report_seqs.1 = sent.seq;
                sent.bounds.iter().for_each(|b| h.slices.confirm_bound(now, b));
                h.waiting.drain(..).for_each(|tokens| h.slices.remove_limit_demand(tokens));
            }
        }
    }

    /// Delivers a message to the grantor. Returns whether it knows each reported lease.
    fn receive(&mut self, s: &SentReport) -> Vec<bool> {
        self.received_at.entry((s.holder, s.seq)).or_insert(self.now);
        let known =
            s.reports.iter().map(|r| self.ledger.apply_report(self.now, s.holder, r)).collect();
        self.ledger.record_bounds(s.holder, self.now, s.seq, s.after, &s.bounds);
        known
    }

    fn deliver_delayed(&mut self) {
        for s in std::mem::take(&mut self.delayed) {
            self.receive(&s);
        }
    }

    /// Kills a holder's process after it spent all its reservations in full. Registers a successor
    /// that had been running for `age`, and writes off the predecessor's leases.
    fn replace(&mut self, n: usize, age: Millis) {
        let open = std::mem::take(&mut self.holders[n].open);
        for r in open {
            let amount = r.amount();
            self.settle(n, r, amount);
        }
        let id = self.holders[n].id;
        let started = self.holder_time(n);
        self.advance(age.0);
        let stated_age = self.holder_time(n).since(started);
        let last_reports = self.ledger.last_reports(id);
        let since = |seq| match seq {
            0 => Some(Millis(0)),
            seq => {
                let at = self.received_at.get(&(id, seq))?;
                Some(longest_run(self.now.since(*at), stated_age))
            }
        };
        let elapsed =
            Elapsed { last: since(last_reports.last.seq), before: since(last_reports.before.seq) };
        self.ledger.write_off(id, &elapsed);
        self.holders[n] = self.new_holder();
    }

    /// Asserts that the ledger stays within the budget and covers all consumed and reserved tokens.
    fn assert_invariants(&self) {
        let budget_state = self.ledger.get(BUDGET).unwrap();
        assert!(self.ledger.is_consistent());
        assert!(budget_state.spent() + budget_state.open_tokens() + budget_state.free() <= TOTAL);
        let outstanding: Tokens =
            self.holders.iter().flat_map(|h| &h.open).map(Reservation::amount).sum();
        assert!(
            self.consumed + outstanding <= budget_state.spent() + budget_state.open_tokens(),
            "{} consumed and {outstanding} reserved, {} spent and {} open",
            self.consumed,
            budget_state.spent(),
            budget_state.open_tokens()
        );
    }
}

/// An event of the simulation; a `usize` is the index of a holder.
#[derive(Clone, Debug)]
enum Step {
    Reserve(usize, Tokens),
    /// Reserves tokens that are not spent yet.
    SetAside(usize, Tokens),
    /// Begins to spend the latest tokens set aside, if the limit allows it.
    Begin(usize),
    /// Settles the latest reservation; the `u8` is the used part of it, in 255ths.
    Settle(usize, u8),
    RequestLease(usize, Tokens),
    SendReport(usize, Delivery),
    Advance(u64),
    DeliverDelayed,
    Recall(usize),
    /// Spends all that the limit allows, then replaces the holder by a process of that age.
    SpendAllAndReplace(usize, u64),
    Replace(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..2usize;
    let delivery = prop_oneof![
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Unanswered),
        1 => Just(Delivery::Delayed),
        4 => Just(Delivery::Answered),
    ];
    // A successor may have waited long for the control group.
    let age = prop_oneof![3 => 0..5_000u64, 1 => 0..3_000_000u64];
    prop_oneof![
        4 => (n.clone(), 1..60_000u64).prop_map(|(n, t)| Step::Reserve(n, t)),
        3 => (n.clone(), 1..60_000u64).prop_map(|(n, t)| Step::SetAside(n, t)),
        3 => n.clone().prop_map(Step::Begin),
        3 => (n.clone(), any::<u8>()).prop_map(|(n, part)| Step::Settle(n, part)),
        1 => (n.clone(), 1..80_000u64).prop_map(|(n, t)| Step::RequestLease(n, t)),
        4 => (n.clone(), delivery).prop_map(|(n, d)| Step::SendReport(n, d)),
        2 => (1..6_000u64).prop_map(Step::Advance),
        1 => Just(Step::DeliverDelayed),
        1 => n.clone().prop_map(Step::Recall),
        1 => n.clone().prop_map(Step::Replace),
        1 => (n, age).prop_map(|(n, age)| Step::SpendAllAndReplace(n, age)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Guards against overspending under lost and late reports, restarts and silent holders.
    #[test]
    fn no_order_of_events_spends_more_than_is_prepaid(
        steps in prop::collection::vec(step(), 1..120),
        answer_ms in 0..3_000u64,
    ) {
        let mut sim = Simulation::new();
        sim.answer_ms = answer_ms;
        sim.drift = 1;
        for s in steps {
            match s {
                Step::Reserve(n, tokens) => match sim.reserve(n, tokens) {
                    Some(r) => sim.holders[n].open.push(r),
                    None => sim.wait_for_limit(n, tokens),
                },
                Step::SetAside(n, tokens) => {
                    let now = sim.holder_time(n);
                    let r = sim.slices(n).set_aside(now, tokens);
                    sim.holders[n].aside.extend(r);
                }
                Step::Begin(n) => sim.begin(n),
                Step::Settle(n, part) => {
                    if let Some(r) = sim.holders[n].open.pop() {
                        let used = r.amount() * u64::from(part) / 255;
                        sim.settle(n, r, used);
                    }
                }
                Step::RequestLease(n, need) => sim.request_lease(n, need),
                Step::SendReport(n, delivery) => sim.send_report(n, delivery),
                Step::Advance(ms) => sim.advance(ms),
                Step::DeliverDelayed => sim.deliver_delayed(),
                Step::Recall(n) => sim.slices(n).return_idle(),
                Step::Replace(n) => sim.replace(n, Millis(0)),
                Step::SpendAllAndReplace(n, age) => {
                    let all = sim.reserve_all(n);
                    sim.holders[n].open.extend(all);
                    sim.replace(n, Millis(age));
                }
            }
            sim.assert_invariants();
        }
    }
}

/// Guards against a report rate that overloads the grantor. Times are in milliseconds.
#[rstest]
#[case::few(7, 1_000, 250)]
#[case::seventy(70, 1_000, 250)]
#[case::more(140, 1_000, 500)]
#[case::many(691, 1_000, 1_000)]
#[case::none_known_yet(0, 1_000, 250)]
#[case::a_shorter_setting_applies(7, 50, 50)]
fn fewer_holders_report_more_often(
    #[case] holders: u64,
    #[case] max_interval: u64,
    #[case] expected: u64,
) {
    assert_eq!(report_interval(holders, Millis(max_interval)), Millis(expected));
}
