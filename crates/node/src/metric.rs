//! The metrics that processes export: names, kinds, labels and descriptions.
//!
//! A test compares this table with `docs/METRICS.md`.

/// One metric.
pub struct Metric {
    /// The name, with its unit at the end.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// The label names, separated by commas; empty if it has none.
    pub labels: &'static str,
    /// The description.
    pub about: &'static str,
}

macro_rules! metrics {
    ($($ident:ident = $name:literal, $kind:literal, $labels:literal, $about:literal;)*) => {
        $(#[doc = $about] pub const $ident: &str = $name;)*

        /// All metrics.
        pub const ALL: &[Metric] = &[
            $(Metric { name: $name, kind: $kind, labels: $labels, about: $about },)*
        ];
    };
}

metrics! {
    REQUESTS = "cypressfork_requests_total", "counter", "code", "requests that ended, by result code; 0 for those answered";
    TOKENS = "cypressfork_tokens_total", "counter", "kind", "tokens charged, by kind: prompt or output";
    FIRST_TOKEN = "cypressfork_first_token_seconds", "histogram", "service", "time from sending a request to an engine until its first event";
    ACTIVE = "cypressfork_active_requests", "gauge", "", "requests in flight";
    RUNNING = "cypressfork_running_requests", "gauge", "service", "requests in progress that a service's limiter has admitted";
    WAITING = "cypressfork_waiting_requests", "gauge", "service", "requests queued at a service's limiter";
    USABLE = "cypressfork_usable_upstreams", "gauge", "service", "replicas that get new requests";
    VERSION = "cypressfork_configuration_version", "gauge", "", "version of the configuration in force";
    ATTEMPTS = "cypressfork_attempts_total", "counter", "end", "requests sent to replicas, by outcome";
    SENDS = "cypressfork_sends_total", "counter", "service, try", "requests sent to replicas, by try: the first, a further one, or a resend on a new connection";
    REPLICA_CONNECTIONS = "cypressfork_replica_connections_total", "counter", "way, end", "connections to replicas that a gateway tried to open, by way (direct or relayed by another gateway) and outcome: opened, refused, timed_out or failed";
    RELAYED = "cypressfork_relayed_connections", "gauge", "", "connections to replicas that a gateway relays for other gateways";
    RELAY_REQUESTS = "cypressfork_relay_requests_total", "counter", "end", "connections to replicas that other gateways requested from a gateway, by outcome: opened, refused, unreachable or declined";
    LOST_PATHS = "cypressfork_lost_paths", "gauge", "", "replicas that a gateway reaches only through other gateways";
    RETRIES_REFUSED = "cypressfork_retries_refused_total", "counter", "service", "retries refused because the fleet's retry budget was used up";
    TOKENS_WAIT = "cypressfork_tokens_wait_seconds", "histogram", "", "time that a request waited for its token reservation";
    ACCEPT_PAUSES = "cypressfork_closed_doors_total", "counter", "", "times that a gateway paused accepting connections because its link was full";
    LINK_USED = "cypressfork_link_used_ratio", "gauge", "", "fraction of a gateway's link capacity that requests and responses use";
    QUEUE_DELAY = "cypressfork_queue_pass_seconds", "histogram", "", "time that a task waits in a gateway's event loop, measured at each request";
    REPORT = "cypressfork_report_seconds", "histogram", "", "time until the control group accepted a report on spent tokens";
    LATE = "cypressfork_late_streams_total", "counter", "cause", "streams answered later than their routes' objectives, by the largest cause";
    BORROWED = "cypressfork_borrowed_tokens_total", "counter", "", "tokens that other gateways reserved for requests of this one";
    SERVED = "cypressfork_served_bytes_total", "counter", "way", "bytes received from and sent to callers, by direction";
    HELD_FOR_CALLERS = "cypressfork_held_for_callers_bytes", "gauge", "", "bytes of answers that a gateway holds for callers that read slowly";
    CALLERS_CUT = "cypressfork_callers_cut_total", "counter", "pace", "callers cut because too many bytes were held for all, by pace: stalled or slow";
    UNSHARED_PROMPTS = "cypressfork_untold_prompts_total", "counter", "", "long prompts not announced to other gateways because of the rate limit of announcements";
    EVACUATED = "cypressfork_evacuated_data_centres", "gauge", "", "data centres that an operator has evacuated";
    LOST_CONNECTIONS = "cypressfork_lost_connections_total", "counter", "replica", "connections to replicas lost with a request in flight, by whether the replica is alive";
    QUARANTINED = "cypressfork_quarantined_requests", "gauge", "", "requests and parts of prompts in quarantine: sent to no replica because they end the replicas that run them";
    QUARANTINE_CHANGES = "cypressfork_quarantine_changes_total", "counter", "change", "requests and parts of prompts that control processes quarantined or released, by reason";
    LIMITED = "cypressfork_limited_replicas", "gauge", "", "replicas with a rate limit, as far as this process has received reports";
    PERMITS = "cypressfork_permits_total", "counter", "end", "permits needed for requests to rate-limited replicas, by outcome";
    PERMITS_GIVEN = "cypressfork_permits_given_total", "counter", "", "permits issued by a gateway, those for itself included";
    BACKOFFS = "cypressfork_rests_total", "counter", "service", "times that a replica rejected a request and asked for a backoff";
    BACKING_OFF = "cypressfork_resting_replicas", "gauge", "", "replicas that this gateway backs off from";
    SENT_IN_BACKOFF = "cypressfork_sent_in_rest_total", "counter", "try", "requests sent to a replica during its backoff, by try: the first, a further one, or a resend on a new connection";
    SENT_TO_LEAVING = "cypressfork_sent_to_leaving_total", "counter", "try", "requests sent to a replica after it reported in a response that it is draining, by try";
    STREAMS_NOT_RESUMED = "cypressfork_streams_not_resumed_total", "counter", "reason", "streams that callers could not resume, by reason";
    INTERIM_RESPONSES = "cypressfork_interim_responses_total", "counter", "", "interim responses (1xx) of upstreams, which are skipped";
    FOREIGN_RESPONSES = "cypressfork_foreign_responses_total", "counter", "kind", "responses of replicas that were skipped: to another request (other_request) or without an id (no_id)";
    SURPLUS = "cypressfork_surplus_total", "counter", "", "times that bytes which are no response to the current request arrived on a kept connection to a replica";
    STREAMS_RESUMED = "cypressfork_streams_resumed_total", "counter", "ground", "streams that callers resumed, by what shows where they began: this gateway (own), another one (keeper) or the only version of the service (single_version)";
    ORIGINS_DROPPED = "cypressfork_stream_origins_dropped_total", "counter", "", "origins of streams that a gateway did not store because it had no room";
    ROLLOUT_ANSWERS = "cypressfork_rollout_answers_total", "counter", "service, version", "responses of the old and the new version of a service during a rollout, failures included";
    ROLLOUT_BAD = "cypressfork_rollout_bad_total", "counter", "service", "failures of the new version of a service during a rollout";
    CALLS_REFUSED = "cypressfork_calls_refused_total", "counter", "code", "calls of operators, replicas and callers that a control process refused, by result code";
    UNKNOWN_SERVICES = "cypressfork_unnamed_services_total", "counter", "", "heartbeats of services that no document names";
    IS_LEADER = "cypressfork_group_leads", "gauge", "", "1 while this member of the control group is the leader";
    TERM = "cypressfork_group_term", "gauge", "", "term of the control group";
    WITHOUT_LEADER = "cypressfork_group_without_leader_milliseconds_total", "counter", "", "time during which this control process knew no leader of its group";
    INPUTS = "cypressfork_inputs_total", "counter", "kind", "units of work of a control process's event loop, by kind: Raft messages (log), commands and queries, watch requests, responses of other processes (seen), calls over HTTP, periodic tasks, passes of storing and applying log entries, passes of answering";
    LOOP_TIME = "cypressfork_loop_time_microseconds_total", "counter", "kind", "time that a control process's event loop spent on each kind of work";
    DOCUMENT_LAG = "cypressfork_document_in_force_seconds", "histogram", "", "time from the commit of a document, as one control process applied it, until a router reported to it that the document is in force there";
    ROUTERS_BEHIND = "cypressfork_routers_behind", "gauge", "", "routers with a recent heartbeat in which the newest document is not in force";
    TICK = "cypressfork_tick_seconds", "histogram", "", "time between two ticks of a control process's event loop";
    COMMITTED = "cypressfork_group_committed", "gauge", "", "index of the last committed log entry";
    COMMIT = "cypressfork_commit_seconds", "histogram", "", "time from a proposal at the leader to its commit";
    SYNC = "cypressfork_sync_seconds", "histogram", "", "duration of a sync of the log to disk";
    HELD_RESPONSES = "cypressfork_held_response_bytes", "gauge", "", "bytes that a gateway holds of responses that it has not received in full";
    HELD_FOR_REQUESTS = "cypressfork_held_for_requests_bytes", "gauge", "", "memory that a process uses for requests of clients that are being received or served";
    CLIENTS_CLOSED = "cypressfork_clients_closed_total", "counter", "reason", "connections of clients that were closed to make room for others, by reason: too many connections or too little memory; refused: the new connection or request itself";
    RESPONSES_GIVEN_UP = "cypressfork_responses_given_up_total", "counter", "", "responses that a gateway gave up because they held the most memory and there was too little";
    LINK_SENT = "cypressfork_link_sent_bytes_total", "counter", "purpose", "bytes sent to other processes of the system, by purpose of the last call on the link";
    WATCH_REQUESTS = "cypressfork_watch_questions_total", "counter", "", "watch requests sent to control processes";
    REPLIES_DROPPED = "cypressfork_replies_dropped_total", "counter", "", "responses of a control process dropped because the receiver reads too slowly";
    SILENT_LINKS = "cypressfork_silent_links_total", "counter", "", "links to other members of the control group that were given up because the member no longer answered";
    LINK_RECEIVED = "cypressfork_link_received_bytes_total", "counter", "purpose", "bytes received from other processes of the system, by purpose of the last call on the link";
}
