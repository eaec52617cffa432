//! Accounts for the bytes held of responses that are not received in full, and tells their requests when they have to
//! be given up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use bytes::Bytes;
use cypressfork_core::code::Code;
use cypressfork_core::fleet::response_buffer::{MAX_BODY_BYTES, ResponseBuffers, ResponseId};
use cypressfork_http::body_buffer::BodyBuffer;
use cypressfork_http::client::ExchangeError;
use cypressfork_http::server::signal::CutSignal;
use cypressfork_node::metric;
use metrics::{counter, gauge};
use tokio::task::yield_now;

use super::upstream::ReplicaConnection;

/// The bytes held of all responses of the process.
pub struct ResponseMemory {
    buffers: RefCell<ResponseBuffers>,
    signals: RefCell<HashMap<ResponseId, Rc<CutSignal>>>,
}

impl ResponseMemory {
    /// Returns an account of at most `bound` bytes.
    pub fn new(bound: u64) -> ResponseMemory {
        ResponseMemory {
            buffers: RefCell::new(ResponseBuffers::new(bound)),
            signals: RefCell::default(),
        }
    }

    /// Returns the account of another response.
    pub fn register(self: &Rc<Self>) -> HeldResponse {
        let id = self.buffers.borrow_mut().register();
        let signal = Rc::<CutSignal>::default();
        self.signals.borrow_mut().insert(id, signal.clone());
        HeldResponse { memory: self.clone(), id, signal, held: Cell::new(0) }
    }

    /// Records the bytes held of a response. Returns whether others have to be given up.
    fn record(&self, id: ResponseId, held: u64) -> bool {
        let mut buffers = self.buffers.borrow_mut();
        buffers.record(id, held);
        let mut has_rejected = false;
        while let Some(rejected) = buffers.next_rejected() {
            has_rejected = true;
            counter!(metric::RESPONSES_GIVEN_UP).increment(1);
            if let Some(signal) = self.signals.borrow().get(&rejected) {
                signal.set();
            }
        }
        gauge!(metric::HELD_RESPONSES).set(buffers.total() as f64);
        has_rejected
    }
}

/// The account of one response. Dropping it releases its bytes.
pub struct HeldResponse {
    memory: Rc<ResponseMemory>,
    id: ResponseId,
    signal: Rc<CutSignal>,
    /// The bytes recorded last.
    held: Cell<usize>,
}

impl HeldResponse {
    /// Records that `held` bytes are held. Returns whether others have to be given up, and fails if this one has to.
    ///
    /// # Errors
    /// Fails with [`ExchangeError::Protocol`], because the response holds more than any other.
    pub fn record(&self, held: usize) -> Result<bool, ExchangeError> {
        let is_changed = self.held.replace(held) != held && !self.signal.is_set();
        let has_rejected = is_changed && self.memory.record(self.id, held as u64);
        match self.signal.is_set() {
            true => Err(given_up()),
            false => Ok(has_rejected),
        }
    }

    /// Waits until the response has to be given up, and returns the error for it.
    pub async fn wait_given_up(&self) -> ExchangeError {
        self.signal.wait().await;
        given_up()
    }
}

impl fmt::Debug for HeldResponse {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} bytes", self.held.get())
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        self.memory.signals.borrow_mut().remove(&self.id);
        self.memory.record(self.id, 0);
    }
}

fn given_up() -> ExchangeError {
    ExchangeError::Protocol("the answer uses the most memory, and there is too little".to_owned())
}

fn too_large() -> ExchangeError {
    ExchangeError::Protocol("the answer is too large".to_owned())
}

/// Reads a whole body.
///
/// # Errors
/// Fails if the body exceeds [`MAX_BODY_BYTES`], which a length tells at once, or the bound for all responses.
pub async fn read_body(
    connection: &mut ReplicaConnection,
    held: &HeldResponse,
) -> Result<Bytes, ExchangeError> {
    if connection.content_length().is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    let mut body = BodyBuffer::new(connection.content_length(), MAX_BODY_BYTES as usize);
    loop {
        let chunk = tokio::select! {
            biased;
            error = held.wait_given_up() => return Err(error),
            chunk = connection.read_chunk() => chunk?,
        };
        let Some(chunk) = chunk else { return Ok(body.into_bytes()) };
        body.push(&chunk).map_err(|code| match code {
            Code::BodyTooLarge => too_large(),
            _ => given_up(),
        })?;
        if held.record(body.capacity())? {
            // The others free their memory before this one takes more.
            yield_now().await;
        }
    }
}

/// Reads a body without keeping it.
///
/// # Errors
/// Fails if the body exceeds [`MAX_BODY_BYTES`].
pub async fn skip_body(connection: &mut ReplicaConnection) -> Result<(), ExchangeError> {
    let mut skipped = 0;
    while let Some(chunk) = connection.read_chunk().await? {
        skipped += chunk.len() as u64;
        if skipped > MAX_BODY_BYTES {
            return Err(too_large());
        }
    }
    Ok(())
}
