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
    TOKENS = "cypressfork_tokens_total", "counter", "kind", "tokens charged, prompt and output";
    FIRST_TOKEN = "cypressfork_first_token_seconds", "histogram", "service", "time from dispatch to an engine's first event";
    ACTIVE = "cypressfork_active_requests", "gauge", "", "requests under way";
    RUNNING = "cypressfork_running_requests", "gauge", "service", "requests let in at a service's limiter";
    WAITING = "cypressfork_waiting_requests", "gauge", "service", "requests that wait at a service's limiter";
    USABLE = "cypressfork_usable_upstreams", "gauge", "service", "replicas that get new work";
    VERSION = "cypressfork_configuration_version", "gauge", "", "the configuration in force";
    ATTEMPTS = "cypressfork_attempts_total", "counter", "end", "requests sent to replicas, by how that ended";
    RETRIES_REFUSED = "cypressfork_retries_refused_total", "counter", "service", "retries that the fleet's budget of retries did not allow";
    TOKENS_WAIT = "cypressfork_tokens_wait_seconds", "histogram", "", "time that a request waited for its tokens";
    DOOR_CLOSED = "cypressfork_closed_doors_total", "counter", "", "times that a gateway took no connection for a moment, as its link was full";
    LINK_USED = "cypressfork_link_used_ratio", "gauge", "", "the part of a gateway's link that requests and answers fill";
    PASS = "cypressfork_queue_pass_seconds", "histogram", "", "time that a gateway's work waits in its own queue, measured at each request";
    REPORT = "cypressfork_report_seconds", "histogram", "", "time until the control group had taken a report of what was spent";
    LATE = "cypressfork_late_streams_total", "counter", "cause", "streams answered later than their routes aim at, by the largest cause";
    BORROWED = "cypressfork_borrowed_tokens_total", "counter", "", "tokens that other gateways set aside for requests of this one";
    SERVED = "cypressfork_served_bytes_total", "counter", "way", "bytes from and to callers";
    UNTOLD = "cypressfork_untold_prompts_total", "counter", "", "long prompts that other gateways were not told of, as there were too many";
    EVACUATED = "cypressfork_evacuated_data_centres", "gauge", "", "data centres that get no new work by an operator's order";
    LOST_CONNECTIONS = "cypressfork_lost_connections_total", "counter", "replica", "connections to replicas that ended with a request under way, by whether the replica lives";
    QUARANTINED = "cypressfork_quarantined_requests", "gauge", "", "requests that are sent to no replica, as they end those that run them";
    LIMITED = "cypressfork_limited_replicas", "gauge", "", "replicas that name a limit, as far as this process knows";
    PERMITS = "cypressfork_permits_total", "counter", "end", "permits that a gateway wanted for requests to replicas that name a limit, by what became of that";
    PERMITS_GIVEN = "cypressfork_permits_given_total", "counter", "", "permits that a gateway handed out, its own included";
    RESTS = "cypressfork_rests_total", "counter", "service", "times that a replica turned a request away and asked for rest";
    RESTING = "cypressfork_resting_replicas", "gauge", "", "replicas that want nothing from this gateway for now";
    SENT_IN_REST = "cypressfork_sent_in_rest_total", "counter", "try", "requests sent to a replica during its rest: the first try of one, a further one, or the same again on a new connection";
    SENT_TO_LEAVING = "cypressfork_sent_to_leaving_total", "counter", "try", "requests sent to a replica after it had said in an answer that it leaves, by the same";
    ROLLOUT_ANSWERS = "cypressfork_rollout_answers_total", "counter", "service, version", "answers of the old and the new version of a service during a roll-out, failures among them";
    ROLLOUT_BAD = "cypressfork_rollout_bad_total", "counter", "service", "failures of the new version of a service during a roll-out";
    CALLS_REFUSED = "cypressfork_calls_refused_total", "counter", "code", "calls of operators, replicas and callers that a control process refused, by result code";
    UNNAMED = "cypressfork_unnamed_services_total", "counter", "", "heartbeats of services that no document names";
    LEADS = "cypressfork_group_leads", "gauge", "", "1 while this replica of the control group leads";
    TERM = "cypressfork_group_term", "gauge", "", "the control group's term";
    WITHOUT_LEADER = "cypressfork_group_without_leader_milliseconds_total", "counter", "", "time for which this control process has known no leader of its group";
    INPUTS = "cypressfork_inputs_total", "counter", "kind", "what came to a control process: messages of the log, commands and queries, standing questions, answers of others, calls over HTTP";
    TICK = "cypressfork_tick_seconds", "histogram", "", "time between two ticks of a control process: how long it may hear nobody";
    COMMITTED = "cypressfork_group_committed", "gauge", "", "position of the last committed entry";
    COMMIT = "cypressfork_commit_seconds", "histogram", "", "time from a proposal at the leader to its commit";
    SYNC = "cypressfork_sync_seconds", "histogram", "", "time of one sync of the log";
    LINK_SENT = "cypressfork_link_sent_bytes_total", "counter", "purpose", "bytes sent to other processes of the system, by what the last call on the link was for";
    QUESTIONS = "cypressfork_watch_questions_total", "counter", "", "standing questions put to control processes";
    REPLIES_DROPPED = "cypressfork_replies_dropped_total", "counter", "", "answers of a control process that were dropped because the asker reads too slowly";
    LINK_RECEIVED = "cypressfork_link_received_bytes_total", "counter", "purpose", "bytes received from other processes of the system, by what the last call on the link was for";
}
