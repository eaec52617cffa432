//! Tests of the codec, the framing and the handshake, with malformed input and unauthenticated peers.

use std::sync::Arc;

use cypressfork_core::raft::{
    Append, Body, Entry, Members, Message, Payload, PeerState, Position, SnapshotChunk,
    SnapshotMeta,
};
use cypressfork_wire::auth::{Handshake, Key, NONCE_LEN, Opener, Sealer, Side};
use cypressfork_wire::frame::{MAX_FRAME, MAX_HANDSHAKE_FRAME, add_length_prefix, parse_length};
use cypressfork_wire::{Error, Frame, decode, encode, from_raft, into_raft};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

fn members() -> Members {
    Members::from_voters([(1, "10.0.0.1:1".to_owned()), (u64::MAX, "10.0.0.2:1".to_owned())])
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry { term: 3, index, payload }
}

fn snapshot_chunk() -> SnapshotChunk {
    let meta = SnapshotMeta { index: 9, term: 2, members: members() };
    SnapshotChunk { meta, offset: 4, bytes: Arc::from(&b"state"[..]), last: true }
}

#[rstest]
#[case(Body::PreVote(Position { index: 7, term: 2 }))]
#[case(Body::PreVoteReply(true))]
#[case(Body::Vote(Position { index: u64::MAX, term: 2 }))]
#[case(Body::VoteReply(false))]
#[case(Body::Append(Append {
    prev: Position { index: 7, term: 2 },
    entries: vec![
        entry(8, Payload::Noop),
        entry(9, Payload::Command(Arc::from(&b"command"[..]))),
        entry(10, Payload::Members(members())),
    ],
    commit: 6,
    round: 5,
}))]
#[case(Body::Appended { matched: 9, round: 5 })]
#[case(Body::Rejected { hint: 3, round: 5 })]
#[case(Body::Snapshot(snapshot_chunk()))]
#[case(Body::SnapshotReply { index: 9, offset: 4, done: false })]
#[case(Body::TimeoutNow)]
#[case(Body::Rejoin(PeerState { incarnation: 4, boot: u64::MAX, term: 3, last: 9 }))]
#[case(Body::RejoinReply { boot: 7, accepted: false })]
fn a_raft_message_comes_back_as_it_was(#[case] body: Body) {
    let m = Message { from: 1, to: u64::MAX, term: 3, body };
    let bytes = encode(&Frame::Raft(from_raft(&m, "10.0.0.1:1")));
    let Frame::Raft(back) = decode(&bytes).unwrap() else { panic!() };
    assert_eq!(into_raft(back).unwrap(), m);
}

/// Fixed seed, so that every run has the same cases.
const SEED: [u8; 32] = *b"cypressfork wire garbage seed 01";

#[test]
fn garbage_is_an_error_and_no_more() {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let valid = encode(&Frame::Raft(from_raft(
        &Message { from: 1, to: 2, term: 3, body: Body::Snapshot(snapshot_chunk()) },
        "10.0.0.1:1",
    )));
    let noise = prop::collection::vec(any::<u8>(), 0..200);
    let edits = prop::collection::vec((any::<usize>(), any::<u8>()), 0..6);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(noise, edits, any::<bool>()), |(noise, edits, mutate)| {
        let mut bytes = if mutate { valid.clone() } else { noise };
        for (at, b) in edits {
            if !bytes.is_empty() {
                let n = bytes.len();
                bytes[at % n] = b;
            }
        }
        // Any input must give a message or an error, without a panic or a huge allocation.
        if let Ok(Frame::Raft(m)) = decode(&bytes) {
            let _ = into_raft(m);
        }
        Ok(())
    });
    result.unwrap();
}

/// A claimed length must not cause an allocation before its bytes have arrived.
#[rstest]
#[case::list(&[0x5c, 0x1c, 0x19, 0xfc, 0xff, 0xff, 0xff, 0xff, 0x07])]
#[case::text(&[0x1c, 0x15, 0x02, 0x18, 0xff, 0xff, 0xff, 0xff, 0x07, 0x41])]
fn a_claimed_size_beyond_the_input_is_an_error(#[case] bytes: &[u8]) {
    assert!(decode(bytes).is_err());
}

#[test]
fn a_length_over_the_cap_is_refused_before_anything_is_read() {
    let head = (MAX_HANDSHAKE_FRAME as u32 + 1).to_be_bytes();
    assert!(matches!(parse_length(head, MAX_HANDSHAKE_FRAME), Err(Error::TooLarge(..))));
    assert!(parse_length(head, MAX_FRAME).is_ok());
    assert_eq!(add_length_prefix(b"abc"), [0, 0, 0, 3, b'a', b'b', b'c']);
}

fn handshake(side: Side, key: &str, cluster: &str, nonce: u8) -> Handshake {
    Handshake::new(Key::new(key.as_bytes()), side, cluster, "entry-1", [nonce; NONCE_LEN])
}

const KEY: &str = "0123456789abcdef0123456789abcdef";

fn open_link() -> ((Sealer, Opener), (Sealer, Opener)) {
    let (mut a, mut b) =
        (handshake(Side::Client, KEY, "c", 1), handshake(Side::Server, KEY, "c", 2));
    let (ha, hb) = (a.hello(), b.hello());
    let (pa, pb) = (a.on_hello(&hb).unwrap(), b.on_hello(&ha).unwrap());
    let (name, sa, oa) = a.on_proof(&pb).unwrap();
    let (_, sb, ob) = b.on_proof(&pa).unwrap();
    assert_eq!(name, "entry-1");
    ((sa, oa), (sb, ob))
}

#[test]
fn an_open_link_carries_frames_in_both_directions() {
    let ((mut sa, mut oa), (mut sb, mut ob)) = open_link();
    for n in 0..3u8 {
        assert_eq!(ob.open(&sa.seal(vec![n])).unwrap(), [n]);
        assert_eq!(oa.open(&sb.seal(vec![n, n])).unwrap(), [n, n]);
    }
}

#[rstest]
#[case::changed("changed")]
#[case::replayed("replayed")]
#[case::dropped("dropped")]
#[case::reflected("reflected")]
#[case::short("short")]
fn a_frame_that_was_tampered_with_is_refused(#[case] how: &str) {
    let ((mut sa, mut oa), (_, mut ob)) = open_link();
    let first = sa.seal(b"grant".to_vec());
    let second = sa.seal(b"claim".to_vec());
    let result = match how {
        "changed" => {
            let mut f = first.clone();
            f[0] ^= 1;
            ob.open(&f).map(<[u8]>::to_vec)
        }
        "replayed" => {
            ob.open(&first).unwrap();
            ob.open(&first).map(<[u8]>::to_vec)
        }
        "dropped" => ob.open(&second).map(<[u8]>::to_vec),
        "reflected" => oa.open(&first).map(<[u8]>::to_vec),
        _ => ob.open(&first[..7]).map(<[u8]>::to_vec),
    };
    assert_eq!(result, Err(Error::Forged));
}

#[test]
fn an_unauthenticated_peer_is_rejected_with_the_reason() {
    let mut b = handshake(Side::Server, KEY, "c", 2);
    let wrong_cluster = handshake(Side::Client, KEY, "d", 1).hello();
    assert_eq!(b.on_hello(&wrong_cluster), Err(Error::WrongCluster("d".into())));
    assert!(matches!(b.on_hello(b"GET / HTTP/1.1"), Err(Error::Malformed(_))));
    let mirrored = b.hello();
    assert_eq!(b.on_hello(&mirrored), Err(Error::Forged), "its own hello sent back");
    let mut a = handshake(Side::Client, "another key, also 32 bytes long.", "c", 1);
    let (ha, hb) = (a.hello(), b.hello());
    let pa = a.on_hello(&hb).unwrap();
    b.on_hello(&ha).unwrap();
    assert!(matches!(b.on_proof(&pa), Err(Error::Forged)));
}

/// Reflection attack: a proof that is sent back to its own sender must be rejected.
#[test]
fn a_proof_of_one_side_is_none_of_the_other() {
    let (mut a, mut b) =
        (handshake(Side::Client, KEY, "c", 1), handshake(Side::Server, KEY, "c", 2));
    let (ha, hb) = (a.hello(), b.hello());
    a.on_hello(&hb).unwrap();
    let pb = b.on_hello(&ha).unwrap();
    assert!(matches!(b.on_proof(&pb), Err(Error::Forged)));
}
