//! Bytes from outside that are not what they should be: bodies of calls and answers, and packed
//! documents. Whatever they are, they are a value or an error.
//!
//! CI takes a fixed seed and some thousand cases; `FUZZ_CASES=1000000 cargo test --release -p
//! cypressfork-wire --test fuzz` takes longer.

#![allow(missing_docs)]

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::limit::Rate;
use cypressfork_core::fleet::limit::known::LimitReport;
use cypressfork_core::fleet::share::{PeerReply as Lent, PeerRequest};
use cypressfork_core::fleet::transfer::{Part, PartRequest};
use cypressfork_core::fleet::watch::{RouterStatus, Watch, WatchResponse};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::raft::Members;
use cypressfork_core::unit::Millis;
use cypressfork_wire::{body, packed};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::de::DeserializeOwned;

const SEED: [u8; 32] = *b"cypressfork wire fuzz bodies se1";

fn runner() -> TestRunner {
    let cases = std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(5_000);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Changes to good bytes: some bytes replaced, and an end cut off.
fn edits() -> impl Strategy<Value = (Vec<(usize, u8)>, usize)> {
    (prop::collection::vec((any::<usize>(), any::<u8>()), 0..6), 0usize..40)
}

fn edited(good: &[u8], (edits, cut): &(Vec<(usize, u8)>, usize)) -> Vec<u8> {
    let mut bytes = good.to_vec();
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
        without_replicas: false,
    }
}

fn seen() -> WatchResponse {
    let part = Part { version: 4, digest: 5, total: 6, offset: 0, bytes: vec![1, 2, 3].into() };
    WatchResponse {
        version: 4,
        part: Some(part),
        controls: vec!["10.0.0.9:1".into()],
        ..WatchResponse::default()
    }
}

/// Reads `bytes` as everything that comes as the body of a call or an answer.
fn read_as_all(bytes: &[u8]) {
    fn one<T: DeserializeOwned>(bytes: &[u8]) {
        // A value or an error: both are fine, a panic or a huge allocation is not.
        let _ = body::unpack::<T>(bytes);
    }
    one::<Watch>(bytes);
    one::<WatchResponse>(bytes);
    one::<Command>(bytes);
    one::<Answer>(bytes);
    one::<Query>(bytes);
    one::<Reply>(bytes);
    one::<PeerRequest>(bytes);
    one::<Lent>(bytes);
    one::<Members>(bytes);
}

#[test]
fn bodies_that_are_noise_are_errors() {
    let noise = prop::collection::vec(any::<u8>(), 0..300);
    let result = runner().run(&noise, |bytes| {
        read_as_all(&bytes);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn bodies_that_were_changed_are_values_or_errors() {
    let good = [body::pack(&watch()), body::pack(&seen())];
    let result = runner().run(&(0usize..2, edits()), |(n, edits)| {
        read_as_all(&edited(&good[n], &edits));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn every_text_comes_back_from_its_packed_bytes() {
    let result = runner().run(&".{0,400}", |text| {
        prop_assert_eq!(packed::unpack(&packed::pack(&text)).unwrap(), text);
        Ok(())
    });
    result.unwrap();
}

#[test]
fn packed_bytes_that_were_changed_are_a_text_or_an_error() {
    let good = packed::pack(&"route /a/ to board; ".repeat(200));
    let result = runner().run(&edits(), |edits| {
        if let Ok(text) = packed::unpack(&edited(&good, &edits)) {
            prop_assert!(text.len() <= 8_000, "{} bytes", text.len());
        }
        Ok(())
    });
    result.unwrap();
}
