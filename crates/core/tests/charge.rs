//! What requests are charged, by how they ended.

use cypressfork_core::fleet::charge::Spent;
use rstest::rstest;

/// Whether a replica may have run it, events that came, whether the answer was whole, and the charge
/// for a prompt of 6,000 tokens where an event holds 5.
#[rstest]
#[case::no_replica_had_it(false, 0, false, 0)]
#[case::answered(true, 24, true, 6_120)]
#[case::answered_without_an_event(true, 0, true, 6_000)]
#[case::broken_off_after_some_events(true, 7, false, 6_045)]
#[case::broken_off_after_the_first(true, 1, false, 6_015)]
#[case::nothing_of_its_answer_came(true, 0, false, 0)]
fn an_account_pays_for_what_it_gets(
    #[case] ran: bool,
    #[case] events: u64,
    #[case] whole: bool,
    #[case] charge: u64,
) {
    let s = Spent { ran, events, stride: 5, whole };
    assert_eq!(s.charge(6_000), charge);
}
