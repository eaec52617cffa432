//! TCP connections that end once the other host no longer responds.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Options by which the operating system detects that the other host is unreachable.
#[derive(Clone, Copy, Debug)]
pub struct Detection {
    /// Idle time before the first keep-alive probe, and interval of the probes.
    probe_interval: Duration,
    /// Time for which the other host may leave sent bytes and probes unacknowledged.
    acknowledged_within: Duration,
}

/// For connections on which this process waits for the other one. A host may be unresponsive for about a
/// second; a paused process does not matter, because its host acknowledges the bytes. The interval is the
/// least that the system accepts.
pub const PROMPT: Detection = Detection {
    probe_interval: Duration::from_secs(1),
    acknowledged_within: Duration::from_secs(2),
};

/// For accepted connections, which only occupy resources of this process once the other one is gone.
pub const RELAXED: Detection = Detection {
    probe_interval: Duration::from_secs(15),
    acknowledged_within: Duration::from_secs(30),
};

impl Detection {
    /// Makes a connection fail with [`io::ErrorKind::TimedOut`] once the other host has stopped responding.
    /// The timeout for unacknowledged bytes also ends unanswered probes, whatever their number.
    ///
    /// # Errors
    /// Fails if the system does not support the options.
    pub fn apply(&self, stream: &TcpStream) -> io::Result<()> {
        let probes =
            TcpKeepalive::new().with_time(self.probe_interval).with_interval(self.probe_interval);
        let socket = SockRef::from(stream);
        socket.set_tcp_keepalive(&probes)?;
        socket.set_tcp_user_timeout(Some(self.acknowledged_within))
    }
}
