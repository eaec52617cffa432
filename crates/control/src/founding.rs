//! A group that founds itself, and a process that looks for its group.
//!
//! The seed with the lowest address founds the group of all seeds, once each of them has said
//! that it belongs to none. A founder sends the order again until the group has a leader, so that
//! a founding that was broken off goes on. A process that belongs to no group says so to the
//! seeds until the leader takes it in.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::contacts::GroupStatus;
use cypressfork_core::fleet::watch::Announce;
use cypressfork_core::query::{Identity, Query, Reply};
use cypressfork_core::raft::Members;
use cypressfork_core::unit::Millis;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_wire::{Ask, Founders, Peer, body};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// How often a process looks whether it has a group.
const LOOK: Duration = Duration::from_millis(250);

/// How long a seed may take to say who it is.
const IDENTIFY_WITHIN: Duration = Duration::from_millis(600);

/// How long a word to the group may take.
const ANNOUNCE_WITHIN: Duration = Duration::from_millis(1_200);

/// Looks after this process's place in a group for as long as it runs. The founder is handed the
/// addresses of all `founders`.
pub async fn keep_place(
    me: Credentials,
    own: SocketAddr,
    group: Group,
    founders: Option<Vec<SocketAddr>>,
    place: watch::Receiver<GroupStatus>,
    confirmed: mpsc::Sender<Members>,
) {
    let started = Instant::now();
    loop {
        let p = place.borrow().clone();
        let waited = Millis(started.elapsed().as_millis() as u64);
        if p.node == 0 {
            // Nothing is known yet.
            sleep(LOOK).await;
            continue;
        }
        if let Some(founders) = founders.as_ref().filter(|_| p.members.voters.is_empty()) {
            found(&me, founders).await;
        } else if p.is_founding() {
            refound(&me, &p.members).await;
        }
        if p.seeks_group(waited) {
            seek(&group, own, &p, &confirmed).await;
        }
        sleep(LOOK).await;
    }
}

/// Tells the leader that this process is there. One that waits to be welcomed back asks it for the
/// members too: those in its own log may all have been replaced.
async fn seek(group: &Group, own: SocketAddr, p: &GroupStatus, confirmed: &mpsc::Sender<Members>) {
    let a = Announce { node: p.node, address: own.to_string() };
    if group.call(Ask::Announce(body::pack(&a)), ANNOUNCE_WITHIN).await.is_err() {
        return;
    }
    emit!(Event::GroupSought, node = format_args!("{:016x}", p.node));
    if p.rejoining
        && let Ok(Reply::Members(members)) = group.query(&Query::Members, ANNOUNCE_WITHIN).await
    {
        // A server that has stopped needs no members.
        let _ = confirmed.send(members).await;
    }
}

/// Founds the group of all seeds, if none of them belongs to one.
async fn found(me: &Credentials, seeds: &[SocketAddr]) {
    let mut peers = Vec::new();
    for seed in seeds {
        let group = Group::new(me.clone(), vec![*seed]);
        let Ok(bytes) = group.call(Ask::Identify(true), IDENTIFY_WITHIN).await else { return };
        let Ok(i) = body::unpack::<Identity>(&bytes) else { return };
        if !i.members.voters.is_empty() {
            return;
        }
        peers.push(Peer::new(i.node as i64, seed.to_string()));
    }
    order(me, peers).await;
}

/// Sends the founders named in this process's own folder the order that founded it.
async fn refound(me: &Credentials, members: &Members) {
    let peers = members.addresses.iter().map(|(n, a)| Peer::new(*n as i64, a.clone()));
    order(me, peers.collect()).await;
}

async fn order(me: &Credentials, peers: Vec<Peer>) {
    let founders = Founders::new(peers.clone());
    for address in peers.iter().filter_map(|p| p.address.parse().ok()) {
        let group = Group::new(me.clone(), vec![address]);
        // One that is out of reach is told again.
        let _ = group.call(Ask::Founders(founders.clone()), IDENTIFY_WITHIN).await;
    }
}
