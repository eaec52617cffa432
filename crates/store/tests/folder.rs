//! Behaviour of the data folder after crashes, damaged files and misuse.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use cypressfork_store::{Error, Folder, Log, Record, SyncWrite, set_aside};
use rstest::rstest;
use tempfile::TempDir;

const GROUP: &str = "tas-north";

fn open(dir: &Path) -> Folder {
    Folder::open(dir, GROUP, 7).unwrap()
}

fn record(n: u8) -> Record {
    Record { kind: 1 + n % 3, payload: vec![n; usize::from(n)] }
}

/// Creates a folder with three synced batches of two records. Returns the offset of the end of each
/// batch.
fn three_batches() -> (TempDir, Vec<u64>) {
    let dir = tempfile::tempdir().unwrap();
    let folder = open(dir.path());
    let (mut log, found) = folder.open_log().unwrap();
    assert!(found.is_empty());
    let mut ends = Vec::new();
    for n in [1, 3, 5] {
        for r in [record(n), record(n + 1)] {
            log.append(r.kind, &r.payload);
        }
        log.sync().unwrap();
        ends.push(log.synced_len());
    }
    (dir, ends)
}

fn log_file(dir: &Path) -> PathBuf {
    let names = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path());
    names.filter(|p| p.file_name().unwrap().to_str().unwrap().starts_with("log-")).max().unwrap()
}

fn read(dir: &Path) -> Result<Vec<Record>, Error> {
    Ok(open(dir).open_log()?.1)
}

#[test]
fn synced_records_are_read_back() {
    let (dir, _) = three_batches();
    assert_eq!(read(dir.path()).unwrap(), (1..=6).map(record).collect::<Vec<_>>());
}

/// A crash during the last write may leave any prefix of it: the incomplete part is dropped.
#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    let (dir, ends) = three_batches();
    let path = log_file(dir.path());
    let whole = fs::read(&path).unwrap();
    for len in ends[1]..ends[2] {
        fs::write(&path, &whole[..len as usize]).unwrap();
        let found = read(dir.path()).unwrap();
        assert!(found.len() >= 4 && found.len() < 6, "{len}: {}", found.len());
        assert_eq!(found, (1..=found.len() as u8).map(record).collect::<Vec<_>>());
    }
}

/// A crash may leave later pages of the last batch on disk without earlier ones.
#[test]
fn a_hole_in_the_last_batch_is_a_torn_tail() {
    let (dir, ends) = three_batches();
    let f = OpenOptions::new().write(true).open(log_file(dir.path())).unwrap();
    f.write_all_at(&[0; 40], ends[1] + 2).unwrap();
    let found = read(dir.path()).unwrap();
    assert_eq!(found, (1..=4).map(record).collect::<Vec<_>>());
}

#[test]
fn the_log_accepts_records_after_a_torn_tail() {
    let (dir, ends) = three_batches();
    let f = OpenOptions::new().write(true).open(log_file(dir.path())).unwrap();
    f.set_len(ends[1] + 5).unwrap();
    {
        let folder = open(dir.path());
        let (mut log, _) = folder.open_log().unwrap();
        log.append(2, b"more");
        log.sync().unwrap();
    }
    let found = read(dir.path()).unwrap();
    assert_eq!(found.last().unwrap(), &Record { kind: 2, payload: b"more".to_vec() });
    assert_eq!(found.len(), 5);
}

/// Damage before the last batch affects acknowledged records: the log must refuse to open and report
/// the offset.
#[test]
fn damage_before_the_last_batch_is_refused_at_every_byte() {
    let (dir, ends) = three_batches();
    let path = log_file(dir.path());
    let whole = fs::read(&path).unwrap();
    for at in 0..ends[1] as usize {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x40;
        fs::write(&path, &bytes).unwrap();
        match read(dir.path()) {
            Err(Error::Damaged(p, offset)) => {
                assert_eq!(p, path);
                assert!(offset <= at as u64, "{offset} for {at}");
            }
            other => panic!("byte {at}: {other:?}"),
        }
    }
}

#[test]
fn a_replaced_log_holds_only_the_new_records() {
    let (dir, _) = three_batches();
    {
        let folder = open(dir.path());
        let (mut log, _) = folder.open_log().unwrap();
        log.replace(&[record(9)]).unwrap();
        log.append(1, b"after");
        log.sync().unwrap();
    }
    let found = read(dir.path()).unwrap();
    assert_eq!(found, vec![record(9), Record { kind: 1, payload: b"after".to_vec() }]);
    let logs = fs::read_dir(dir.path())
        .unwrap()
        .filter(|f| f.as_ref().unwrap().file_name().to_str().unwrap().starts_with("log-"));
    assert_eq!(logs.count(), 1);
}

/// A crash during a replacement leaves both logs, or an unfinished temporary file.
#[rstest]
#[case::both_there(true)]
#[case::not_renamed(false)]
fn a_crash_during_a_replacement_keeps_one_whole_log(#[case] renamed: bool) {
    let (dir, _) = three_batches();
    let old = log_file(dir.path());
    let bytes = fs::read(&old).unwrap();
    if renamed {
        open(dir.path()).open_log().unwrap().0.replace(&[record(9)]).unwrap();
        fs::write(&old, bytes).unwrap();
        assert_eq!(read(dir.path()).unwrap(), vec![record(9)]);
    } else {
        fs::write(dir.path().join("log-00000000000000000002.tmp"), b"half").unwrap();
        assert_eq!(read(dir.path()).unwrap().len(), 6);
    }
}

/// A file whose writes or syncs fail after the given number of calls.
struct FaultyFile {
    writes: u32,
    syncs: u32,
}

impl Write for FaultyFile {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.writes == 0 {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.writes -= 1;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SyncWrite for FaultyFile {
    fn sync(&mut self) -> io::Result<()> {
        if self.syncs == 0 {
            return Err(io::Error::other("the device failed"));
        }
        self.syncs -= 1;
        Ok(())
    }
}

#[rstest]
#[case::disk_full(1, 9)]
#[case::sync_fails(9, 1)]
fn a_failed_write_poisons_the_log(#[case] writes: u32, #[case] syncs: u32) {
    let mut log = Log::new(FaultyFile { writes, syncs }, Path::new("data"), 1, 0);
    log.append(1, b"a");
    log.sync().unwrap();
    log.append(1, b"b");
    assert!(matches!(log.sync(), Err(Error::Io(..))));
    assert!(matches!(log.sync(), Err(Error::Poisoned)), "it is not tried again");
}

#[test]
fn two_processes_cannot_use_one_folder() {
    let dir = tempfile::tempdir().unwrap();
    let first = open(dir.path());
    assert!(matches!(Folder::open(dir.path(), GROUP, 8), Err(Error::InUse(_))));
    drop(first);
    open(dir.path());
}

#[test]
fn a_folder_keeps_its_identity_and_counts_its_openings() {
    let dir = tempfile::tempdir().unwrap();
    let first = open(dir.path()).identity().clone();
    let second = Folder::open(dir.path(), GROUP, 99).unwrap().identity().clone();
    assert_eq!((first.node, first.incarnation), (7, 1));
    assert_eq!((second.node, second.incarnation), (7, 2), "the fresh identity is not used");
}

#[test]
fn a_folder_of_another_group_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    open(dir.path());
    match Folder::open(dir.path(), "accra", 7) {
        Err(Error::WrongGroup(_, theirs, ours)) => assert_eq!((&*theirs, &*ours), (GROUP, "accra")),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_damaged_identity_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    open(dir.path());
    let path = dir.path().join("IDENTITY");
    let text = fs::read_to_string(&path).unwrap().replace("incarnation: 1", "incarnation: 5");
    fs::write(&path, text).unwrap();
    assert!(matches!(Folder::open(dir.path(), GROUP, 7), Err(Error::Damaged(..))));
}

#[test]
fn snapshots_are_checked_and_old_ones_removed() {
    let dir = tempfile::tempdir().unwrap();
    let folder = open(dir.path());
    for n in [5, 9] {
        folder.save_snapshot(n, format!("state {n}").as_bytes()).unwrap();
    }
    assert_eq!(folder.load_snapshot(9).unwrap(), b"state 9");
    folder.drop_snapshots_below(9).unwrap();
    assert!(matches!(folder.load_snapshot(5), Err(Error::Snapshot(..))));
    let path = dir.path().join(format!("snapshot-{:020}", 9));
    let len = fs::metadata(&path).unwrap().len();
    let f = File::options().write(true).open(&path).unwrap();
    f.write_all_at(b"X", len - 1).unwrap();
    assert!(matches!(folder.load_snapshot(9), Err(Error::Snapshot(..))));
}

/// Files that were set aside are kept, but the new identity must not read them.
#[test]
fn a_folder_that_is_set_aside_gets_another_identity() {
    let (dir, _) = three_batches();
    let old = open(dir.path()).identity().node;
    set_aside(dir.path()).unwrap();
    let folder = Folder::open(dir.path(), GROUP, old + 1).unwrap();
    assert_eq!((folder.identity().node, folder.identity().incarnation), (old + 1, 1));
    assert!(folder.open_log().unwrap().1.is_empty());
    drop(folder);
    set_aside(dir.path()).unwrap();
    assert!(dir.path().join("outdated-IDENTITY").exists());
    assert_eq!(Folder::open(dir.path(), GROUP, 5).unwrap().identity().node, 5);
}

#[test]
fn a_folder_in_use_is_not_set_aside() {
    let (dir, _) = three_batches();
    let _used = open(dir.path());
    assert!(matches!(set_aside(dir.path()), Err(Error::InUse(_))));
}
