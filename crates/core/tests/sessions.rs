//! Sessions of commands applied to the replicated state machine, compared with golden files.

mod support;

use std::collections::BTreeMap;

use cypressfork_core::bill::Bill;
use cypressfork_core::budget::{LeaseRequest, Report};
use cypressfork_core::claim::{ClaimEnd, Outcome};
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::config::{Application, Change, Item, Template};
use cypressfork_core::state::State;
use cypressfork_core::unit::{HolderId, LeaseId, Millis, RequestId, Time};
use serde_json::{Value, json};
use support::golden::Session;

/// A state machine with its clock and log position, and the transcript of its session.
struct StateMachine {
    state: State,
    now: u64,
    index: u64,
    session: Session,
}

impl StateMachine {
    fn new() -> StateMachine {
        StateMachine { state: State::default(), now: 1_000, index: 0, session: Session::default() }
    }

    /// Advances the clock.
    fn advance(&mut self, seconds: u64) {
        self.now += seconds * 1000;
        self.session.comment(&format!("{seconds} s pass"));
    }

    /// Applies a command without recording it.
    fn apply(&mut self, c: &Command) -> Answer {
        self.index += 1;
        self.state.apply(Time(self.now), LeaseId { term: 1, index: self.index }, c)
    }

    /// Applies a command, and records it with its answer.
    fn send(&mut self, c: Command) -> Answer {
        let a = self.apply(&c);
        self.session.record(&c, &a);
        a
    }

    /// Registers a router on `vm` and returns its holder id.
    fn register(&mut self, vm: &str) -> HolderId {
        let (data_centre, address) = ("tamar-a".into(), format!("10.0.0.{}:80", self.index + 1));
        let nonce = self.index;
        let (age, link) = (Millis(0), String::new());
        let c = Command::Register { vm: vm.into(), data_centre, address, nonce, age, link };
        match self.send(c) {
            Answer::Registered(h) => h,
            a => panic!("{a:?}"),
        }
    }

    /// Records the state of all budgets.
    fn record_budgets(&mut self) {
        let budgets = self.state.budgets(Time(self.now), None);
        self.session.record("budgets", budgets);
    }
}

fn template() -> Template {
    let upstream =
        json!({ "vm": { "name": "board-1", "data_centre": "tamar-a" }, "address": "10.1.0.1:80" });
    let text = json!({
        "name": "club",
        "parameters": {
            "account": { "kind": "name" },
            "tokens": { "kind": "number", "min": 1 },
            "closed": { "kind": "flag", "default": false },
        },
        "objects": {
            "client_accounts": { "${account}": { "keys": [], "services": ["talk"], "closed": "${closed}" } },
            "budgets": { "${account}-talk": {
                "client_account": "${account}", "services": ["talk"], "tokens": "${tokens}" } },
            "services": { "talk": { "model": {
                "models": ["go"], "max_output": 64, "upstreams": [upstream] } } },
        },
    });
    serde_json::from_value(text).unwrap()
}

fn application(values: Value) -> Application {
    let values: BTreeMap<String, Value> = serde_json::from_value(values).unwrap();
    Application { name: "club".into(), template: "club".into(), values }
}

fn change(op: &str, base: u64, items: Vec<Item>) -> Command {
    Command::Apply(Change { op: op.into(), base, by: "ann".into(), items })
}

/// A change that sets the values of the `club` application.
fn set(op: &str, base: u64, values: Value) -> Command {
    change(op, base, vec![Item::Application(application(values))])
}

fn ask(holder: HolderId, seq: u64, need: u64, want: u64) -> Command {
    Command::Ask(LeaseRequest { holder, budget: "club-talk".into(), seq, need, want })
}

fn report(lease: LeaseId, used: u64, keep: u64) -> Report {
    Report { lease, used, keep, tight: used == keep }
}

fn bill(n: u8, run: u64, output: u64) -> Bill {
    let id = RequestId([n; 16]);
    Bill { id, run, budget: "club-talk".into(), prompt: 10, output, whole: true }
}

fn tally(holder: HolderId, reports: Vec<Report>, batch: u64, bills: Vec<Bill>) -> Command {
    Command::Tally { holder, reports, batch, bills, seq: 0, after: 0, bounds: Vec::new() }
}

/// Applies the initial configuration: the template and an application of it with 1,000 tokens.
fn start(m: &mut StateMachine) {
    let items = vec![
        Item::Template(template()),
        Item::Application(application(json!({ "account": "club", "tokens": 1000 }))),
    ];
    m.apply(&change("first", 0, items));
}

/// Guards against changes in how leases, top-ups, cuts and a closed account affect a budget.
#[test]
fn leases_top_ups_and_cuts_change_a_budget() {
    let mut m = StateMachine::new();
    start(&mut m);
    let h = m.register("entry-1");
    let Answer::Decided(Ok(grant)) = m.send(ask(h, 1, 100, 400)) else { panic!() };
    m.session.comment("the same ask again gets the same lease");
    m.send(ask(h, 1, 100, 400));
    m.send(tally(h, vec![report(grant.lease, 60, grant.amount)], 1, vec![bill(1, 1, 50)]));
    m.record_budgets();
    m.session.comment("a top-up, and its resend");
    let top_up = |n| Command::TopUp { op: "t1".into(), budget: "club-talk".into(), tokens: n };
    m.send(top_up(500));
    m.send(top_up(500));
    m.send(top_up(700));
    m.session.comment("a cut below what is spent is refused, one below what is leased is taken");
    m.send(set("cut-1", 1, json!({ "account": "club", "tokens": 0 })));
    m.send(Command::Release { op: "r0".into(), lease: LeaseId { term: 9, index: 9 } });
    m.send(set("cut-2", 1, json!({ "account": "club", "tokens": 1 })));
    m.send(ask(h, 2, 1, 1));
    m.record_budgets();
    m.session.comment("the account is closed: no grant, but reports are taken");
    m.send(set("close", 2, json!({ "account": "club", "tokens": 1000, "closed": true })));
    m.send(ask(h, 2, 1, 1));
    m.send(tally(h, vec![report(grant.lease, 90, 90)], 0, vec![]));
    m.record_budgets();
    m.session.check("budget_life.txt");
}

/// Guards against lost or reverted configuration changes when operators race or repeat a change.
#[test]
fn three_operators_race_on_one_version() {
    let mut m = StateMachine::new();
    start(&mut m);
    let tokens = |n: u64| json!({ "account": "club", "tokens": n });
    m.send(set("ann-1", 1, tokens(2000)));
    m.send(set("bob-1", 1, tokens(3000)));
    m.send(set("cid-1", 1, tokens(4000)));
    m.session.comment("ann's answer was lost: she sends it again");
    m.send(set("ann-1", 1, tokens(2000)));
    m.session.comment("bob makes his change again from the version in force");
    m.send(set("bob-2", 2, tokens(3000)));
    m.session.comment("ann's third copy still gets her first answer, and reverts nothing");
    m.send(set("ann-1", 1, tokens(2000)));
    m.session.comment("an operation's id with other content");
    m.send(set("ann-1", 3, tokens(9)));
    m.session.comment("faults: nothing of them is in force");
    m.send(set("bad-1", 3, json!({ "account": "club", "tokens": "many" })));
    m.send(set("bad-2", 3, json!({ "account": "club" })));
    m.send(set("bad-3", 3, json!({ "account": "club", "tokens": 5, "colour": "red" })));
    m.send(change("bad-4", 3, vec![Item::RemoveTemplate("club".into())]));
    m.record_budgets();
    let back = m.state.config().rollback_items(2);
    m.session.record("back to version 2", back);
    m.session.check("racing_operators.txt");
}

/// Guards against running a request more than once when several routers receive its retries.
#[test]
fn a_request_retried_by_three_routers_runs_once() {
    let mut m = StateMachine::new();
    start(&mut m);
    let [a, b, c] = ["entry-1", "entry-2", "entry-3"].map(|vm| m.register(vm));
    let (id, body) = (RequestId([7; 16]), [1; 16]);
    let claim = |holder, seq, body| Command::Claim { holder, seq, id, body };
    let end = |holder, seq, end| Command::Conclude { holder, seq, id, end };
    let answer = Outcome { status: 200, kind: "text/plain".into(), body: Some(b"lot 4".to_vec()) };
    m.session.comment("three routers race; one may run it");
    m.send(claim(a, 1, body));
    m.send(claim(b, 1, body));
    m.send(claim(c, 1, body));
    m.session.comment("the winner's claim again, its answer was lost");
    m.send(claim(a, 1, body));
    m.session.comment("nobody else ends it; it could not connect, so it has not run");
    m.send(end(b, 1, ClaimEnd::Unknown));
    m.send(end(a, 1, ClaimEnd::NotRun));
    m.session.comment("the next copy runs and is answered");
    m.send(claim(b, 2, body));
    m.send(end(b, 2, ClaimEnd::Answered(answer)));
    m.send(claim(c, 2, body));
    m.session.comment("the same id with another body");
    m.send(claim(c, 3, [2; 16]));
    m.session.comment("just before the outcome's retention ends, just after, and after a month");
    m.advance(24 * 3600);
    m.send(claim(c, 4, body));
    m.advance(1);
    m.send(claim(c, 5, body));
    m.advance(30 * 24 * 3600 - 1);
    m.send(claim(c, 6, body));
    m.session.check("order_by_three_routers.txt");
}

/// Guards against running a claimed request again after its router lapsed, was cut off or replaced.
#[test]
fn a_claimed_request_is_not_run_again_after_its_router_is_lost() {
    let mut m = StateMachine::new();
    start(&mut m);
    let [a, b] = ["entry-1", "entry-2"].map(|vm| m.register(vm));
    let id = |n: u8| RequestId([n; 16]);
    let claim = |holder, seq, n| Command::Claim { holder, seq, id: id(n), body: [1; 16] };
    m.send(claim(a, 1, 1));
    m.send(claim(a, 2, 2));
    m.session.comment("entry-1 is silent: its claims are of unknown outcome and run no more");
    m.send(Command::Lapse(a));
    m.send(claim(b, 1, 1));
    m.session.comment("it was only cut off: its late word is still taken");
    let done = Outcome { status: 200, kind: String::new(), body: None };
    m.send(Command::Conclude { holder: a, seq: 1, id: id(1), end: ClaimEnd::Answered(done) });
    m.send(claim(b, 2, 1));
    m.session.comment("its late 'not run' is not: a copy may have been refused as unknown already");
    m.send(Command::Conclude { holder: a, seq: 2, id: id(2), end: ClaimEnd::NotRun });
    m.send(claim(b, 3, 2));
    m.session.comment("a claim given up before it came must not start");
    m.send(Command::Conclude { holder: b, seq: 4, id: id(3), end: ClaimEnd::NotRun });
    m.send(claim(b, 4, 3));
    m.send(claim(a, 3, 3));
    m.session.comment("the machine is replaced: the old registration claims nothing more");
    m.register("entry-1");
    m.send(claim(a, 4, 4));
    m.send(claim(b, 5, 3));
    m.session.check("move_in_a_cut.txt");
}

/// Guards against billing a request twice or not at all when batches are lost, repeated or reordered.
#[test]
fn lost_repeated_and_reordered_batches_bill_a_request_once() {
    let mut m = StateMachine::new();
    start(&mut m);
    let [a, b] = ["entry-1", "entry-2"].map(|vm| m.register(vm));
    m.send(tally(a, vec![], 1, vec![bill(1, 11, 50), bill(2, 12, 60)]));
    m.session.comment("its answer was lost: the same batch again, then the next");
    m.send(tally(a, vec![], 1, vec![bill(1, 11, 50), bill(2, 12, 60)]));
    m.send(tally(a, vec![], 2, vec![bill(3, 13, 70)]));
    m.session.comment("a caller's retry ran on another router while the first still ran");
    m.send(tally(b, vec![], 1, vec![bill(3, 21, 70)]));
    m.send(tally(b, vec![], 1, vec![bill(3, 21, 70)]));
    m.session.comment("a run that was cut short gives way to the one that was whole");
    m.send(tally(a, vec![], 3, vec![Bill { whole: false, ..bill(5, 16, 7) }]));
    m.send(tally(b, vec![], 2, vec![bill(5, 23, 90)]));
    m.send(tally(a, vec![], 4, vec![Bill { whole: false, ..bill(5, 17, 7) }]));
    m.session.comment("an old batch arrives late");
    m.send(tally(a, vec![], 1, vec![bill(1, 11, 50), bill(2, 12, 60)]));
    m.record_budgets();
    m.session.comment(
        "just before the end of the ids' retention, and just after: a batch is still known",
    );
    m.advance(24 * 3600);
    m.send(tally(a, vec![], 2, vec![bill(3, 13, 70)]));
    m.advance(1);
    m.send(tally(a, vec![], 2, vec![bill(3, 13, 70)]));
    m.session.comment("a caller's retry by another router, just before and just after");
    m.send(tally(b, vec![], 3, vec![bill(4, 22, 5)]));
    m.advance(24 * 3600);
    m.send(tally(a, vec![], 5, vec![bill(4, 14, 5)]));
    m.advance(1);
    m.send(tally(a, vec![], 6, vec![bill(4, 15, 5)]));
    m.record_budgets();
    m.session.check("bills.txt");
}

/// Guards against a snapshot that loses state: the copy must answer later commands the same way.
#[test]
fn a_restored_snapshot_answers_later_commands_the_same_way() {
    let mut m = StateMachine::new();
    start(&mut m);
    let h = m.register("entry-1");
    let Answer::Decided(Ok(grant)) = m.send(ask(h, 1, 100, 400)) else { panic!() };
    m.send(tally(h, vec![report(grant.lease, 60, 300)], 1, vec![bill(1, 1, 50)]));
    let bytes = rmp_serde::to_vec(&m.state).unwrap();
    let mut copy: State = rmp_serde::from_slice(&bytes).unwrap();
    let later = [
        tally(h, vec![report(grant.lease, 80, 300)], 2, vec![bill(1, 1, 50), bill(2, 2, 5)]),
        ask(h, 1, 100, 400),
        ask(h, 2, 100, 100),
        Command::Claim { holder: h, seq: 1, id: RequestId([1; 16]), body: [0; 16] },
        set("second", 1, json!({ "account": "club", "tokens": 1500 })),
    ];
    for (n, c) in later.iter().enumerate() {
        let pos = LeaseId { term: 1, index: 100 + n as u64 };
        assert_eq!(m.state.apply(Time(9_000), pos, c), copy.apply(Time(9_000), pos, c), "{c:?}");
    }
    let budgets = |s: &State| s.budgets(Time(9_000), None);
    assert_eq!(budgets(&m.state), budgets(&copy));
}
