//! The HTTP calls of a control process during a planned stop.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_http::server::exchanges::Exchanges;
use cypressfork_http::server::stop::{StopProgress, StopStage};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Time after which calls that have not arrived whole are refused.
const RECEIVE_TIME: Duration = Duration::from_millis(400);

/// Time after which calls without an answer are told that they get none here.
const ANSWER_TIME: Duration = Duration::from_millis(800);

/// Time after which the process ends, whatever is left.
const END_TIME: Duration = Duration::from_millis(1_000);

/// The calls of a control process, which its planned stop waits for.
pub struct Drain {
    /// How far the stop has come.
    pub stop: Rc<StopProgress>,
    /// The calls under way, by listener.
    pub exchanges: Vec<Rc<Exchanges>>,
}

impl Drain {
    /// Closes the listeners and idle connections, and waits for `least`, and until the calls under way are answered.
    pub async fn run(self, least: Duration) {
        let start = Instant::now();
        self.stop.advance(StopStage::Closed);
        tokio::select! {
            () = self.all_answered(least) => {}
            () = self.end_calls(start) => {}
        }
        let after = start.elapsed().as_millis();
        emit!(Event::DrainEnded, under_way = self.count(), after_ms = after);
    }

    /// Refuses the calls that do not arrive or are not answered in time.
    async fn end_calls(&self, start: Instant) {
        sleep_until(start + RECEIVE_TIME).await;
        self.stop.advance(StopStage::Received);
        sleep_until(start + ANSWER_TIME).await;
        self.stop.advance(StopStage::Ended);
        // Fails if callers do not accept what they are told.
        let _ = timeout_at(start + END_TIME, self.none_left()).await;
    }

    async fn all_answered(&self, least: Duration) {
        sleep(least).await;
        self.none_left().await;
    }

    async fn none_left(&self) {
        // One that a listener has begun may outlast those of the next one.
        while self.count() > 0 {
            for e in &self.exchanges {
                e.none_left().await;
            }
        }
    }

    fn count(&self) -> usize {
        self.exchanges.iter().map(|e| e.count()).sum()
    }
}
