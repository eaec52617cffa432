//! Accounts for the bytes held for callers, and tells callers' connections when they are cut.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use cypressfork_core::fleet::output_buffer::{CallerId, OutputBuffers};
use cypressfork_node::event::Event;
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, metric};
use metrics::{counter, gauge};

use super::signal::CutSignal;

/// The bytes held for all callers of the process.
pub struct CallerBuffers {
    clock: Clock,
    buffers: RefCell<OutputBuffers>,
    signals: RefCell<HashMap<CallerId, Rc<CutSignal>>>,
}

impl CallerBuffers {
    /// Returns buffers that may hold `limit` bytes in total.
    pub fn new(clock: Clock, limit: u64) -> CallerBuffers {
        CallerBuffers {
            clock,
            buffers: RefCell::new(OutputBuffers::new(limit)),
            signals: RefCell::default(),
        }
    }

    /// Returns the account of a new connection.
    pub fn register(self: &Rc<Self>) -> HeldOutput {
        let caller = self.buffers.borrow_mut().register();
        let signal = Rc::<CutSignal>::default();
        self.signals.borrow_mut().insert(caller, signal.clone());
        HeldOutput { buffers: self.clone(), caller, signal }
    }

    fn record(&self, caller: CallerId, held: usize, accepted: usize) {
        let now = self.clock.now();
        let mut buffers = self.buffers.borrow_mut();
        buffers.record(now, caller, held as u64, accepted as u64);
        while let Some(cut) = buffers.next_cut(now) {
            let pace = if cut.stalled { "stalled" } else { "slow" };
            counter!(metric::CALLERS_CUT, "pace" => pace).increment(1);
            if cut.logged {
                emit!(Event::CallerCut, held = cut.held, pace = pace, total = buffers.total());
            }
            if let Some(signal) = self.signals.borrow().get(&cut.caller) {
                signal.set();
            }
        }
        gauge!(metric::HELD_FOR_CALLERS).set(buffers.total() as f64);
    }

    fn remove(&self, caller: CallerId) {
        let mut buffers = self.buffers.borrow_mut();
        buffers.remove(caller);
        gauge!(metric::HELD_FOR_CALLERS).set(buffers.total() as f64);
        self.signals.borrow_mut().remove(&caller);
    }
}

/// The account of the bytes held for one caller. Dropping it releases them.
pub struct HeldOutput {
    buffers: Rc<CallerBuffers>,
    caller: CallerId,
    signal: Rc<CutSignal>,
}

impl HeldOutput {
    /// Records that `held` bytes are held, and that the caller has accepted `accepted` bytes since the
    /// previous record.
    pub fn record(&self, held: usize, accepted: usize) {
        self.buffers.record(self.caller, held, accepted);
    }

    /// Returns whether the caller is cut.
    pub fn is_cut(&self) -> bool {
        self.signal.is_set()
    }

    /// Waits until the caller is cut.
    pub async fn wait_cut(&self) {
        self.signal.wait().await;
    }
}

impl Drop for HeldOutput {
    fn drop(&mut self) {
        self.buffers.remove(self.caller);
    }
}
