//! Startup of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::client_table::max_held_bytes;
use cypressfork_core::fleet::contacts::GroupStatus;
use cypressfork_core::fleet::regions::Regions;
use cypressfork_core::raft::PersistentState;
use cypressfork_http::server::clients::Clients;
use cypressfork_http::server::stop::StopProgress;
use cypressfork_http::{operators, serve_until_stopped};
use cypressfork_node::event::Event;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::{Failure, listen};
use cypressfork_node::settings::{ClientBounds, load};
use cypressfork_node::signals::{Reload, StopSignals};
use cypressfork_node::time::{Clock, unix_time};
use cypressfork_node::{emit, logging};
use cypressfork_store::{Error, Folder, set_aside};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::api::{self, Api, Endpoint};
use crate::dialect::Dialect;
use crate::disk::{Disk, disk_failure};
use crate::drain::Drain;
use crate::fleet_view::FleetView;
use crate::founding::maintain_membership;
use crate::listener::Listener;
use crate::machine::{ClockReading, GroupMember};
use crate::native::Native;
use crate::reserve::Reserve;
use crate::server::{FleetContext, ReplyTo, Server};
use crate::settings::{File, FleetSettings, Settings};

/// Delay before a failed disk is tried again.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Share of the files for connections of replicas, which keep them, and of operators.
const API_FILES_DIVISOR: usize = 2;

/// Share of the files for connections of callers. The rest is for links and the disk.
const ENTRY_FILES_DIVISOR: usize = 4;

/// Share of the files for connections that read metrics.
const METRICS_FILES_DIVISOR: usize = 64;

/// Maximum number of queued HTTP calls.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Reads and checks the settings file. Returns the result code and the reason on failure.
pub fn load_settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

/// Opens the reserve of the data centre, if this process keeps it.
fn open_reserve(s: &Settings) -> Result<Option<Reserve<ReplyTo>>, Error> {
    if !s.reserve {
        return Ok(None);
    }
    let (path, common) = (s.data_folder.join("reserve"), &s.base);
    Reserve::open(&path, &common.region, &common.vm, &common.data_centre, rand::random::<u64>())
        .map(Some)
}

/// Opens the data folder, and retries while the disk fails: a process that exits would only be
/// restarted into the same failure.
async fn open_disk(s: &Settings) -> Result<(Disk, PersistentState), Error> {
    loop {
        let fresh_node = rand::random::<u64>() >> 1;
        let opened = Folder::open(&s.data_folder, &s.base.region, fresh_node).and_then(Disk::open);
        match opened {
            Err(e @ Error::Io(..)) => emit!(Event::DiskFailed, why = e),
            other => return other,
        }
        sleep(DISK_RETRY_DELAY).await;
    }
}

/// Starts the HTTP listeners and the membership task. Returns the state and channels that the server
/// shares with them.
async fn start_fleet<D: Dialect>(
    f: &FleetSettings,
    (data_centre, regions): (String, Regions),
    me: &Credentials,
    own: SocketAddr,
    seeds: &[SocketAddr],
    group: GroupClient,
    (clients, bounds): (&Rc<Clients>, ClientBounds),
) -> Result<FleetContext, Failure> {
    let (local, calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let (group_status, status_updates) = watch::channel(GroupStatus::default());
    let (members_tx, rejoin_members) = mpsc::channel(1);
    let membership_group = group.clone();
    let stop = Rc::<StopProgress>::default();
    let api = Rc::new(Api::new(group, local, stop.clone()));
    let mut exchanges = Vec::new();
    for (address, kind) in f.listeners() {
        let divisor = match kind {
            Listener::Control | Listener::Shared => API_FILES_DIVISOR,
            Listener::Directory => ENTRY_FILES_DIVISOR,
        };
        let listener = listen(address).await?;
        let clients = clients.add_listener(bounds.connections(divisor));
        exchanges.push(clients.exchanges());
        let limit = move |req: &Request| api::body_limit::<D>(kind, req);
        let (stop, endpoint) = (stop.clone(), Rc::new(Endpoint::new(api.clone(), kind)));
        actix_rt::spawn(serve_until_stopped(listener, clients, stop, limit, move |req| {
            api::serve::<D>(endpoint.clone(), req)
        }));
    }
    let is_founder = f.found && seeds.iter().min() == Some(&own);
    let founders = is_founder.then(|| seeds.to_vec());
    let membership = maintain_membership(
        me.clone(),
        own,
        membership_group,
        founders,
        status_updates,
        members_tx,
    );
    actix_rt::spawn(membership);
    let view = FleetView::new(rand::random(), f.replica_heartbeat);
    Ok(FleetContext {
        view,
        calls,
        drain: Some(Drain { stop, exchanges }),
        group_status,
        rejoin_members,
        seeds: seeds.to_vec(),
        data_centre,
        regions,
        entry_keep: f.entry_keep,
        voters: f.voters,
        rollout_share_permille: f.rollout_share_permille,
    })
}

/// Serves until a stop signal arrives, with the native HTTP API. See [`serve`].
pub async fn run(s: Settings, file: PathBuf) -> Result<(), Failure> {
    serve::<Native>(s, file).await
}

/// Serves until a stop signal arrives, with the HTTP API of `D`. Returns the result code and the
/// reason if the process cannot start or continue. A reload signal rereads the settings from `file`.
pub async fn serve<D: Dialect>(s: Settings, file: PathBuf) -> Result<(), Failure> {
    let (mut stop, reload) = (StopSignals::new(), Reload::new());
    logging::start(s.base.log_level, s.base.log_form);
    let clock = Clock::start();
    let clients = Clients::new(clock, max_held_bytes(s.clients.memory));
    if let Some(address) = s.metrics {
        let metrics = operators::start_metrics()
            .map_err(|e| (Code::SettingsValue, format!("could not start metrics: {e}")))?;
        let clients = clients.add_listener(s.clients.connections(METRICS_FILES_DIVISOR));
        actix_rt::spawn(operators::serve_metrics(listen(address).await?, clients, metrics));
    }
    let opened = tokio::select! {
        opened = open_disk(&s) => opened,
        _ = stop.requested() => return Ok(()),
    };
    let (disk, restored) = opened.map_err(disk_failure)?;
    let node = disk.node();
    let at = ClockReading { now: clock.now(), wall: unix_time() };
    let mut member =
        GroupMember::start(at, &s.base.region, s.member, disk, (node, restored), rand::random())
            .map_err(disk_failure)?;
    if let Some(f) = &s.fleet {
        member.set_data_centres(f.data_centres.iter().cloned());
    }
    let listener = listen(s.listen).await?;
    emit!(Event::Started, listen = s.listen, node = format_args!("{node:016x}"));
    let reserve = open_reserve(&s).map_err(disk_failure)?;
    let me = Credentials { key: s.base.key, cluster: s.base.cluster, name: s.base.vm };
    let seeds = s.base.control;
    let group = GroupClient::new(me.clone(), seeds.clone());
    let fleet = match &s.fleet {
        Some(f) => {
            let location = (s.base.data_centre, s.base.regions);
            let fleet = start_fleet::<D>(
                f,
                location,
                &me,
                s.advertise,
                &seeds,
                group.clone(),
                (&clients, s.clients),
            );
            Some(fleet.await?)
        }
        None => None,
    };
    let reloaded_group = group.clone();
    actix_rt::spawn(
        reload.run(
            move || load_settings(&file),
            move |s| reloaded_group.set_addresses(s.base.control),
        ),
    );
    let server = Server::new(member, clock, me, s.advertise, reserve, group, fleet);
    let ended = server.run(listener, stop).await;
    if let (Err((Code::FolderForeign, _)), Some(_)) = (&ended, &s.fleet) {
        // The next start joins the group as a new member, which replaces this one.
        set_aside(&s.data_folder).map_err(disk_failure)?;
        emit!(Event::FolderSetAside, node = format_args!("{node:016x}"));
    }
    ended
}
