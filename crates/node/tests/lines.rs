//! The log line writer against a reader that stops reading.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cypressfork_node::lines::LineWriter;

/// An output that blocks until the sender of `go` is dropped.
struct BlockedOutput {
    go: Receiver<()>,
    out: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Fails once the sender is dropped.
        let _ = self.go.recv();
        self.out.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_stalls_nothing_and_is_told_what_it_missed() {
    let (release, go) = channel();
    let out = Arc::new(Mutex::new(Vec::new()));
    let mut lines = LineWriter::new(BlockedOutput { go, out: out.clone() }, 10);
    for n in 0..1_000 {
        lines.write_all(format!("line {n}\n").as_bytes()).unwrap();
    }
    let dropped = lines.counts().dropped();
    // The queue holds ten lines, and the thread may hold another.
    assert!((989..=990).contains(&dropped), "{dropped}");
    drop(release);
    lines.counts().wait_written(Duration::from_secs(20));
    let text = String::from_utf8(out.lock().unwrap().clone()).unwrap();
    assert!(text.contains("line 0\n"), "{text}");
    // The drops may be reported in several lines.
    let reported = text.lines().filter_map(|l| l.split_once("left_out\":")?.1.strip_suffix('}'));
    let reported: u64 = reported.map(|n| n.parse::<u64>().unwrap()).sum();
    assert_eq!(reported, dropped, "{text}");
}

#[test]
fn all_lines_come_in_order_while_there_is_room() {
    let (release, go) = channel();
    drop(release);
    let out = Arc::new(Mutex::new(Vec::new()));
    let mut lines = LineWriter::new(BlockedOutput { go, out: out.clone() }, 1_000);
    (0..500).for_each(|n| lines.write_all(format!("{n}\n").as_bytes()).unwrap());
    lines.counts().wait_written(Duration::from_secs(20));
    let want: String = (0..500).map(|n| format!("{n}\n")).collect();
    assert_eq!(String::from_utf8(out.lock().unwrap().clone()).unwrap(), want);
    assert_eq!(lines.counts().dropped(), 0);
}
