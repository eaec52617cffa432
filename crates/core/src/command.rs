//! The commands of a group's replicated log, and their answers.

use serde::{Deserialize, Serialize};

use crate::bill::{Bill, Posting};
use crate::budget::{Ask, Bound, Decision, Elapsed, Report};
use crate::claim::{BodyDigest, End, Verdict};
use crate::code::Code;
use crate::config::{Change, Refusal};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::EndedReplica;
use crate::fleet::rollout::Step;
use crate::unit::{HolderId, LeaseId, Millis, RequestId, Tokens, Version};

/// A change of a group's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A router has started.
    Register {
        /// Name of its `Vm`.
        vm: String,
        /// Its data centre.
        data_centre: String,
        /// Address for callers.
        address: String,
        /// Drawn at its start.
        nonce: u64,
        /// How long it had been running, at least, when it said so: its predecessor on the `Vm`
        /// was dead before.
        #[serde(default)]
        age: Millis,
        /// Address for other routers; empty if it has none.
        #[serde(default)]
        link: String,
    },
    /// A data centre's reserve has started. It keeps its number as long as its disk.
    Enlist {
        /// Name of the `Vm` that keeps it.
        vm: String,
        /// Drawn when its disk was first used.
        nonce: u64,
    },
    /// A router is stopping: it takes no new callers.
    Leave(HolderId),
    /// A router has stopped, with nothing in hand.
    Gone(HolderId),
    /// The leader has not heard of a router for long.
    Lapse(HolderId),
    /// A holder asks for tokens.
    Ask(Ask),
    /// A holder tells what it spent, and sends bills.
    Tally {
        /// Who.
        holder: HolderId,
        /// On its leases.
        reports: Vec<Report>,
        /// Number of the batch of bills; 0 if there are none.
        batch: u64,
        /// Of requests that ended.
        bills: Vec<Bill>,
        /// Number of this report of bounds at its holder; 0 if it binds itself to nothing.
        #[serde(default)]
        seq: u64,
        /// Number of the last such report that the holder knows to be taken.
        #[serde(default)]
        after: u64,
        /// What the holder binds itself to.
        #[serde(default)]
        bounds: Vec<Bound>,
    },
    /// Claims a request that may run at most once.
    Claim {
        /// Who would run it.
        holder: HolderId,
        /// Number of the claim at this holder.
        seq: u64,
        /// The request.
        id: RequestId,
        /// What it consists of.
        body: BodyDigest,
    },
    /// Tells how a claimed request ended.
    Conclude {
        /// Who claimed it.
        holder: HolderId,
        /// Number of the claim at this holder.
        seq: u64,
        /// The request.
        id: RequestId,
        /// How.
        end: End,
    },
    /// Changes the configuration.
    Apply(Change),
    /// Adds tokens to a budget.
    TopUp {
        /// The operation's id.
        op: String,
        /// The budget.
        budget: String,
        /// How many.
        tokens: Tokens,
    },
    /// Frees what a lost holder had not reported, on an operator's word.
    Release {
        /// The operation's id.
        op: String,
        /// The lease.
        lease: LeaseId,
    },
    /// Puts a whole document in force, unless one of its version or a higher one is.
    Publish {
        /// Its version.
        version: Version,
        /// The document as submitted.
        source: String,
        /// What each budget that it names holds in all.
        budgets: Vec<(String, Tokens)>,
        /// The services that it names.
        #[serde(default)]
        services: Vec<String>,
    },
    /// Keeps new work from the replicas of a data centre, or lets it in again.
    Evacuate {
        /// Which.
        data_centre: String,
        /// Whether work is kept from it.
        evacuate: bool,
    },
    /// Moves a service's requests to replicas of a version.
    StartRollout {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// By when.
        within: Millis,
    },
    /// Takes a roll-out back.
    AbortRollout(String),
    /// A roll-out takes its next step.
    StepRollout(Step),
    /// Replicas have ended with requests under way.
    Ended(Vec<EndedReplica>),
    /// Requests under which replicas had ended were answered whole.
    Survived(Vec<Fingerprint>),
    /// A request may be sent to replicas again, on an operator's word.
    LiftQuarantine(Fingerprint),
    /// Quarantines whose time is over end.
    EndQuarantines,
    /// A holder is dead: its successor has registered.
    // Logs of earlier releases hold it under this name.
    #[serde(rename = "Bury")]
    WriteOff {
        /// Who.
        holder: HolderId,
        /// For how long it may have gone on after its last reports.
        elapsed: Elapsed,
    },
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The router's registration.
    Registered(HolderId),
    /// The answer to an ask.
    Decided(Decision),
    /// For each report whether its lease is open, and what became of each bill.
    Tallied {
        /// In the order of the reports.
        known: Vec<bool>,
        /// In the order of the bills.
        postings: Vec<Posting>,
    },
    /// The answer to a claim.
    Claimed(Verdict),
    /// The version that the change made, or why it was refused.
    Applied(Result<Version, Refusal>),
    /// What a budget holds in all after a top-up.
    Funded(Tokens),
    /// What came free.
    Released(Tokens),
    /// Nothing more to say.
    Done,
    /// Not done.
    Refused(Code),
    /// The version of the document in force.
    Published(Version),
}
