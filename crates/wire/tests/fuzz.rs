//! Fuzz tests of the decoders for call bodies and compressed documents: any input must give a value or an
//! error, without a panic or a huge allocation.
//!
//! CI runs 5000 cases with a fixed seed; `FUZZ_CASES=1000000 cargo test --release -p cypressfork-wire
//! --test fuzz` runs more.

#![allow(missing_docs)]

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::rate_limits::LimitReport;
use cypressfork_core::fleet::peer::{PeerReply, PeerRequest};
use cypressfork_core::fleet::transfer::{Part, PartRequest};
use cypressfork_core::fleet::watch::{
    ConfirmRequest, Confirmation, RouterStatus, Watch, WatchResponse,
};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::raft::Members;
use cypressfork_core::unit::{Millis, Time};
use cypressfork_wire::{body, compression};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::de::DeserializeOwned;

const SEED: [u8; 32] = *b"cypressfork wire fuzz bodies se1";

fn runner() -> TestRunner {
    let cases = std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(5_000);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Generates changes to valid bytes: replacement bytes and a number of bytes to cut off the end.
fn edits() -> impl Strategy<Value = (Vec<(usize, u8)>, usize)> {
    (prop::collection::vec((any::<usize>(), any::<u8>()), 0..6), 0usize..40)
}

fn apply_edits(valid: &[u8], (edits, cut): &(Vec<(usize, u8)>, usize)) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    let n = bytes.len();
    edits.iter().for_each(|(at, b)| bytes[at % n] = *b);
    bytes.truncate(n.saturating_sub(*cut));
    bytes
}

fn watch() -> Watch {
    let text = |s: &str| s.to_owned();
    let router = RouterStatus {
        vm: text("edge-1"),
        data_centre: text("tamar-a"),
        address: text("10.0.0.1:80"),
        link: text("10.0.0.1:81"),
        open: true,
        busy: true,
        version: 7,
    };
    let fetch = Some(PartRequest { held: 3, version: 4, digest: 5, offset: 6 });
    Watch {
        router: Some(router),
        feed: Default::default(),
        version: 9,
        fetch,
        areas: 7,
        control: None,
        evacuations: 0,
        quarantine: 0,
        rollouts: 0,
        reports: vec![Default::default()],
        heard: vec![LimitReport {
            replica: text("b-1"),
            born: 8,
            rate: Some(Rate(9)),
            age: Millis(10),
        }],
        few: 11,
        leaving: Vec::new(),
        hears: Some(vec![12]),
        confirm: None,
        without_replicas: false,
    }
}

fn watch_response() -> WatchResponse {
    let part = Part { version: 4, digest: 5, total: 6, offset: 0, bytes: vec![1, 2, 3].into() };
    WatchResponse {
        version: 4,
        part: Some(part),
        controls: vec!["10.0.0.9:1".into()],
        ..WatchResponse::default()
    }
}

/// Decodes `bytes` as each type that a call or answer may carry as its body.
fn decode_as_every_type(bytes: &[u8]) {
    fn decode<T: DeserializeOwned>(bytes: &[u8]) {
        let _ = body::unpack::<T>(bytes);
    }
    decode::<Watch>(bytes);
    decode::<WatchResponse>(bytes);
    decode::<Command>(bytes);
    decode::<Answer>(bytes);
    decode::<Query>(bytes);
    decode::<Reply>(bytes);
    decode::<PeerRequest>(bytes);
    decode::<PeerReply>(bytes);
    decode::<Members>(bytes);
}

#[test]
fn bodies_that_are_noise_are_errors() {
    let noise = prop::collection::vec(any::<u8>(), 0..300);
    let result = runner().run(&noise, |bytes| {
        decode_as_every_type(&bytes);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn bodies_that_were_changed_are_values_or_errors() {
    let valid = [body::pack(&watch()), body::pack(&watch_response())];
    let result = runner().run(&(0usize..2, edits()), |(n, edits)| {
        decode_as_every_type(&apply_edits(&valid[n], &edits));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn every_text_comes_back_from_its_compressed_bytes() {
    let result = runner().run(&".{0,400}", |text| {
        prop_assert_eq!(
            compression::decompress_text(&compression::compress_text(&text)).unwrap(),
            text
        );
        Ok(())
    });
    result.unwrap();
}

#[test]
fn compressed_bytes_that_were_changed_are_a_text_or_an_error() {
    let valid = compression::compress_text(&"route /a/ to board; ".repeat(200));
    let result = runner().run(&edits(), |edits| {
        if let Ok(text) = compression::decompress_text(&apply_edits(&valid, &edits)) {
            prop_assert!(text.len() <= 8_000, "{} bytes", text.len());
        }
        Ok(())
    });
    result.unwrap();
}

/// Guards against requests and responses that a process of the earlier release cannot read: it refuses
/// messages with more fields than it knows.
#[test]
fn fields_that_are_not_used_are_left_out() {
    const ARRAY_OF_14: u8 = 0x9e;
    const ARRAY_16: u8 = 0xdc;
    let plain = Watch { hears: None, ..watch() };
    let confirm = Some(ConfirmRequest { sent_at: Time(7), at_once: true });
    let confirming = Watch { confirm, ..watch() };
    assert_eq!(body::pack(&plain)[0], ARRAY_OF_14);
    let response = body::pack(&watch_response());
    assert_eq!(response[..3], [ARRAY_16, 0, 18]);
    let complete = WatchResponse {
        relayed: Some(Vec::new()),
        complete_for: Some(Millis(9)),
        ..watch_response()
    };
    let several_versions = vec!["talk".to_owned()];
    let confirmed = Some(Confirmation { as_of: Time(7), several_versions });
    let confirmed = WatchResponse { confirmed, ..complete.clone() };
    assert_eq!(body::unpack::<WatchResponse>(&body::pack(&complete)), Ok(complete));
    assert_eq!(body::unpack::<WatchResponse>(&body::pack(&confirmed)), Ok(confirmed));
    assert_eq!(body::unpack::<Watch>(&body::pack(&plain)), Ok(plain));
    assert_eq!(body::unpack::<Watch>(&body::pack(&watch())), Ok(watch()));
    assert_eq!(body::unpack::<Watch>(&body::pack(&confirming)), Ok(confirming));
}
