//! Tests the charge of a request. The load is that of replicas that lose connections or stall:
//! callers need the tokens of requests that returned nothing for their next ones.

#![allow(missing_docs)]

use cypressfork_core::budget::{TokenUsage, prompt_charge};
use cypressfork_core::unit::Tokens;
use rstest::rstest;

/// Guards against charging requests that returned nothing, and against too small a charge for those
/// of which a part was received.
#[rstest]
#[case::nothing_received(0, 5, false, 0)]
#[case::complete_without_events(0, 0, true, 1_000)]
#[case::complete(10, 0, true, 1_030)]
#[case::cut_off(10, 2, false, 1_036)]
#[case::cut_off_at_an_unknown_event(1, u64::MAX, false, Tokens::MAX)]
fn a_request_is_charged_for_what_was_received(
    #[case] events: u64,
    #[case] unread: u64,
    #[case] is_complete: bool,
    #[case] charge: Tokens,
) {
    let usage = TokenUsage { prompt: 1_000, events, tokens_per_event: 3, unread, is_complete };
    assert_eq!(usage.charge(), charge);
}

/// Guards against charging the prompt of a resumed stream twice, and against requests that avoid its charge
/// although their callers have received nothing.
#[rstest]
#[case::a_new_request(None, 1_000)]
#[case::before_the_first_event(Some(0), 1_000)]
#[case::after_the_first_event(Some(1), 0)]
#[case::after_many_events(Some(40), 0)]
fn a_prompt_is_charged_until_its_caller_has_received_an_event(
    #[case] last_event: Option<u64>,
    #[case] charge: Tokens,
) {
    assert_eq!(prompt_charge(1_000, last_event), charge);
}
