//! From settings to a serving process.

use std::path::Path;

use cypressfork_core::code::Code;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::link::Credentials;
use cypressfork_node::process::Failure;
use cypressfork_node::settings::load;
use cypressfork_node::time::{Clock, wall};
use cypressfork_node::{emit, logging};
use cypressfork_store::{Error, Folder};
use tokio::net::TcpListener;

use crate::disk::Disk;
use crate::machine::{Machine, Moment};
use crate::reserve::Reserve;
use crate::server::{ReplyTo, Server};
use crate::settings::{File, Settings};

/// Reads and checks the settings.
pub fn settings(path: &Path) -> Result<Settings, Failure> {
    load::<File>(path).map_err(|e| (e.code(), e.to_string()))
}

/// The result code of an error of the data folder.
fn code(e: &Error) -> Code {
    match e {
        Error::InUse(_) => Code::FolderInUse,
        Error::Foreign(..) => Code::FolderForeign,
        Error::Damaged(..) => Code::LogDamaged,
        Error::Snapshot(..) => Code::SnapshotDamaged,
        Error::Io(..) | Error::Poisoned => Code::DiskFailed,
    }
}

fn disk_failed(e: Error) -> Failure {
    (code(&e), format!("CF{}: {e}", code(&e).number()))
}

fn open_reserve(s: &Settings) -> Result<Option<Reserve<ReplyTo>>, Error> {
    if !s.reserve {
        return Ok(None);
    }
    let (path, b) = (s.data_folder.join("reserve"), &s.base);
    Reserve::open(&path, &b.region, &b.vm, &b.data_centre, rand::random::<u64>()).map(Some)
}

/// Serves until asked to stop.
pub async fn run(s: Settings) -> Result<(), Failure> {
    logging::start(s.base.log_level, s.base.log_form);
    let folder = Folder::open(&s.data_folder, &s.base.region, rand::random::<u64>() >> 1)
        .map_err(disk_failed)?;
    let (disk, found) = Disk::open(folder).map_err(disk_failed)?;
    let node = disk.node();
    let clock = Clock::start();
    let at = Moment { now: clock.now(), wall: wall() };
    let machine =
        Machine::start(at, &s.base.region, s.machine, disk, (node, found), rand::random())
            .map_err(disk_failed)?;
    let listener = TcpListener::bind(s.listen).await.map_err(|e| {
        (Code::AddressTaken, format!("CF3005: could not listen on {}: {e}", s.listen))
    })?;
    emit!(Event::Started, listen = s.listen, node = format_args!("{node:016x}"));
    let reserve = open_reserve(&s).map_err(disk_failed)?;
    let me = Credentials { key: s.base.key, cluster: s.base.cluster, name: s.base.vm };
    let group = Group::new(me.clone(), s.base.control);
    Server::new(machine, clock, me, s.listen, reserve, group).run(listener).await?;
    emit!(Event::Stopped);
    Ok(())
}
