//! Commands of a control group's replicated log, and their results.

use serde::{Deserialize, Serialize};

use crate::bill::{Bill, Posting};
use crate::budget::{Bound, Decision, Elapsed, LeaseRequest, Report};
use crate::claim::{BodyDigest, ClaimDecision, ClaimEnd};
use crate::code::Code;
use crate::config::{Change, Refusal};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::TerminationReport;
use crate::fleet::registry::{Registration, ReplicaStatus};
use crate::fleet::rollout::Step;
use crate::unit::{HolderId, LeaseId, Millis, RequestId, Tokens, Version};

/// A change of a control group's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Registers a router that has started.
    Register {
        /// Name of the router's `Vm`.
        vm: String,
        /// The router's data centre.
        data_centre: String,
        /// Address for callers.
        address: String,
        /// Random number drawn when the process started.
        nonce: u64,
        /// Minimum time that the process had run when it sent this; its predecessor on the `Vm`
        /// had died before that time began.
        #[serde(default)]
        age: Millis,
        /// Address for other routers; empty if it has none.
        #[serde(default)]
        link: String,
    },
    /// Registers a data centre's reserve that has started. It keeps its holder id while it keeps
    /// its disk.
    Enlist {
        /// Name of the `Vm` that the reserve runs on.
        vm: String,
        /// Random number drawn when its disk was first used.
        nonce: u64,
    },
    /// Marks a router as stopping: it accepts no new callers.
    Leave(HolderId),
    /// Removes a router that has stopped and holds no leases.
    Gone(HolderId),
    /// Sets the open claims of a router without recent heartbeats to an unknown outcome.
    Lapse(HolderId),
    /// Requests a lease for a holder.
    Ask(LeaseRequest),
    /// Reports a holder's spending, bills and bounds.
    Tally {
        /// The holder.
        holder: HolderId,
        /// Reports on its leases.
        reports: Vec<Report>,
        /// Number of the batch of bills; 0 without bills.
        batch: u64,
        /// Bills of requests that have ended.
        bills: Vec<Bill>,
        /// Sequence number of this report of bounds at its holder; 0 without bounds.
        #[serde(default)]
        seq: u64,
        /// Number of the last report of bounds whose acceptance the holder has learned of.
        #[serde(default)]
        after: u64,
        /// Bounds on the holder's spending.
        #[serde(default)]
        bounds: Vec<Bound>,
    },
    /// Claims a request that may run at most once.
    Claim {
        /// The claimant.
        holder: HolderId,
        /// Number of the claim at this holder.
        seq: u64,
        /// The request.
        id: RequestId,
        /// Digest of its method, path and body.
        body: BodyDigest,
    },
    /// Records how a claimed request ended.
    Conclude {
        /// The claimant.
        holder: HolderId,
        /// Number of the claim at this holder.
        seq: u64,
        /// The request.
        id: RequestId,
        /// How it ended.
        end: ClaimEnd,
    },
    /// Changes the configuration.
    Apply(Change),
    /// Adds tokens to a budget.
    TopUp {
        /// Operation id; a resend with the same id is not applied again.
        op: String,
        /// Budget name.
        budget: String,
        /// Number of tokens to add.
        tokens: Tokens,
    },
    /// Closes a lost holder's lease and frees its unreported tokens, by order of an operator.
    Release {
        /// Operation id; a resend with the same id is not applied again.
        op: String,
        /// The lease.
        lease: LeaseId,
    },
    /// Replaces the published configuration document, unless its version is at least as high.
    Publish {
        /// Its version.
        version: Version,
        /// The document as submitted.
        source: String,
        /// The prepaid total of each budget that it names.
        budgets: Vec<(String, Tokens)>,
        /// Names of its services.
        #[serde(default)]
        services: Vec<String>,
    },
    /// Starts or ends the evacuation of a data centre, whose replicas then get no new work.
    Evacuate {
        /// The data centre.
        data_centre: String,
        /// Whether the evacuation starts; false ends it.
        evacuate: bool,
    },
    /// Records that a replica drains or has left.
    Depart {
        /// The replica's id.
        replica: String,
        /// Its last registration; none if no heartbeat of it has arrived.
        registration: Option<Registration>,
        /// Draining or left.
        standing: ReplicaStatus,
    },
    /// Starts a rollout, which moves a service's requests to replicas of a version.
    StartRollout {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// Time within which the rollout is to complete.
        within: Millis,
    },
    /// Aborts the rollout of a service.
    AbortRollout(String),
    /// Advances a rollout by one step.
    StepRollout(Step),
    /// Records replicas that ended while requests were running on them.
    Ended(Vec<TerminationReport>),
    /// Records suspect requests that were answered completely.
    Survived(Vec<Fingerprint>),
    /// Lifts the quarantine of a request, by order of an operator.
    LiftQuarantine(Fingerprint),
    /// Ends the expired quarantines.
    EndQuarantines,
    /// Closes the leases of a dead holder, whose successor has registered.
    // The name stored by earlier releases.
    #[serde(rename = "Bury")]
    WriteOff {
        /// The dead holder.
        holder: HolderId,
        /// How long it may have run after its last reports.
        elapsed: Elapsed,
    },
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The holder id of the registration.
    Registered(HolderId),
    /// The answer to a lease request.
    Decided(Decision),
    /// The results of a [`Command::Tally`].
    Tallied {
        /// For each report, whether its lease is open.
        known: Vec<bool>,
        /// For each bill, the result of posting it.
        postings: Vec<Posting>,
    },
    /// The result of a claim.
    Claimed(ClaimDecision),
    /// The configuration version that the change created, or why it was refused.
    Applied(Result<Version, Refusal>),
    /// The prepaid total of a budget after a top-up.
    Funded(Tokens),
    /// Number of tokens freed by a release.
    Released(Tokens),
    /// The command was applied and has no other result.
    Done,
    /// The command was refused.
    Refused(Code),
    /// The version of the published document.
    Published(Version),
}
