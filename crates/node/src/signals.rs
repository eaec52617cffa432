//! The signals that a daemon obeys: a planned stop, and a reload of its settings.

use std::pin::pin;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;

use crate::emit;
use crate::event::Event;
use crate::process::Failure;

/// Repeated signals of one stop that are logged one by one.
const MAX_LOGGED: u32 = 16;

/// Receives `SIGTERM` and `SIGINT`, which request a planned stop (graceful shutdown).
///
/// A stop is requested once, however many signals ask for it: supervisors repeat theirs, and a process group gets one
/// beside the process itself. Only signals without a handler, such as `SIGKILL` and `SIGQUIT`, end the process at once.
pub struct StopSignals(Option<(Signal, Signal)>);

impl StopSignals {
    /// Installs the handlers. Without them these signals end the process, so create it before the process starts to
    /// serve.
    pub fn new() -> StopSignals {
        let term = signal(SignalKind::terminate()).ok();
        StopSignals(term.zip(signal(SignalKind::interrupt()).ok()))
    }

    /// Waits for a signal and returns its name. Never returns if the handlers could not be installed.
    pub async fn requested(&mut self) -> &'static str {
        let Some((term, int)) = &mut self.0 else { return std::future::pending().await };
        tokio::select! {
            Some(()) = term.recv() => "TERM",
            Some(()) = int.recv() => "INT",
            else => std::future::pending().await,
        }
    }

    /// Runs the stop that `signal` has requested to its end and returns what it returns. Signals that arrive meanwhile
    /// are logged and change nothing.
    pub async fn run_stop<T>(mut self, signal: &str, stop: impl Future<Output = T>) -> T {
        let started = Instant::now();
        let mut signals = 1;
        emit!(Event::Stopping, signal = signal);
        let mut stop = pin!(stop);
        let result = loop {
            tokio::select! {
                biased;
                result = &mut stop => break result,
                signal = self.requested() => {
                    signals += 1;
                    if signals <= MAX_LOGGED {
                        let after = started.elapsed().as_millis();
                        emit!(Event::StopRepeated, signal = signal, after_ms = after);
                    }
                }
            }
        };
        emit!(Event::Stopped, signals = signals, took_ms = started.elapsed().as_millis());
        result
    }
}

impl Default for StopSignals {
    fn default() -> StopSignals {
        StopSignals::new()
    }
}

/// Receives `SIGHUP`, which requests a reload of the settings.
pub struct Reload(Option<Signal>);

impl Reload {
    /// Installs the handler. Without it the signal ends the process, so create it before the process starts to serve.
    pub fn new() -> Reload {
        Reload(signal(SignalKind::hangup()).ok())
    }

    /// Waits for the next signal. Never returns if the handler could not be installed.
    pub async fn requested(&mut self) {
        let Some(signals) = &mut self.0 else { return std::future::pending().await };
        if signals.recv().await.is_none() {
            std::future::pending().await
        }
    }

    /// Reloads the settings at each signal and passes them to `apply`. If `read` fails, the failure is logged and the
    /// current settings stay in force. Never returns.
    pub async fn run<S>(mut self, read: impl Fn() -> Result<S, Failure>, apply: impl Fn(S)) {
        loop {
            self.requested().await;
            match read() {
                Ok(s) => {
                    apply(s);
                    emit!(Event::SettingsReloaded);
                }
                Err((code, why)) => {
                    emit!(Event::SettingsReloadFailed, code = code.number(), why = why);
                }
            }
        }
    }
}

impl Default for Reload {
    fn default() -> Reload {
        Reload::new()
    }
}
