//! Opens TCP connections to servers that may become unreachable without a reset.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use cypressfork_node::silence;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::OpenError;

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

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
    silence::PROMPT.apply(&stream)?;
    Ok(stream)
}
