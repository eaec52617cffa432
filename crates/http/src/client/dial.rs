//! Opens TCP connections to servers that may become unreachable without a reset.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::OpenError;

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which the other host may leave sent bytes and keep-alive probes unacknowledged. A paused process
/// does not matter, because its host acknowledges them. A host may be unresponsive for about a second.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(2);

/// Idle time before the first keep-alive probe, and interval of the probes: the least that the system accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects to `address` from the local address `source`, or from one that the system chooses. The connection
/// fails with [`io::ErrorKind::TimedOut`] soon after the other host stops responding.
pub async fn dial(source: Option<IpAddr>, address: SocketAddr) -> Result<TcpStream, OpenError> {
    match timeout(CONNECT_TIMEOUT, connect(source, address)).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(OpenError::TimedOut),
    }
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    // A failure here only makes small requests slower.
    let _ = stream.set_nodelay(true);
    detect_silence(&stream)?;
    Ok(stream)
}

/// Makes a connection fail soon after the other host stops responding. The timeout for unacknowledged bytes
/// also ends unanswered keep-alive probes, whatever their number.
///
/// # Errors
/// Fails if the system does not support the options.
pub fn detect_silence(stream: &TcpStream) -> io::Result<()> {
    let keep_alive = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGED_WITHIN))
}
