//! Fuzz test of log files with several changed bytes: opening one returns a prefix of the written
//! records or an error. `FUZZ_CASES=100000` sets a longer run.

#![allow(missing_docs)]

use std::fs;
use std::path::{Path, PathBuf};

use cypressfork_store::{Folder, Record};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"cypressfork store fuzz log seed1";

const BATCHES: u8 = 4;

fn record(n: u8) -> Record {
    Record { kind: 1 + n % 3, payload: vec![n; 1 + usize::from(n) * 3] }
}

fn log_file(dir: &Path) -> PathBuf {
    let names = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path());
    names.filter(|p| p.file_name().unwrap().to_str().unwrap().starts_with("log-")).max().unwrap()
}

fn read(dir: &Path) -> Option<Vec<Record>> {
    let folder = Folder::open(dir, "tas-north", 7).ok()?;
    Some(folder.open_log().ok()?.1)
}

#[test]
fn a_corrupt_log_never_returns_records_that_were_not_written() {
    let cases = std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let edits = prop::collection::vec((any::<usize>(), any::<u8>()), 1..5);
    let strategy = (edits, prop::option::of(any::<usize>()));
    let result = TestRunner::new_with_rng(config, rng).run(&strategy, |(edits, cut)| {
        let dir = tempfile::tempdir().unwrap();
        {
            let folder = Folder::open(dir.path(), "tas-north", 7).unwrap();
            let (mut log, _) = folder.open_log().unwrap();
            for n in 0..BATCHES {
                let r = record(n);
                log.append(r.kind, &r.payload);
                log.sync().unwrap();
            }
        }
        let path = log_file(dir.path());
        let mut bytes = fs::read(&path).unwrap();
        let len = bytes.len();
        edits.iter().for_each(|(at, b)| bytes[at % len] = *b);
        if let Some(cut) = cut {
            bytes.truncate(cut % len);
        }
        fs::write(&path, &bytes).unwrap();
        let written: Vec<_> = (0..BATCHES).map(record).collect();
        if let Some(found) = read(dir.path()) {
            prop_assert!(written.starts_with(&found), "{found:?}");
        }
        Ok(())
    });
    result.unwrap();
}
