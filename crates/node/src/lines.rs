//! A log line writer that never blocks its caller. A thread writes the lines of a bounded queue; lines
//! that do not fit are dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of queued lines.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Queues log lines for the writer thread. Each `write` call is one line.
#[derive(Clone)]
pub struct LineWriter {
    tx: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Numbers of lines queued, written and dropped.
#[derive(Debug, Default)]
pub struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LineCounts {
    /// Returns the number of lines dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, at most `timeout`.
    pub fn wait_written(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        let is_pending =
            || self.written.load(Ordering::Acquire) < self.queued.load(Ordering::Acquire);
        while is_pending() && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl LineWriter {
    /// Starts a thread that writes to `out`, with a queue of at most `capacity` lines.
    pub fn new(out: impl Write + Send + 'static, capacity: usize) -> LineWriter {
        let (tx, rx) = sync_channel(capacity);
        let counts = Arc::<LineCounts>::default();
        let c = counts.clone();
        thread::spawn(move || write_all(out, &rx, &c));
        LineWriter { tx, counts }
    }

    /// Returns the line counts, shared with the writer thread.
    pub fn counts(&self) -> Arc<LineCounts> {
        self.counts.clone()
    }
}

fn write_all(mut out: impl Write, rx: &Receiver<Vec<u8>>, counts: &LineCounts) {
    let mut reported = 0;
    while let Ok(line) = rx.recv() {
        let dropped = counts.dropped();
        if dropped > reported {
            // Write errors are ignored, because the reader has closed the output.
            let _ = writeln!(out, "{{\"event\":107,\"lines_left_out\":{}}}", dropped - reported);
            reported = dropped;
        }
        let _ = out.write_all(&line);
        counts.written.fetch_add(1, Ordering::Release);
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.queued.fetch_add(1, Ordering::Release);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.tx.try_send(line.to_vec())
        {
            self.counts.queued.fetch_sub(1, Ordering::Release);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
