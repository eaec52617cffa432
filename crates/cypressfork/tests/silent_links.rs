//! Open links between control processes that fall silent without an error, while new ones work.

mod support;

use std::thread::sleep;
use std::time::{Duration, Instant};

use rstest::rstest;
use support::gateways::{Fleet, metric_value};
use support::silent_links::{Silence, SilentLinks};
use support::wait_for;

const MEMBERS: usize = 3;

/// Time within which a silent link has to be given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(3);

/// Maximum election timeout of the members, twice the setting `election_ms` of the fleet.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which the group has to commit again.
const COMMITS_WITHIN: Duration = GIVEN_UP_WITHIN.saturating_add(ELECTION_TIMEOUT.saturating_mul(2));

/// Longest time for which a process may be paused without losing its links.
const PAUSE: Duration = Duration::from_millis(900);

/// Starts the members of a group behind proxies, and publishes a document.
fn start() -> (Fleet, SilentLinks) {
    let mut f = Fleet::new(MEMBERS);
    let links = f.proxy_controls();
    (0..MEMBERS).for_each(|n| f.start_control(n, true));
    f.publish(1);
    (f, links)
}

/// Restarts the members in turn. A member that returns talks to all others, and they answer it.
fn restart_in_turn(f: &mut Fleet) {
    for n in 0..MEMBERS {
        let mut old = f.controls[n].process.take().unwrap();
        old.signal("TERM");
        old.wait();
        f.start_control(n, false);
        wait_for("the member to return", || f.version(n).is_some());
    }
}

/// Waits until a link is open between each two members, in each direction.
fn wait_for_links(links: &SilentLinks) {
    let name = |n: usize| format!("control-{n}");
    wait_for("links between all members", || {
        let pairs = (0..MEMBERS).flat_map(|a| (0..MEMBERS).map(move |b| (a, b)));
        pairs.filter(|(a, b)| a != b).all(|(a, b)| links.is_open(&name(a), &name(b)))
    });
}

fn leader(f: &Fleet) -> usize {
    let is_leader =
        |n: &usize| metric_value(f.controls[*n].metrics, "cypressfork_group_leads") == Some(1.0);
    let mut found = None;
    wait_for("a leader", || {
        found = (0..MEMBERS).find(is_leader);
        found.is_some()
    });
    found.expect("there is a leader")
}

/// Publishes a document and asserts that it is committed in time, and can be read at every member.
fn assert_commits(f: &Fleet, version: u64, silent_since: Instant) {
    f.publish(version);
    let took = silent_since.elapsed();
    assert!(took <= COMMITS_WITHIN, "committed after {took:?}");
    for n in 0..MEMBERS {
        wait_for("the document to be read", || f.version(n) == Some(version));
    }
}

#[derive(Clone, Copy)]
enum Which {
    All,
    ToLeader,
    OfLeader,
    OfFollower,
}

fn silence(f: &Fleet, links: &SilentLinks, which: Which, silence: Silence) -> Instant {
    let leader = leader(f);
    let (lead, follower) =
        (format!("control-{leader}"), format!("control-{}", (leader + 1) % MEMBERS));
    let count = links.silence(silence, |opener, acceptor| match which {
        Which::All => true,
        Which::ToLeader => acceptor == lead,
        Which::OfLeader => opener == lead || acceptor == lead,
        Which::OfFollower => opener == follower || acceptor == follower,
    });
    assert!(count > 0, "links fell silent");
    Instant::now()
}

/// Guards against members that write to links nobody reads any more, so that the group elects no leader.
#[rstest]
fn a_group_commits_again_after_its_links_have_fallen_silent(
    #[values(Which::All, Which::ToLeader, Which::OfLeader, Which::OfFollower)] which: Which,
    #[values(Silence::Both, Silence::Opener, Silence::Acceptor)] kind: Silence,
    #[values(false, true)] restarted: bool,
) {
    let (mut f, links) = start();
    if restarted {
        restart_in_turn(&mut f);
        wait_for_links(&links);
    }
    let since = silence(&f, &links, which, kind);
    assert_commits(&f, 2, since);
}

/// Guards against links that are watched only once.
#[test]
fn a_group_commits_again_after_its_links_have_fallen_silent_twice() {
    let (mut f, links) = start();
    restart_in_turn(&mut f);
    wait_for_links(&links);
    for version in 2..4 {
        let since = silence(&f, &links, Which::All, Silence::Both);
        assert_commits(&f, version, since);
    }
}

/// Guards against links that are given up although their process was only paused for less than a second.
#[test]
fn a_paused_member_keeps_its_links() {
    let (f, _links) = start();
    let paused = f.controls[(leader(&f) + 1) % MEMBERS].process.as_ref().unwrap();
    for _ in 0..3 {
        paused.signal("STOP");
        sleep(PAUSE);
        paused.signal("CONT");
        sleep(PAUSE);
    }
    for c in &f.controls {
        let given_up = metric_value(c.metrics, "cypressfork_silent_links_total");
        assert_eq!(given_up.unwrap_or(0.0), 0.0);
    }
}
