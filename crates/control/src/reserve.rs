//! A data centre's reserve of tokens, stored on this process's own disk.
//!
//! It is not part of the replicated log, so that it works without a quorum during a network partition.
//! Every command is synced before it is answered, so that a restart loses nothing.

use std::collections::BTreeSet;
use std::fs::File;
use std::path::Path;

use cypressfork_core::budget::{ReserveAnswer, ReserveCommand, ReserveLedger};
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::state::State;
use cypressfork_core::unit::{HolderId, LeaseId, Time};
use cypressfork_store::{Error, Folder, Log, Record};
use cypressfork_wire::body;
use serde::{Deserialize, Serialize};

/// Kinds of record in the log.
mod kind {
    pub(super) const COMMAND: u8 = 1;
    pub(super) const LEDGER: u8 = 2;
}

/// Size of the log in bytes above which it is compacted.
const MAX_LOG_SIZE: u64 = 4 * 1024 * 1024;

#[derive(Serialize, Deserialize)]
struct CommandRecord {
    at: Time,
    id: LeaseId,
    command: ReserveCommand,
}

/// An answer and the caller that it goes to.
pub type Reply<T> = (T, Result<Vec<u8>, Code>);

/// A reserve and its storage; `T` identifies the caller to reply to.
pub struct Reserve<T> {
    vm: String,
    data_centre: String,
    folder: Folder,
    log: Log<File>,
    reserve_ledger: ReserveLedger,
    holder: Option<HolderId>,
    /// Number of commands applied since the start.
    commands: u64,
    replies: Vec<Reply<T>>,
    /// Whether a sync has failed.
    failed: bool,
}

impl<T> Reserve<T> {
    /// Opens the reserve in the folder at `path`, and restores it from the log. A new folder gets
    /// the identity `fresh_node`.
    pub fn open(
        path: &Path,
        region: &str,
        vm: &str,
        data_centre: &str,
        fresh_node: u64,
    ) -> Result<Reserve<T>, Error> {
        let folder = Folder::open(path, region, fresh_node)?;
        let (log, records) = folder.open_log()?;
        let mut reserve_ledger = ReserveLedger::default();
        for (n, r) in records.iter().enumerate() {
            replay(&mut reserve_ledger, r)
                .ok_or_else(|| Error::Damaged(path.join(format!("record {n}")), 0))?;
        }
        Ok(Reserve {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            folder,
            log,
            reserve_ledger,
            holder: None,
            commands: 0,
            replies: Vec::new(),
            failed: false,
        })
    }

    /// Applies a router's command; the next [`Reserve::finish`] returns the answer.
    pub fn handle_request(&mut self, now: Time, bytes: &[u8], from: T) {
        let result = match body::unpack::<ReserveCommand>(bytes) {
            Ok(c @ (ReserveCommand::Ask(_) | ReserveCommand::Report(..))) => {
                Ok(body::pack(&self.apply(now, &c)))
            }
            _ => Err(Code::MessageBad),
        };
        self.replies.push((from, result));
    }

    fn apply(&mut self, now: Time, c: &ReserveCommand) -> ReserveAnswer {
        self.commands += 1;
        let identity = self.folder.identity();
        // Unique to this disk and this start of the process.
        let term = identity.node.wrapping_add(identity.incarnation);
        let id = LeaseId { term, index: self.commands };
        let record = CommandRecord { at: now, id, command: c.clone() };
        self.log.append(kind::COMMAND, &body::pack(&record));
        self.reserve_ledger.apply(now, id, c)
    }

    /// Syncs the applied commands, and returns their answers. After a failed sync every command is refused.
    pub fn finish(&mut self) -> Result<Vec<Reply<T>>, Error> {
        let replies = std::mem::take(&mut self.replies);
        if self.failed {
            let refused = replies.into_iter().map(|(to, _)| (to, Err(Code::DiskFailed)));
            return Ok(refused.collect());
        }
        self.failed = true;
        self.log.sync()?;
        if self.log.synced_len() > MAX_LOG_SIZE {
            let ledger = Record { kind: kind::LEDGER, payload: body::pack(&self.reserve_ledger) };
            self.log.replace(&[ledger])?;
        }
        self.failed = false;
        Ok(replies)
    }

    /// Returns the commands to send to the group, based on this member's replicated state, which may lag
    /// behind: the registration, or the lease requests and reports on each budget.
    pub fn commands_due(&mut self, now: Time, state: &State) -> Vec<Command> {
        let Some(holder) = self.holder else {
            let nonce = self.folder.identity().node;
            return vec![Command::Enlist { vm: self.vm.clone(), nonce }];
        };
        let mut commands = Vec::new();
        for budget in self.budgets(state) {
            let Some(f) = state.ledger().get(&budget) else { continue };
            let target = if f.is_recalling(now) { 0 } else { f.policy.reserve_target(f.free()) };
            let excess = self.reserve_ledger.excess(&budget, target);
            if excess > 0 {
                self.apply(now, &ReserveCommand::GiveBack(budget.clone(), excess));
            }
            commands.extend(
                self.reserve_ledger.next_request(holder, &budget, target).map(Command::Ask),
            );
            commands.extend(self.pending_reports(holder, &budget, state));
        }
        commands
    }

    /// Returns the reports on a budget that differ from the group's ledger, if there are any.
    fn pending_reports(&self, holder: HolderId, budget: &str, state: &State) -> Option<Command> {
        let f = state.ledger().get(budget)?;
        let known = |r: &cypressfork_core::budget::Report| {
            f.leases().any(|(id, l)| *id == r.lease && (l.used, l.keep) == (r.used, r.keep))
        };
        let reports: Vec<_> =
            self.reserve_ledger.reports(budget).into_iter().filter(|r| !known(r)).collect();
        let is_empty = reports.is_empty();
        (!is_empty).then_some(Command::Tally {
            holder,
            reports,
            batch: 0,
            bills: Vec::new(),
            seq: 0,
            after: 0,
            bounds: Vec::new(),
        })
    }

    /// Returns the budgets that routers of this data centre hold leases on, and those of the reserve.
    fn budgets(&self, state: &State) -> BTreeSet<String> {
        let local = state.routers().iter().filter(|r| r.data_centre == self.data_centre);
        let local: BTreeSet<HolderId> = local.map(|r| r.holder).collect();
        let leased = state
            .ledger()
            .iter()
            .filter(|(_, f)| f.leases().any(|(_, l)| local.contains(&l.holder)))
            .map(|(name, _)| name.clone());
        leased.chain(self.reserve_ledger.budgets().cloned()).collect()
    }

    /// Applies the group's answer to one of [`Reserve::commands_due`].
    pub fn handle_answer(&mut self, now: Time, c: &Command, a: &Answer, state: &State) {
        match (c, a) {
            (Command::Enlist { .. }, Answer::Registered(h)) => self.holder = Some(*h),
            (Command::Ask(ask), Answer::Decided(Ok(g))) => {
                let policy = state.ledger().get(&ask.budget).map(|f| f.policy).unwrap_or_default();
                self.apply(now, &ReserveCommand::Granted(ask.budget.clone(), *g, policy));
            }
            (Command::Tally { reports, .. }, Answer::Tallied { .. }) => {
                for r in reports {
                    if let Some(budget) = self.budget_of(r.lease) {
                        self.apply(now, &ReserveCommand::Acknowledged(budget, *r));
                    }
                }
            }
            // Another disk has registered under the same VM name.
            (_, Answer::Refused(Code::HolderStale)) => self.holder = None,
            _ => {}
        }
    }

    /// Returns the budget that a lease is on.
    fn budget_of(&self, lease: LeaseId) -> Option<String> {
        let holds = |b: &&String| self.reserve_ledger.reports(b).iter().any(|r| r.lease == lease);
        self.reserve_ledger.budgets().find(holds).cloned()
    }

    /// Returns whether this reserve is registered at the group.
    pub fn is_registered(&self) -> bool {
        self.holder.is_some()
    }
}

/// Applies one record of the log to the ledger. Returns `None` if the record is malformed.
fn replay(reserve_ledger: &mut ReserveLedger, r: &Record) -> Option<()> {
    match r.kind {
        kind::COMMAND => {
            let c: CommandRecord = body::unpack(&r.payload).ok()?;
            reserve_ledger.apply(c.at, c.id, &c.command);
        }
        kind::LEDGER => *reserve_ledger = body::unpack(&r.payload).ok()?,
        _ => return None,
    }
    Some(())
}
