//! Founding of a group, and announcement of a process that does not belong to its group yet.
//!
//! The seed with the lowest address founds a group of all seeds, once each of them has answered that it
//! belongs to none. Every founding member repeats the founding request until the group has a leader, so
//! that an interrupted founding continues. A process outside the group announces itself to the seeds
//! until the leader adds it.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::contacts::GroupStatus;
use cypressfork_core::fleet::watch::Announce;
use cypressfork_core::query::{Identity, Query, Reply};
use cypressfork_core::raft::Members;
use cypressfork_core::unit::Millis;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_wire::{Ask, Founders, Peer, body};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// Interval between checks of this process's membership.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to a single seed.
const SEED_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a request to the group.
const GROUP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Founds a group or announces this process to one whenever needed; never returns. `founders` are the
/// addresses of all founding members, passed only to the process that founds the group.
pub async fn maintain_membership(
    me: Credentials,
    own_address: SocketAddr,
    group: GroupClient,
    founders: Option<Vec<SocketAddr>>,
    group_status: watch::Receiver<GroupStatus>,
    rejoin_members: mpsc::Sender<Members>,
) {
    let started = Instant::now();
    loop {
        let status = group_status.borrow().clone();
        let waited = Millis(started.elapsed().as_millis() as u64);
        if status.node == 0 {
            // The server has not published the status yet.
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        if let Some(founders) = founders.as_ref().filter(|_| status.members.voters.is_empty()) {
            found_group(&me, founders).await;
        } else if status.is_founding() {
            resend_founding(&me, &status.members).await;
        }
        if status.must_announce(waited) {
            announce(&group, own_address, &status, &rejoin_members).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Announces this process to the leader. A process that is rejoining also asks for the current members,
/// because those in its own log may all have been replaced.
async fn announce(
    group: &GroupClient,
    own_address: SocketAddr,
    status: &GroupStatus,
    rejoin_members: &mpsc::Sender<Members>,
) {
    let a = Announce { node: status.node, address: own_address.to_string() };
    if group.call(Ask::Announce(body::pack(&a)), GROUP_TIMEOUT).await.is_err() {
        return;
    }
    emit!(Event::JoinAnnounced, node = format_args!("{:016x}", status.node));
    if status.rejoining
        && let Ok(Reply::Members(members)) = group.query(&Query::Members, GROUP_TIMEOUT).await
    {
        // The send fails only if the server has stopped.
        let _ = rejoin_members.send(members).await;
    }
}

/// Founds a group of all seeds, if each of them answers that it belongs to none.
async fn found_group(me: &Credentials, seeds: &[SocketAddr]) {
    let mut peers = Vec::new();
    for seed in seeds {
        let group = GroupClient::new(me.clone(), vec![*seed]);
        let Ok(bytes) = group.call(Ask::Identify(true), SEED_TIMEOUT).await else { return };
        let Ok(i) = body::unpack::<Identity>(&bytes) else { return };
        if !i.members.voters.is_empty() {
            return;
        }
        peers.push(Peer::new(i.node as i64, seed.to_string()));
    }
    send_founding(me, peers).await;
}

/// Repeats the founding request to the founding members stored in this process's data folder.
async fn resend_founding(me: &Credentials, members: &Members) {
    let peers = members.addresses.iter().map(|(n, a)| Peer::new(*n as i64, a.clone()));
    send_founding(me, peers.collect()).await;
}

/// Sends the founding request to all founding members.
async fn send_founding(me: &Credentials, peers: Vec<Peer>) {
    let founders = Founders::new(peers.clone());
    for address in peers.iter().filter_map(|p| p.address.parse().ok()) {
        let group = GroupClient::new(me.clone(), vec![address]);
        // An unreachable member gets the request again at the next check.
        let _ = group.call(Ask::Founders(founders.clone()), SEED_TIMEOUT).await;
    }
}
