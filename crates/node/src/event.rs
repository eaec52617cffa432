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

            /// Returns the event number, which log lines show as `CFEnnn` or in the field `event`.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $num,)* }
            }

            /// Returns the log level.
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)* }
            }

            /// Returns the text of the log line, without its fields.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    Started = 101, Info, "the process serves";
    Stopping = 102, Info, "a signal requested a planned stop";
    Stopped = 103, Info, "the process ends";
    StartFailed = 104, Error, "the process cannot start or continue";
    Panicked = 106, Error, "a task panicked; the request that it served is lost";
    LinesDropped = 107, Warn, "log lines were dropped because the reader was too slow";
    BootClockUnavailable = 108, Warn, "this system has no clock that counts suspensions; the monotonic clock is used";
    StopRepeated = 109, Info, "a signal requested a stop that is in progress";
    LinkOpened = 201, Debug, "a link to a peer is open";
    LinkClosed = 202, Debug, "a link to a peer has closed";
    LinkRefused = 203, Warn, "a link from a peer was refused";
    LinkFailed = 204, Debug, "a peer could not be reached";
    LinkSlow = 205, Warn, "a peer reads too slowly; its link is closed";
    MessageInvalid = 206, Warn, "a message could not be decoded";
    LinkSilent = 207, Warn, "a peer no longer answers on a link; another one is opened";
    ReplyUnread = 208, Debug, "a link ended before the answer to a call on it";
    LeaderGained = 301, Info, "this member became the leader";
    LeaderLost = 302, Info, "this member is no longer the leader";
    FolderOutdated = 303, Error, "the data folder is an old copy; this process takes no part in the group";
    DiskFailed = 304, Error, "the disk failed; this process takes no part in the group";
    SnapshotSaved = 305, Info, "a snapshot was saved and the log compacted";
    SnapshotInstalled = 306, Info, "a snapshot from the leader was installed";
    GroupFounded = 307, Info, "the group was founded by the named members";
    MembersChanged = 308, Info, "the members of the group changed";
    RouterExpired = 309, Warn, "a router stopped sending heartbeats; the outcome of its open claims is unknown";
    ConfigApplied = 310, Info, "a configuration took effect";
    ConfigRefused = 311, Info, "a configuration was rejected";
    ReserveRegistered = 312, Info, "the reserve of this data centre is registered with the group";
    ReserveFailed = 313, Error, "the disk of this data centre's reserve failed; the reserve is closed";
    DocumentPublished = 314, Info, "a document was committed";
    DocumentApplied = 315, Info, "a newer document took effect in this process";
    CallRefused = 316, Info, "a call of an operator, a replica or a caller was refused";
    ReplicaChanged = 317, Info, "a replica registered, changed, stopped sending heartbeats or left";
    RepairStarted = 318, Info, "the leader started a membership change to repair the group";
    JoinAnnounced = 319, Info, "this process belongs to no group and announced itself";
    HolderWrittenOff = 320, Info, "a dead holder was written off; the tokens that it cannot have spent are free";
    BudgetInsufficient = 321, Info, "a lease request was refused because the budget has too few tokens";
    DiskRecovered = 322, Info, "the disk is writable again; this process takes part in the group again";
    DocumentAnnounced = 323, Info, "a control process reported a newer document";
    DocumentRequested = 324, Info, "a newer document was requested";
    DocumentTimedOut = 325, Info, "a control process did not send a document in time";
    FolderSetAside = 326, Warn, "an old copy of a data folder was set aside; the next start joins as a new member";
    DataCentreEvacuated = 327, Info, "an order to evacuate a data centre, or to end its evacuation, took effect";
    QuarantineChanged = 328, Info, "a request was quarantined, or its quarantine changed";
    ServiceUnknown = 329, Info, "a replica of a service that no document names was ignored";
    RolloutChanged = 330, Info, "a rollout was ordered, moved to another stage or was aborted";
    LoopStalled = 331, Warn, "the event loop was blocked for a while";
    LeaderKnown = 332, Info, "a leader of the group is known again";
    LoopWork = 333, Info, "what the event loop spent its time on in the last seconds";
    DocumentStored = 334, Info, "a control process applied a newer document and can send it to routers";
    DocumentInForce = 335, Info, "a document is in force at all routers that a control process hears from";
    DepartureCommitted = 336, Info, "the group committed that a replica drains or has left";
    CallsForeign = 337, Warn, "a listener got calls that it does not take";
    RouterRegistered = 401, Info, "this router registered with the control group";
    RouterReady = 402, Info, "this router is ready to serve callers";
    ControlUnreachable = 403, Warn, "the control group is out of reach";
    ControlReachable = 404, Info, "the control group is in reach again";
    RequestRefused = 405, Debug, "a request is refused";
    UpstreamFailed = 406, Warn, "an upstream failed";
    OutputLimitExceeded = 407, Warn, "an engine sent more tokens than were requested; the stream was cut";
    UpstreamMiscounted = 408, Warn, "an engine's token count does not match its output";
    UpstreamEjected = 409, Warn, "an upstream was ejected for a while";
    DrainWaiting = 411, Info, "a planned stop is waiting";
    SlicesReturned = 412, Info, "all slices were returned";
    ReserveUsed = 414, Warn, "the control group is out of reach; the data centre's reserve is used";
    RequestDone = 415, Debug, "a request was answered";
    PlatformUnavailable = 416, Warn, "the platform's list of VMs is unavailable; the last one stays in use";
    UpstreamLeaving = 417, Info, "a VM is leaving; its upstreams get no new requests";
    UpstreamNotLeaving = 418, Info, "a VM is no longer leaving; its upstreams get new requests again";
    AttemptEnded = 419, Debug, "an attempt at a replica ended";
    RequestFailed = 420, Info, "a request is refused or fails";
    SettingsReloaded = 421, Info, "the settings were read anew";
    SettingsReloadFailed = 422, Warn, "the settings could not be reloaded; the previous ones stay in force";
    TokensBorrowed = 423, Info, "another gateway reserved tokens for a request";
    StreamLate = 424, Info, "a stream was answered later than its route's objective";
    RoutersChanged = 425, Info, "the list of this data centre's gateways changed";
    HomeUnreachable = 426, Info, "a gateway that holds tokens of a budget did not respond";
    EvacuationListChanged = 427, Info, "the list of evacuated data centres changed";
    ReplicasChanged = 428, Info, "several replicas registered, changed, stopped sending heartbeats or left";
    ReplicaReplaced = 429, Info, "another replica responds at a replica's address";
    ReplicaEnded = 430, Info, "a replica ended while a request to it was in flight";
    QuarantineListChanged = 431, Info, "the list of quarantined requests changed";
    TerminationsUnreported = 432, Warn, "a report on ended replicas did not reach the control group";
    RolloutStageChanged = 433, Info, "a rollout reached another stage";
    RolloutStopped = 434, Warn, "this gateway stopped sending requests to a rollout's new version because of a fault that it observed";
    GatewayOverloaded = 435, Warn, "the gateway is overloaded";
    LinkSaturated = 436, Warn, "the gateway's network link is full; it pauses accepting connections";
    ListenFailed = 437, Warn, "could not listen on an address";
    LimitChanged = 438, Info, "a replica set, changed or removed its rate limit";
    LimitInvalid = 439, Warn, "a replica sent an invalid rate limit; the previous one stays in force";
    PermitUnanswered = 440, Info, "no gateway answered a request for permits of a rate-limited replica";
    BackoffStarted = 441, Info, "a replica rejected a request and asked this gateway to back off";
    RetryAfterInvalid = 442, Warn, "a replica sent an invalid retry delay; it still gets requests";
    DrainingReported = 443, Info, "a replica reported in a response that it is draining";
    IssuerProbed = 444, Info, "the gateway that issues a replica's permits was probed by its standby";
    BudgetWrittenOff = 445, Info, "the tokens of a dead holder in one budget: those counted as spent and those freed";
    RetrySent = 446, Info, "a request was sent to a replica again";
    RetryBudgetTooSmall = 447, Warn, "the retry budget is too small for the number of gateways; no request is retried";
    RequestsEnded = 448, Info, "requests that ended, and connections to replicas, in the last seconds";
    PathLost = 449, Warn, "the direct path to a replica is lost; another gateway relays connections to it";
    PathRestored = 450, Info, "the direct path to a replica works again";
    RejectionsLimited = 451, Info, "a replica that bears few rejections rejected a request; this gateway and its peers back off";
    StreamContinued = 452, Info, "a stream continues at a replica after events that its caller has received";
    StreamNotResumed = 453, Info, "a stream is not resumed, because its origin is unknown or takes no requests";
    ForeignResponse = 454, Warn, "a replica sent a response to another request, which was skipped";
    CallerCut = 465, Warn, "a caller was cut because too many bytes are held for slow callers";
    ClientsClosed = 466, Warn, "connections of clients were closed to make room for others";
    DrainEnded = 467, Info, "a planned stop no longer waits for requests";
}

/// Logs an event at its level, with fields written as `key = value`.
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
