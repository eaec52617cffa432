//! The events that processes log, with their numbers, levels and texts.
//!
//! A test compares this table with `docs/EVENTS.md`.

use log::Level;

macro_rules! events {
    ($($name:ident = $num:literal, $level:ident, $text:literal;)*) => {
        /// A numbered event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $name,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Event] = &[$(Event::$name,)*];

            /// Returns the number.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $num,)* }
            }

            /// Returns the log level.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Returns the text.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    Started = 101, Info, "the process serves";
    Stopping = 102, Info, "a signal asks the process to stop";
    Stopped = 103, Info, "the process ends";
    StartFailed = 104, Error, "the process cannot start";
    StopForced = 105, Warn, "a second signal ends the process at once";
    Panicked = 106, Error, "a fault of this program ended a task, and its request with it";
    LinesLeftOut = 107, Warn, "log lines were left out, since nobody read them in time";
    ClockSteady = 108, Warn, "this system has no clock that counts suspensions: the steady clock is used";
    LinkOpened = 201, Debug, "a link to a peer is open";
    LinkClosed = 202, Debug, "a link to a peer has closed";
    LinkRefused = 203, Warn, "a peer is refused";
    LinkFailed = 204, Debug, "a peer cannot be reached";
    LinkSlow = 205, Warn, "a peer reads too slowly and is cut off";
    MessageBad = 206, Warn, "a message cannot be decoded";
    LeaderGained = 301, Info, "this replica leads";
    LeaderLost = 302, Info, "this replica no longer leads";
    FolderOutdated = 303, Error, "the data folder is an old copy: this replica takes no part";
    DiskFailed = 304, Error, "the disk failed: this replica takes no part";
    SnapshotSaved = 305, Info, "a snapshot is saved and the log shortened";
    SnapshotInstalled = 306, Info, "a snapshot from the leader is installed";
    GroupFounded = 307, Info, "the replicas named form a group";
    MembersChanged = 308, Info, "the group's members have changed";
    RouterLapsed = 309, Warn, "a router is silent: its open claims are of unknown outcome";
    ConfigApplied = 310, Info, "a configuration is in force";
    ConfigRefused = 311, Info, "a change of the configuration is refused";
    ReserveEnlisted = 312, Info, "this data centre's reserve is known to the group";
    ReserveFailed = 313, Error, "the disk of this data centre's reserve failed: it is closed";
    DocumentPublished = 314, Info, "a document is committed";
    DocumentSeen = 315, Info, "a newer document is in force here";
    CallRefused = 316, Info, "a call of an operator, a replica or a caller is refused";
    ReplicaChanged = 317, Info, "a replica has registered, changed, fallen silent or left";
    RepairBegun = 318, Info, "the group's members are changed by the leader, to mend it";
    GroupSought = 319, Info, "this process belongs to no group and says so";
    HolderWrittenOff = 320, Info, "a holder is dead: what it cannot have spent comes free";
    BudgetShort = 321, Info, "an ask for tokens is refused: the budget holds too little";
    DiskBack = 322, Info, "the disk stores again: this replica takes part again";
    DocumentKnown = 323, Info, "a control process tells of a newer document";
    DocumentAsked = 324, Info, "a newer document is asked for";
    DocumentGivenUp = 325, Info, "a control process has not sent a document in time";
    FolderSetAside = 326, Warn, "an old copy of a data folder is set aside: the next start is a new replica";
    DataCentreEvacuated = 327, Info, "an order about new work in a data centre is carried out";
    QuarantineChanged = 328, Info, "a request is sent to no replica from now on, or may be again";
    ServiceUnnamed = 329, Info, "a replica of a service that no document names is left out";
    RolloutChanged = 330, Info, "a roll-out is ordered, takes a step or is taken back";
    HeldUp = 331, Warn, "the process did not come round to its clock for a while";
    LeaderKnown = 332, Info, "a leader of the group is known again";
    RouterRegistered = 401, Info, "this router is registered";
    RouterReady = 402, Info, "this router serves callers";
    ControlLost = 403, Warn, "the control group is out of reach";
    ControlFound = 404, Info, "the control group is in reach again";
    RequestRefused = 405, Debug, "a request is refused";
    UpstreamFailed = 406, Warn, "an upstream failed";
    UpstreamOverCap = 407, Warn, "an engine sent more tokens than were asked for: the stream is cut";
    UpstreamMiscounted = 408, Warn, "an engine's token count does not match what it sent";
    UpstreamEjected = 409, Warn, "an upstream is left out for a while";
    DrainWaits = 411, Info, "a planned stop waits";
    SlicesReturned = 412, Info, "all slices are handed back";
    ReserveUsed = 414, Warn, "the control group is out of reach: the data centre's reserve is used";
    RequestDone = 415, Debug, "a request is answered";
    PlatformLost = 416, Warn, "the platform's list of VMs cannot be had: what is known stays";
    UpstreamLeaving = 417, Info, "a VM is leaving: its upstreams get no new work";
    UpstreamStays = 418, Info, "a VM is back: its upstreams get work again";
    AttemptEnded = 419, Debug, "an attempt at a replica has ended";
    RequestFailed = 420, Info, "a request is refused or fails";
    SettingsReloaded = 421, Info, "the settings were read anew";
    SettingsKept = 422, Warn, "the settings cannot be used: those before stay";
    TokensBorrowed = 423, Info, "another gateway has set tokens aside for a request";
    StreamLate = 424, Info, "a stream was answered later than its route aims at";
    NeighboursSeen = 425, Info, "the list of this data centre's gateways has changed";
    HomeLost = 426, Info, "a gateway that keeps a budget's tokens did not answer";
    EvacuationsSeen = 427, Info, "the data centres that get no new work have changed";
    ReplicasChanged = 428, Info, "several replicas have registered, changed, fallen silent or left";
    ReplicaReplaced = 429, Info, "another replica answers at a replica's address";
    ReplicaEnded = 430, Info, "a replica has ended with a request under way";
    QuarantineSeen = 431, Info, "the requests that are sent to no replica have changed";
    EndsUnreported = 432, Warn, "the control group has not heard of replicas that ended";
    RolloutSeen = 433, Info, "a roll-out has come to another stage";
    RolloutStopped = 434, Warn, "a version on roll-out gets nothing more from this gateway, by what it saw itself";
    GatewayBehind = 435, Warn, "the gateway is behind with its own work";
    LinkFull = 436, Warn, "the gateway's link is full, and it takes no connection for a moment";
    ListenFailed = 437, Warn, "an address cannot be listened on";
    LimitChanged = 438, Info, "a replica names another limit, or none any more";
    LimitUnreadable = 439, Warn, "what a replica says of its limit cannot be read: the one before holds";
    PermitUnanswered = 440, Info, "no gateway hands out the permits of a replica that names a limit";
    RestBegun = 441, Info, "a replica turned a request away and wants nothing from this gateway for a while";
    RestUnreadable = 442, Warn, "how long a replica wants nothing cannot be read: it gets requests as before";
    LeavingHeard = 443, Info, "a replica says in an answer that it leaves";
    FirstLookedAt = 444, Info, "the gateway that hands out a replica's permits is looked at by the one that stands in for it";
}

/// Logs an event with fields, each written as `key = value`.
#[macro_export]
macro_rules! emit {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let event: $crate::event::Event = $event;
        if ::log::log_enabled!(event.level()) {
            let number = event.number();
            ::log::logger().log(
                &::log::Record::builder()
                    .level(event.level())
                    .target(module_path!())
                    .args(format_args!("{}", event.text()))
                    .key_values(&[
                        ("event", ::log::kv::Value::from(number)),
                        $((stringify!($key), ::log::kv::Value::from_display(&$value)),)*
                    ])
                    .build(),
            );
        }
    }};
}
