//! Tunnels over real sockets: regular and irregular ends, cancelled reads and altered bytes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use cypressfork_node::link::{self, Credentials, Link};
use cypressfork_node::tunnel::{MAX_PART, Tunnel};
use cypressfork_wire::auth::Key;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

fn credentials() -> Credentials {
    Credentials { key: Key::new(&[7; 32]), cluster: "c".into(), name: "entry-1".into() }
}

fn block_on<F: Future>(f: F) -> F::Output {
    actix_rt::System::new().block_on(f)
}

/// Forwards one connection to `to` byte by byte, so that each frame arrives in many pieces. If `altered` is set,
/// changes the bytes from that position on.
async fn forward(l: TcpListener, to: SocketAddr, altered: Option<usize>) {
    let (client, _) = l.accept().await.unwrap();
    let server = TcpStream::connect(to).await.unwrap();
    client.set_nodelay(true).unwrap();
    server.set_nodelay(true).unwrap();
    let (mut client_rx, mut client_tx) = client.into_split();
    let (mut server_rx, mut server_tx) = server.into_split();
    actix_rt::spawn(async move {
        let _ = tokio::io::copy(&mut client_rx, &mut server_tx).await;
    });
    let mut position = 0;
    while let Ok(byte) = server_rx.read_u8().await {
        let is_altered = altered.is_some_and(|from| position >= from);
        if client_tx.write_u8(if is_altered { !byte } else { byte }).await.is_err() {
            return;
        }
        position += 1;
        tokio::task::yield_now().await;
    }
}

/// Returns both ends of a tunnel.
async fn tunnel(altered: Option<usize>) -> (Tunnel, Link) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (server_address, address) = (server.local_addr().unwrap(), proxy.local_addr().unwrap());
    actix_rt::spawn(forward(proxy, server_address, altered));
    let (client_credentials, server_credentials) = (credentials(), credentials());
    let accepting = async {
        let (stream, _) = server.accept().await.unwrap();
        link::accept(stream, &server_credentials).await.unwrap()
    };
    let connecting = async { link::connect(address, &client_credentials).await.unwrap() };
    let (client, server) = tokio::join!(connecting, accepting);
    (Tunnel::new(client), server)
}

/// Reads the stream up to its end, with reads that are cancelled often. Returns whether it ended regularly.
async fn read_all(tunnel: &mut Tunnel) -> (BytesMut, bool) {
    let mut buf = BytesMut::new();
    loop {
        match timeout(Duration::from_micros(50), tunnel.read(&mut buf)).await {
            Ok(Ok(0)) => return (buf, true),
            Ok(Ok(_)) | Err(_) => {}
            Ok(Err(_)) => return (buf, false),
        }
    }
}

#[rstest]
#[case::one_byte(1)]
#[case::several_frames(3 * MAX_PART / 2)]
fn bytes_arrive_in_both_directions(#[case] size: usize) {
    block_on(async {
        let (mut tunnel, Link { mut reader, mut writer, .. }) = tunnel(None).await;
        let sent: Vec<u8> = (0..size).map(|n| n as u8).collect();
        let mut written = 0;
        while written < sent.len() {
            written += tunnel.write(&sent[written..]).await.unwrap();
        }
        let mut received = Vec::new();
        while received.len() < sent.len() {
            received.extend(reader.next_part().await.unwrap());
        }
        assert!(received == sent);
        assert!(tunnel.is_silent());
        let sending = async {
            for part in sent.chunks(1_000) {
                writer.send_part(part).await.unwrap();
            }
            writer.send_part(&[]).await.unwrap();
        };
        let ((received, is_regular), ()) = tokio::join!(read_all(&mut tunnel), sending);
        assert!(received == sent && is_regular);
        assert!(!tunnel.is_silent());
    });
}

/// Guards against a relay that ends and thereby makes a truncated stream look complete.
#[test]
fn a_tunnel_that_breaks_off_is_not_a_regular_end() {
    block_on(async {
        let (mut tunnel, Link { reader, mut writer, .. }) = tunnel(None).await;
        writer.send_part(b"half").await.unwrap();
        drop((reader, writer));
        let (received, is_regular) = read_all(&mut tunnel).await;
        assert_eq!(&received[..], b"half");
        assert!(!is_regular);
    });
}

/// Guards against bytes that are altered on the way between the processes.
#[test]
fn altered_bytes_end_the_tunnel() {
    block_on(async {
        // Far beyond the handshake.
        let (mut tunnel, Link { mut writer, .. }) = tunnel(Some(4_000)).await;
        let sending = async {
            for _ in 0..20 {
                // Fails once the other end is closed.
                let _ = writer.send_part(&[b'a'; 500]).await;
            }
        };
        let ((received, is_regular), ()) = tokio::join!(read_all(&mut tunnel), sending);
        assert!(!is_regular);
        assert!(received.iter().all(|b| *b == b'a'));
    });
}
