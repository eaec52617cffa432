//! The numbered result codes returned to callers and operators.
//!
//! `docs/RESULT-CODES.md` lists them; a test compares the page with this table.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request reached an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of it reached an upstream.
    No,
    /// An upstream ran it.
    Yes,
    /// It may have run; at most once if it is marked not repeatable.
    Unknown,
}

impl Ran {
    /// Returns the value used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $num:literal, $status:literal, $kind:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $(#[doc = $text] $(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $num,)* }
            }

            /// Returns the HTTP status of responses with this code; 0 if it is not sent over HTTP.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the `type` of the error body, as language-model clients expect it.
            pub fn kind(self) -> &'static str {
                match self { $(Code::$name => $kind,)* }
            }

            /// Returns the description of the code.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    KeyMissing = 1001, 401, "authentication_error", "no bearer key was sent";
    KeyUnknown = 1002, 401, "authentication_error", "the bearer key is not known";
    AccountClosed = 1003, 403, "permission_error", "the client account is closed";
    ServiceForbidden = 1004, 403, "permission_error", "the client account may not use this service";
    MethodWrong = 1101, 405, "invalid_request_error", "the path does not take this method";
    PathUnknown = 1102, 404, "invalid_request_error", "no service has this path";
    BodyNotJson = 1103, 400, "invalid_request_error", "the body is not a JSON object of the expected shape";
    BodyTooLarge = 1104, 413, "invalid_request_error", "the body is larger than the cap";
    HeadTooLarge = 1105, 431, "invalid_request_error", "the headers are larger than the cap";
    ModelUnknown = 1106, 404, "invalid_request_error", "no service serves this model";
    BodyCut = 1107, 408, "invalid_request_error", "the body did not arrive whole in time";
    HeaderBad = 1108, 400, "invalid_request_error", "a header has a value that cannot be used";
    IdMissing = 1109, 400, "invalid_request_error", "a request marked not repeatable needs an Idempotency-Key";
    RouteUnknown = 1110, 404, "invalid_request_error", "no route has this host and path";
    RequestBad = 1111, 400, "invalid_request_error", "the request cannot be read";
    CallForeign = 1112, 404, "invalid_request_error", "this address does not take this call";
    BudgetSpent = 1201, 429, "insufficient_quota", "the budget has too little left for this request";
    BudgetBusy = 1202, 429, "rate_limit_error", "the budget's tokens are being called back from elsewhere";
    BudgetUnreachable = 1203, 503, "rate_limit_error", "this site's share of the budget is used up and the control group is not in reach";
    BudgetNone = 1204, 403, "insufficient_quota", "the client account has no budget for this service";
    BudgetTooSmall = 1205, 402, "insufficient_quota", "the rest of the prepaid budget does not hold this request";
    Overloaded = 1301, 503, "rate_limit_error", "the service is overloaded and this request was worth least";
    DeadlinePassed = 1302, 504, "rate_limit_error", "the deadline cannot be met";
    NoUpstream = 1303, 503, "server_error", "no upstream of the service is in reach";
    NotReady = 1305, 503, "server_error", "this router has not confirmed its configuration yet";
    UpstreamFailed = 1306, 502, "server_error", "the upstream failed before its answer was whole";
    UpstreamLate = 1307, 504, "server_error", "the time limit passed before the upstream's answer was whole";
    RetriesSpent = 1308, 503, "server_error", "the upstream did not run it and no retry is left";
    Quarantined = 1309, 503, "server_error", "this request has ended the upstreams that ran it, and is sent to none for now";
    NoRegion = 1310, 503, "server_error", "no upstream is in reach in a region that may serve this request";
    LimitReached = 1311, 503, "rate_limit_error", "the upstreams that could run it take no more requests for now";
    UpstreamsResting = 1312, 503, "rate_limit_error", "the upstreams that could run it have asked for rest";
    OriginUnknown = 1313, 503, "server_error", "it is not known at which version of its upstreams this stream began";
    VersionGone = 1314, 503, "server_error", "no upstream of the version at which this stream began takes requests";
    Stopping = 1315, 503, "server_error", "this process stops; another one may serve the request at once";
    ClaimUnreachable = 1401, 503, "server_error", "the request is marked not repeatable and the control group is not in reach to claim it";
    ClaimRunning = 1402, 409, "conflict_error", "a request with this id is running";
    ClaimUnknown = 1403, 409, "conflict_error", "a request with this id was started and its outcome is not known; it ran at most once";
    ClaimOtherBody = 1404, 422, "invalid_request_error", "this id was used with another body";
    ClaimExpired = 1405, 409, "conflict_error", "the outcome of this id is no longer kept; it is not run again";
    VersionStale = 2001, 0, "conflict", "the change was made from an older version than the one in force";
    TemplateUnknown = 2002, 0, "invalid", "no template has this name";
    ParameterUnknown = 2003, 0, "invalid", "the template has no such parameter";
    ParameterMissing = 2004, 0, "invalid", "a parameter without a default was not given";
    ParameterBad = 2005, 0, "invalid", "a parameter's value is not of its kind or out of its range";
    ObjectBad = 2006, 0, "invalid", "a rendered object is not valid";
    ObjectClash = 2007, 0, "invalid", "two applications render an object of the same name";
    BudgetUnknown = 2009, 0, "invalid", "no budget has this name";
    BudgetBelowSpent = 2010, 0, "invalid", "the budget would be smaller than what is spent already";
    OperationReused = 2011, 0, "conflict", "the operation id was used for another change";
    DocumentBad = 2012, 400, "invalid", "the document cannot be in force";
    DataCentreUnknown = 2013, 404, "invalid", "no data centre has this name";
    BodyUnexpected = 2014, 400, "invalid", "this call takes no body";
    RegistrationBad = 2015, 400, "invalid", "what a replica says of itself cannot be true";
    RolloutBad = 2016, 422, "invalid", "a roll-out needs a service that is known, a version, and a time of up to a day";
    RolloutUnderWay = 2017, 409, "conflict", "another roll-out of this service is under way";
    RolloutUnknown = 2018, 404, "invalid", "this service has had no roll-out";
    RolloutOver = 2019, 409, "conflict", "the roll-out is completed: its old replicas may have stopped";
    LeaseUnknown = 2101, 0, "conflict", "the lease is not known to the ledger";
    HolderStale = 2102, 0, "conflict", "the holder's registration has been replaced";
    ReserveNone = 2103, 0, "invalid", "this process keeps no reserve";
    NotLeader = 2201, 0, "unavailable", "this replica does not lead";
    NoQuorum = 2202, 0, "unavailable", "no quorum answered in time";
    MemberChangeBusy = 2203, 0, "conflict", "another change of members is in progress";
    MemberBad = 2204, 0, "invalid", "the change of members is not possible now";
    QueueFull = 2205, 0, "unavailable", "too many commands wait for the log";
    LinkRefused = 2301, 0, "unavailable", "the peer is not of this cluster or speaks another version";
    LinkBroken = 2302, 0, "unavailable", "the link to the peer broke before the answer";
    MessageBad = 2303, 0, "invalid", "a message could not be decoded";
    SettingsUnreadable = 3001, 0, "invalid", "the settings file cannot be read";
    SettingsSyntax = 3002, 0, "invalid", "the settings file is not YAML of the expected shape";
    SettingsValue = 3003, 0, "invalid", "a setting has a value that cannot be used";
    SecretExposed = 3004, 0, "invalid", "a file with a secret can be read by others";
    AddressTaken = 3005, 0, "unavailable", "the address cannot be listened on";
    UsageBad = 3006, 0, "invalid", "the command line cannot be understood";
    FolderInUse = 3101, 0, "conflict", "another process uses the data folder";
    FolderForeign = 3102, 0, "conflict", "the data folder belongs to another replica or cluster";
    LogDamaged = 3103, 0, "invalid", "the log is damaged before its end";
    SnapshotDamaged = 3104, 0, "invalid", "a snapshot is damaged";
    DiskFailed = 3105, 0, "unavailable", "the disk could not store or sync data";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "CF{}: {}", self.number(), self.text())
    }
}

impl std::error::Error for Code {}
