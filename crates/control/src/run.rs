//! From settings to a serving process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::fleet::contacts::GroupStatus;
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::raft::Restored;
use cypressfork_http::operators;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::{Failure, listen, reload_forever, stop_signal};
use cypressfork_node::settings::load;
use cypressfork_node::time::{Clock, wall};
use cypressfork_node::{emit, logging};
use cypressfork_store::{Error, Folder, set_aside};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::api::{self, Api};
use crate::dialect::Dialect;
use crate::disk::{Disk, disk_failed};
use crate::fleet_view::FleetView;
use crate::founding::keep_place;
use crate::machine::{Machine, Moment};
use crate::native::Native;
use crate::reserve::Reserve;
use crate::server::{Fleet, ReplyTo, Server};
use crate::settings::{File, FleetSettings, Settings};

/// How long to wait before a disk that failed is tried again.
const DISK_AGAIN: Duration = Duration::from_millis(500);

/// Calls over HTTP that may wait for the process's own state.
const CALLS: usize = 1_024;

/// Reads and checks the settings.
pub fn settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

fn open_reserve(s: &Settings) -> Result<Option<Reserve<ReplyTo>>, Error> {
    if !s.reserve {
        return Ok(None);
    }
    let (path, b) = (s.data_folder.join("reserve"), &s.base);
    Reserve::open(&path, &b.region, &b.vm, &b.data_centre, rand::random::<u64>()).map(Some)
}

/// Opens the data folder. A disk that takes no bytes now may take them again: it is waited for,
/// since a process that ends would only be started into the same.
async fn open_disk(s: &Settings) -> Result<(Disk, Restored), Error> {
    loop {
        let fresh = rand::random::<u64>() >> 1;
        let opened = Folder::open(&s.data_folder, &s.base.region, fresh).and_then(Disk::open);
        match opened {
            Err(e @ Error::Io(..)) => emit!(Event::DiskFailed, why = e),
            other => return other,
        }
        sleep(DISK_AGAIN).await;
    }
}

/// Opens the fleet's side: where it listens, and who looks after this process's place.
async fn open_fleet<D: Dialect>(
    f: &FleetSettings,
    (data_centre, regions): (String, Regions),
    me: &Credentials,
    own: SocketAddr,
    seeds: &[SocketAddr],
    group: Group,
) -> Result<Fleet, Failure> {
    let (local, calls) = mpsc::channel(CALLS);
    let (place, places) = watch::channel(GroupStatus::default());
    let (confirmed, confirmed_members) = mpsc::channel(1);
    let place_group = group.clone();
    let api = Rc::new(Api { group, local });
    for address in BTreeSet::from([f.listen, f.entry]) {
        let api = api.clone();
        let listener = listen(address).await?;
        actix_rt::spawn(cypressfork_http::serve(listener, move |req| {
            api::serve::<D>(api.clone(), req)
        }));
    }
    let founder = f.found && seeds.iter().min() == Some(&own);
    let founds = founder.then(|| seeds.to_vec());
    let keep = keep_place(me.clone(), own, place_group, founds, places, confirmed);
    actix_rt::spawn(keep);
    let view = FleetView::new(rand::random(), f.replica_heartbeat);
    Ok(Fleet {
        view,
        calls,
        place,
        confirmed_members,
        seeds: seeds.to_vec(),
        data_centre,
        regions,
        entry_keep: f.entry_keep,
        voters: f.voters,
        rollout_allowed: f.rollout_allowed,
    })
}

/// Serves until asked to stop, over HTTP in the project's own words.
pub async fn run(s: Settings, file: PathBuf) -> Result<(), Failure> {
    serve::<Native>(s, file).await
}

/// Serves until asked to stop, over HTTP in the words of `D`.
pub async fn serve<D: Dialect>(s: Settings, file: PathBuf) -> Result<(), Failure> {
    logging::start(s.base.log_level, s.base.log_form);
    if let Some(address) = s.metrics {
        let metrics = operators::start_metrics()
            .map_err(|e| (Code::SettingsValue, format!("could not start metrics: {e}")))?;
        actix_rt::spawn(operators::serve_metrics(listen(address).await?, metrics));
    }
    let opened = tokio::select! {
        opened = open_disk(&s) => opened,
        () = stop_signal() => return Ok(()),
    };
    let (disk, found) = opened.map_err(disk_failed)?;
    let node = disk.node();
    let clock = Clock::start();
    let at = Moment { now: clock.now(), wall: wall() };
    let mut machine =
        Machine::start(at, &s.base.region, s.machine, disk, (node, found), rand::random())
            .map_err(disk_failed)?;
    if let Some(f) = &s.fleet {
        machine.set_data_centres(f.data_centres.iter().cloned());
    }
    let listener = listen(s.listen).await?;
    emit!(Event::Started, listen = s.listen, node = format_args!("{node:016x}"));
    let reserve = open_reserve(&s).map_err(disk_failed)?;
    let me = Credentials { key: s.base.key, cluster: s.base.cluster, name: s.base.vm };
    let seeds = s.base.control;
    let group = Group::new(me.clone(), seeds.clone());
    let fleet = match &s.fleet {
        Some(f) => {
            let place = (s.base.data_centre, s.base.regions);
            Some(open_fleet::<D>(f, place, &me, s.advertise, &seeds, group.clone()).await?)
        }
        None => None,
    };
    let g = group.clone();
    actix_rt::spawn(reload_forever(
        move || settings(&file),
        move |s| g.set_addresses(s.base.control),
    ));
    let server = Server::new(machine, clock, me, s.advertise, reserve, group, fleet);
    let ended = server.run(listener).await;
    if let (Err((Code::FolderForeign, _)), Some(_)) = (&ended, &s.fleet) {
        // The group mends itself: the next start joins it under another identity.
        set_aside(&s.data_folder).map_err(disk_failed)?;
        emit!(Event::FolderSetAside, node = format_args!("{node:016x}"));
    }
    ended?;
    emit!(Event::Stopped);
    Ok(())
}
