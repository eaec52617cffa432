//! A data centre's reserve, kept on this process's own disk.
//!
//! It is no part of the replicated log: during a cut it must answer without a quorum. Every command
//! is synced before it is answered, so that a restart forgets nothing.

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
    pub(super) const WHOLE: u8 = 2;
}

/// Bytes of the log after which it is shortened.
const LOG_MOST: u64 = 4 * 1024 * 1024;

#[derive(Serialize, Deserialize)]
struct CommandRecord {
    at: Time,
    id: LeaseId,
    command: ReserveCommand,
}

/// An answer and where it goes.
pub type Reply<T> = (T, Result<Vec<u8>, Code>);

/// A reserve and its disk; `T` tells where an answer goes.
pub struct Reserve<T> {
    vm: String,
    data_centre: String,
    folder: Folder,
    log: Log<File>,
    reserve_ledger: ReserveLedger,
    holder: Option<HolderId>,
    commands: u64,
    replies: Vec<Reply<T>>,
    failed: bool,
}

impl<T> Reserve<T> {
    /// Opens the reserve in its folder.
    pub fn open(
        path: &Path,
        region: &str,
        vm: &str,
        data_centre: &str,
        fresh: u64,
    ) -> Result<Reserve<T>, Error> {
        let folder = Folder::open(path, region, fresh)?;
        let (log, records) = folder.log()?;
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

    /// Does a router's command; the answer comes with the next [`Reserve::finish`].
    pub fn serve(&mut self, now: Time, bytes: &[u8], from: T) {
        let result = match body::unpack::<ReserveCommand>(bytes) {
            Ok(d @ (ReserveCommand::Ask(_) | ReserveCommand::Report(..))) => {
                Ok(body::pack(&self.apply(now, &d)))
            }
            _ => Err(Code::MessageBad),
        };
        self.replies.push((from, result));
    }

    fn apply(&mut self, now: Time, d: &ReserveCommand) -> ReserveAnswer {
        self.commands += 1;
        let identity = self.folder.identity();
        // No other start, and no other disk, has the same first number.
        let term = identity.node.wrapping_add(identity.incarnation);
        let id = LeaseId { term, index: self.commands };
        let record = CommandRecord { at: now, id, command: d.clone() };
        self.log.append(kind::COMMAND, &body::pack(&record));
        self.reserve_ledger.apply(now, id, d)
    }

    /// Syncs what was done; returns the answers. After a failed sync nothing more is answered.
    pub fn finish(&mut self) -> Result<Vec<Reply<T>>, Error> {
        let replies = std::mem::take(&mut self.replies);
        if self.failed {
            let refused = replies.into_iter().map(|(to, _)| (to, Err(Code::DiskFailed)));
            return Ok(refused.collect());
        }
        self.failed = true;
        self.log.sync()?;
        if self.log.size() > LOG_MOST {
            let whole = Record { kind: kind::WHOLE, payload: body::pack(&self.reserve_ledger) };
            self.log.replace(&[whole])?;
        }
        self.failed = false;
        Ok(replies)
    }

    /// What to have committed by the group, as this replica's state, late or not, suggests.
    pub fn commands_due(&mut self, now: Time, state: &State) -> Vec<Command> {
        let Some(holder) = self.holder else {
            let nonce = self.folder.identity().node;
            return vec![Command::Enlist { vm: self.vm.clone(), nonce }];
        };
        let mut commands = Vec::new();
        for budget in self.budgets(state) {
            let Some(f) = state.ledger().get(&budget) else { continue };
            let target = if f.recalling(now) { 0 } else { f.policy.reserve_target(f.free()) };
            let excess = self.reserve_ledger.excess(&budget, target);
            if excess > 0 {
                self.apply(now, &ReserveCommand::GiveBack(budget.clone(), excess));
            }
            commands.extend(
                self.reserve_ledger.next_request(holder, &budget, target).map(Command::Ask),
            );
            commands.extend(self.tally(holder, &budget, state));
        }
        commands
    }

    /// The report on a budget, if the group does not know it yet.
    fn tally(&self, holder: HolderId, budget: &str, state: &State) -> Option<Command> {
        let f = state.ledger().get(budget)?;
        let known = |r: &cypressfork_core::budget::Report| {
            f.leases().any(|(id, l)| *id == r.lease && (l.used, l.keep) == (r.used, r.keep))
        };
        let reports: Vec<_> =
            self.reserve_ledger.reports(budget).into_iter().filter(|r| !known(r)).collect();
        let none = reports.is_empty();
        (!none).then_some(Command::Tally {
            holder,
            reports,
            batch: 0,
            bills: Vec::new(),
            seq: 0,
            after: 0,
            bounds: Vec::new(),
        })
    }

    /// The budgets that this data centre's routers spend, and those held already.
    fn budgets(&self, state: &State) -> BTreeSet<String> {
        let here = state.routers().iter().filter(|r| r.data_centre == self.data_centre);
        let here: BTreeSet<HolderId> = here.map(|r| r.holder).collect();
        let spent = state
            .ledger()
            .iter()
            .filter(|(_, f)| f.leases().any(|(_, l)| here.contains(&l.holder)))
            .map(|(name, _)| name.clone());
        spent.chain(self.reserve_ledger.budgets().cloned()).collect()
    }

    /// Takes the group's answer to a command.
    pub fn answered(&mut self, now: Time, c: &Command, a: &Answer, state: &State) {
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
            // Replaced by another disk under the same name.
            (_, Answer::Refused(Code::HolderStale)) => self.holder = None,
            _ => {}
        }
    }

    fn budget_of(&self, lease: LeaseId) -> Option<String> {
        let holds = |b: &&String| self.reserve_ledger.reports(b).iter().any(|r| r.lease == lease);
        self.reserve_ledger.budgets().find(holds).cloned()
    }

    /// Whether the group knows this reserve.
    pub fn is_enlisted(&self) -> bool {
        self.holder.is_some()
    }
}

fn replay(reserve_ledger: &mut ReserveLedger, r: &Record) -> Option<()> {
    match r.kind {
        kind::COMMAND => {
            let d: CommandRecord = body::unpack(&r.payload).ok()?;
            reserve_ledger.apply(d.at, d.id, &d.command);
        }
        kind::WHOLE => *reserve_ledger = body::unpack(&r.payload).ok()?,
        _ => return None,
    }
    Some(())
}
