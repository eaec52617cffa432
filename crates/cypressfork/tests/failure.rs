//! Failures over real processes: kills, pauses, lost disks, planned stops.

mod support;

use std::fs;
use std::io::{BufRead, Read};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{Fleet, Plan, chat_body, wait_for};

/// Returns the tokens charged for a request of [`chat_body`] with `n` generated tokens.
fn cost(n: u64) -> u64 {
    3 + n
}

/// Returns the index of the leader in `control_addresses`, `None` while there is no leader.
fn leader(f: &Fleet) -> Option<usize> {
    let out = f.cli(&["status", "--json"]);
    let v: Value = serde_json::from_slice(&out.stdout).ok()?;
    let nodes = v["nodes"].as_array()?;
    let address = nodes.iter().find(|n| n["leader"] == true)?["address"].as_str()?;
    f.control_addresses.iter().position(|a| a == address)
}

/// Runs callers on all routers while `during` runs, asserts that every request is served, and returns their
/// number.
fn under_load(f: &mut Fleet, during: impl FnOnce(&mut Fleet)) -> u64 {
    let stop = AtomicBool::new(false);
    let served = AtomicU64::new(0);
    let addresses = f.router_addresses.clone();
    thread::scope(|s| {
        for a in &addresses {
            s.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let r =
                        support::Request::new(a, "/v1/chat/completions").send(&chat_body(false, 4));
                    assert_eq!(r.status, 200, "{}", r.body);
                    served.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let at_least = |n: u64| wait_for("requests", || served.load(Ordering::Relaxed) >= n);
        at_least(20);
        during(f);
        at_least(served.load(Ordering::Relaxed) + 20);
        stop.store(true, Ordering::Relaxed);
    });
    served.load(Ordering::Relaxed)
}

/// Guards against requests that fail or are charged wrongly during a change of leader.
#[test]
fn requests_go_on_while_the_leader_is_killed() {
    let mut f = Fleet::start(Plan { tokens: 1_000_000, ..Plan::default() });
    let served = under_load(&mut f, |f| {
        let old = leader(f).unwrap();
        f.controls[old].kill();
        wait_for("another leader", || leader(f).is_some_and(|l| l != old));
        f.controls[old] = f.start_control(old);
    });
    f.wait_until_spent(served * cost(4));
    assert_eq!(f.budget()["total"]["requests"], served);
}

/// Guards against lost requests or charges as the members restart in turn.
#[test]
fn a_rolling_restart_under_load_loses_nothing() {
    let mut f = Fleet::start(Plan { tokens: 1_000_000, ..Plan::default() });
    let served = under_load(&mut f, |f| {
        for n in 0..3 {
            f.controls[n].signal("TERM");
            assert_eq!(f.controls[n].wait(), Some(0));
            f.controls[n] = f.start_control(n);
            wait_for("the group to be safe", || f.json(&["status"])["safe"] == true);
        }
    });
    f.wait_until_spent(served * cost(4));
}

/// Guards against acknowledged state that is lost when all members are killed at once.
#[test]
fn everything_is_there_after_all_control_processes_are_killed_at_once() {
    let mut f = Fleet::start(Plan { control_extra: "snapshot_every: 16\n", ..Plan::default() });
    for n in 0..25 {
        assert_eq!(f.chat(n % 2).send(&chat_body(false, 4)).status, 200);
        f.json(&["top-up", "club-talk", "10"]);
    }
    f.wait_until_spent(25 * cost(4));
    let before = f.budget();
    for _ in 0..2 {
        f.controls.iter_mut().for_each(|c| c.kill());
        f.controls = (0..3).map(|n| f.start_control(n)).collect();
    }
    wait_for("a leader", || leader(&f).is_some());
    let after = f.budget();
    for key in ["funded", "spent", "total"] {
        assert_eq!(after[key], before[key], "{key}");
    }
    assert_eq!(f.chat(0).send(&chat_body(false, 4)).status, 200);
}

/// Guards against a slice of a killed router that is spent twice or can't be released by an operator. Its
/// unreported tokens count as spent until the release; callers retry at the other router.
#[test]
fn a_killed_router_strands_its_slice_and_an_operator_frees_it() {
    let mut f = Fleet::start(Plan { engines: vec![vec!["--token-ms", "50"]], ..Plan::default() });
    let (_, _, mut reader) =
        f.chat(0).header("idempotency-key", "lesson-1").open(&chat_body(true, 24));
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    f.routers[0].kill();
    let retry = f.chat(1).header("idempotency-key", "lesson-1").send(&chat_body(false, 8));
    assert_eq!(retry.status, 200);
    f.wait_until_spent(cost(8));
    let held = f.budget()["held"].as_u64().unwrap();
    f.routers[0] = f.start_router(0);
    f.wait_until_ready(0, 1);
    let leases = f.json(&["leases", "club-talk"]);
    let lost = leases.as_array().unwrap().iter().find(|l| l["vm"].is_null()).unwrap().clone();
    let id = format!("{}.{}", lost["id"]["term"], lost["id"]["index"]);
    let freed = f.json(&["release", &id])["released"].as_u64().unwrap();
    assert!(freed > 0 && freed <= held);
    assert_eq!(f.budget()["spent"], cost(8), "only reported tokens are spent");
    assert_eq!(f.cli(&["release", &id]).status.code(), Some(3), "the lease no longer exists");
    assert_eq!(f.json(&["bill", "club", "lesson-1"])["output"], 8);
}

/// Guards against a planned stop that breaks streams, keeps its slices, or leaves the router in the entry
/// answers while it drains.
#[test]
fn a_planned_stop_cuts_no_stream() {
    let mut f = Fleet::start(Plan {
        engines: vec![vec!["--token-ms", "100"]; 4],
        tokens: 1_000_000,
        ..Plan::default()
    });
    let started = AtomicU64::new(0);
    let address = f.router_addresses[0].clone();
    let complete = thread::scope(|s| {
        let streams: Vec<_> = (0..100)
            .map(|_| {
                s.spawn(|| {
                    let r = support::Request::new(&address, "/v1/chat/completions");
                    let (status, _, mut reader) = r.open(&chat_body(true, 24));
                    assert_eq!(status, 200);
                    started.fetch_add(1, Ordering::Relaxed);
                    let mut text = String::new();
                    reader.read_to_string(&mut text).unwrap();
                    text.trim_end().ends_with("data: [DONE]")
                })
            })
            .collect();
        wait_for("100 streams", || started.load(Ordering::Relaxed) == 100);
        f.routers[0].signal("TERM");
        wait_for("entry answers without the router", || {
            let v =
                support::get_json(&format!("http://{}/v1/entry", f.router_addresses[1])).unwrap();
            !v.to_string().contains(&address)
        });
        streams.into_iter().map(|t| t.join().unwrap()).filter(|w| *w).count()
    });
    assert_eq!(complete, 100);
    assert_eq!(f.routers[0].wait(), Some(0));
    f.wait_until_spent(100 * cost(24));
    let log = f.routers[0].log();
    assert!(log.contains("CFE412"), "the slices were returned");
    let routers = f.json(&["status"])["routers"].as_array().unwrap().len();
    assert_eq!(routers, 1);
}

/// Guards against a stop that cuts streams because its signal comes again.
#[test]
fn a_repeated_signal_does_not_cut_a_planned_stop_short() {
    let mut f = Fleet::start(Plan { engines: vec![vec!["--token-ms", "250"]], ..Plan::default() });
    let (_, _, mut reader) = f.chat(0).open(&chat_body(true, 12));
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    f.routers[0].signal("TERM");
    f.routers[0].signal("TERM");
    wait_for("the drain", || f.routers[0].log().contains("CFE411"));
    f.routers[0].signal("TERM");
    f.routers[0].signal("INT");
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    assert!(rest.contains("[DONE]"), "{rest}");
    assert_eq!(f.routers[0].wait(), Some(0));
    assert!(f.routers[0].log().contains("CFE109"));
}

/// Guards against a drain that an operator can't cut short.
#[test]
fn a_quit_signal_ends_a_planned_stop_at_once() {
    let mut f = Fleet::start(Plan { engines: vec![vec!["--token-ms", "500"]], ..Plan::default() });
    let (_, _, mut reader) = f.chat(0).open(&chat_body(true, 24));
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    f.routers[0].signal("TERM");
    wait_for("the drain", || f.routers[0].log().contains("CFE411"));
    let signalled = Instant::now();
    f.routers[0].signal("QUIT");
    assert_eq!(f.routers[0].wait(), None);
    assert!(signalled.elapsed() < Duration::from_secs(2), "{:?}", signalled.elapsed());
}

/// Guards against a router that reverts to an older configuration after a pause.
#[test]
fn a_paused_router_catches_up_and_never_reverts() {
    let f = Fleet::start(Plan::default());
    f.routers[1].signal("STOP");
    for n in 0..5u64 {
        let text = f.example().replace("max_output: 64", &format!("max_output: {}", 65 + n));
        let out = f.apply("next.yaml", &text);
        assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    }
    f.wait_until_ready(0, 6);
    f.routers[1].signal("CONT");
    f.wait_until_ready(1, 6);
    let log = f.routers[1].log();
    let versions: Vec<u64> = log
        .lines()
        .filter(|l| l.contains("CFE310"))
        .map(|l| l.rsplit('=').next().unwrap().parse().unwrap())
        .collect();
    assert!(versions.is_sorted(), "{versions:?}");
}

/// Guards against a lost disk that can't be replaced by `members add`, `promote` and `remove`, as documented.
#[test]
fn a_lost_disk_is_replaced_by_the_command_line() {
    let mut f = Fleet::start(Plan::default());
    f.json(&["top-up", "club-talk", "10"]);
    let lost = (leader(&f).unwrap() + 1) % 3;
    let before = f.json(&["status"]);
    let address = f.control_addresses[lost].clone();
    let nodes = before["nodes"].as_array().unwrap();
    let id = nodes.iter().find(|n| n["address"] == address.as_str()).unwrap()["id"].as_u64();
    let id = format!("{:016x}", id.unwrap());
    f.controls[lost].kill();
    fs::remove_dir_all(f.path(&format!("data-{lost}"))).unwrap();
    fs::create_dir(f.path(&format!("data-{lost}"))).unwrap();
    f.controls[lost] = f.start_control(lost);
    wait_for("the new process", || f.cli(&["members", "add", &address]).status.success());
    let status = f.json(&["status"]);
    let learner = status["nodes"].as_array().unwrap().iter().find(|n| n["voter"] == false);
    let new = format!("{:016x}", learner.unwrap()["id"].as_u64().unwrap());
    assert_ne!(new, id);
    wait_for("the learner", || f.cli(&["members", "promote", &new]).status.success());
    wait_for("the removal", || f.cli(&["members", "remove", &id]).status.success());
    wait_for("the group to be safe", || f.json(&["status"])["safe"] == true);
    let voters = f.json(&["status"])["nodes"].as_array().unwrap().len();
    assert_eq!(voters, 3);
    assert_eq!(f.budget()["funded"], 100_010);
    assert_eq!(f.chat(0).send(&chat_body(false, 4)).status, 200);
}

/// Guards against two control processes that write to one data folder.
#[test]
fn a_second_process_on_a_data_folder_is_refused() {
    let f = Fleet::start_bare(Plan { routers: 0, ..Plan::default() });
    let mut second = f.start_control(0);
    assert_eq!(second.wait(), Some(1));
    assert!(second.log().contains("CF3101"), "{}", second.log());
}

/// Guards against overspending in a data centre that is cut off from the quorum: its router draws on the
/// reserve only, unspent tokens are returned afterwards, and every request is billed.
#[test]
fn a_data_centre_cut_off_from_the_quorum_spends_only_its_reserve() {
    let mut f = Fleet::start(Plan { tokens: 1_000, budget_extra: SMALL_BUDGET, ..Plan::default() });
    assert_eq!(f.chat(0).send(&chat_body(false, 4)).status, 200);
    let reserve = |f: &Fleet| {
        let leases = f.json(&["leases", "club-talk"]);
        let all = leases.as_array().unwrap().clone();
        all.into_iter().find(|l| l["vm"] == "reserve on control-0")
    };
    wait_for("the reserve", || reserve(&f).is_some());
    // Only the members outside this data centre are killed.
    f.controls[1].kill();
    f.controls[2].kill();
    let mut served = 1;
    let refused = loop {
        let a = f.chat(0).send(&chat_body(false, 4));
        match a.status {
            200 => served += 1,
            _ => break a,
        }
        assert!(served < 1_000, "more requests were served than the budget allows");
    };
    assert_eq!((refused.status, refused.code().as_str()), (503, "CF1203"), "{}", refused.body);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(refused.json()["error"]["ran"], "no");
    assert!(f.routers[0].log().contains("CFE414"), "the reserve was used");
    // The reserve is on disk: a restart neither loses it nor grants it again.
    f.controls[0].kill();
    f.controls[0] = f.start_control(0);
    let again = f.chat(0).send(&chat_body(false, 4));
    assert_ne!(again.status, 200, "{}", again.body);
    f.controls[1] = f.start_control(1);
    f.controls[2] = f.start_control(2);
    f.wait_until_spent(served * cost(4));
    wait_for("the unspent tokens to be returned", || {
        f.chat(1).send(&chat_body(false, 4)).status == 200
    });
    assert!(f.budget()["total"]["requests"].as_u64().unwrap() >= served);
}

const SMALL_BUDGET: &str =
    "          floor: 100\n          horizon_s: 1\n          reserve_percent: 30\n";

/// Guards against a second run of a request marked not repeatable when its caller retries at either router
/// while leaders are killed.
#[test]
fn no_move_runs_twice_while_leaders_are_killed() {
    let mut f = Fleet::start(Plan::default());
    let stop = AtomicBool::new(false);
    let routers = f.router_addresses.clone();
    let moves = thread::scope(|s| {
        let callers: Vec<_> = (0..4)
            .map(|t| {
                let (stop, routers) = (&stop, &routers);
                s.spawn(move || {
                    let mut n = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("move-{t}-{n}");
                        let mut tries = 0;
                        wait_for("an answer to a move", || {
                            tries += 1;
                            let a = &routers[(t + tries) % routers.len()];
                            let r = support::Request::new(a, "/board-live/moves");
                            let r = r.header("idempotency-key", &id);
                            r.header("x-not-repeatable", "true").send("e2e4").status == 200
                        });
                        n += 1;
                    }
                    n
                })
            })
            .collect();
        for _ in 0..2 {
            let old = leader(&f).unwrap();
            f.controls[old].kill();
            wait_for("another leader", || leader(&f).is_some_and(|l| l != old));
            f.controls[old] = f.start_control(old);
            wait_for("the group to be safe", || {
                let out = f.cli(&["status", "--json"]);
                serde_json::from_slice::<Value>(&out.stdout).is_ok_and(|v| v["safe"] == true)
            });
        }
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().map(|c| c.join().unwrap()).sum::<usize>()
    });
    let runs = f.board_runs(0);
    let runs = runs.as_object().unwrap();
    assert_eq!(runs.len(), moves);
    assert!(runs.values().all(|n| *n == 1), "{runs:?}");
}

/// Guards against a router that accepts a removed key or a closed client account, or ends a running answer
/// because of the change.
#[test]
fn a_removed_key_and_a_closed_account_are_refused() {
    let f = Fleet::start(Plan { engines: vec![vec!["--token-ms", "100"]], ..Plan::default() });
    let (_, _, mut reader) = f.chat(0).open(&chat_body(true, 12));
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let closed = f.example().replace("account: club,", "account: club, closed: true,");
    assert!(f.apply("closed.yaml", &closed).status.success());
    let revoked = f.example().replace(&support::key_digest(), &"0".repeat(64));
    for (n, (text, code)) in [(closed, "CF1003"), (revoked, "CF1002")].into_iter().enumerate() {
        if n > 0 {
            assert!(f.apply("revoked.yaml", &text).status.success());
        }
        for r in 0..2 {
            f.wait_until_ready(r, 2 + n as u64);
            let a = f.chat(r).send(&chat_body(false, 4));
            assert_eq!(a.code(), code, "{}", a.body);
            assert_eq!(a.json()["error"]["ran"], "no");
        }
    }
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    assert!(rest.trim_end().ends_with("data: [DONE]"), "{rest}");
    f.wait_until_spent(cost(12));
}

/// Guards against double billing when a router is killed after it posted the bill and the caller retries at
/// the other router. The tokens are spent twice, but the request is billed once.
#[test]
fn a_retry_after_the_bill_was_posted_is_not_billed_again() {
    let mut f = Fleet::start(Plan::default());
    let send =
        |f: &Fleet, n: usize| f.chat(n).header("idempotency-key", "g1").send(&chat_body(false, 4));
    assert_eq!(send(&f, 0).status, 200);
    f.wait_until_spent(cost(4));
    f.routers[0].kill();
    assert_eq!(send(&f, 1).status, 200);
    f.wait_until_spent(2 * cost(4));
    wait_for("the second run's bill", || f.budget()["total"]["unbilled"] == cost(4));
    let total = f.budget()["total"].clone();
    assert_eq!((&total["requests"], &total["billed"]), (&1.into(), &cost(4).into()));
}
