//! The bound on what a gateway holds of responses that it has not received in full.

use cypressfork_core::fleet::response_buffer::{MAX_BODY_BYTES, ResponseBuffers, bound};
use rstest::rstest;

/// Guards against responses without end that fill the memory together, each of them below its own maximum.
#[test]
fn the_response_that_holds_most_is_given_up_first() {
    let mut b = ResponseBuffers::new(1_000);
    let ids: Vec<_> = (0..3).map(|_| b.register()).collect();
    b.record(ids[0], 300);
    b.record(ids[1], 400);
    b.record(ids[2], 300);
    assert_eq!(b.next_rejected(), None);
    b.record(ids[0], 600);
    assert_eq!(b.next_rejected(), Some(ids[0]));
    assert_eq!((b.next_rejected(), b.total()), (None, 700));
}

/// Guards against bytes that count although their response has ended.
#[test]
fn a_response_that_has_ended_holds_nothing() {
    let mut b = ResponseBuffers::new(1_000);
    let id = b.register();
    b.record(id, 900);
    b.record(id, 500);
    b.record(id, 0);
    b.record(id, 0);
    assert_eq!(b.total(), 0);
}

/// Guards against a bound in which no single response of the maximum size fits.
#[rstest]
#[case::little_memory(16 << 20, MAX_BODY_BYTES)]
#[case::much_memory(512 << 20, 32 << 20)]
fn a_single_response_fits(#[case] memory: u64, #[case] expected: u64) {
    assert_eq!(bound(memory), expected);
}
