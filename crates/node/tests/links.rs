//! Links over real sockets: unauthenticated peers, garbage, half-open peers and slow readers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cypressfork_node::link::{self, Credentials, Error, Link};
use cypressfork_wire::auth::Key;
use cypressfork_wire::{Ask, Call, Frame};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

const KEY: &[u8] = b"0123456789abcdef0123456789abcdef";

fn credentials(key: &[u8], cluster: &str) -> Credentials {
    Credentials { key: Key::new(key), cluster: cluster.into(), name: "entry-1".into() }
}

async fn listener() -> (TcpListener, SocketAddr) {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = l.local_addr().unwrap();
    (l, a)
}

fn block_on<F: Future>(f: F) -> F::Output {
    actix_rt::System::new().block_on(f)
}

/// Opens a link and returns both ends, or the error of each.
async fn open_link(
    client: Credentials,
    server: Credentials,
) -> (Result<Link, Error>, Result<Link, Error>) {
    let (l, address) = listener().await;
    let accepting = async {
        let (stream, _) = l.accept().await.unwrap();
        link::accept(stream, &server).await
    };
    tokio::join!(link::connect(address, &client), accepting)
}

fn call(n: usize) -> Frame {
    Frame::Call(Call::new(1, Ask::Command(vec![0; n]), None))
}

#[test]
fn peers_of_one_cluster_exchange_messages() {
    block_on(async {
        let (a, b) = open_link(credentials(KEY, "c"), credentials(KEY, "c")).await;
        let (mut a, mut b) = (a.unwrap(), b.unwrap());
        assert_eq!((a.peer.as_str(), b.peer.as_str()), ("entry-1", "entry-1"));
        a.writer.send(&call(100)).await.unwrap();
        assert_eq!(b.reader.next().await.unwrap(), call(100));
    });
}

#[rstest]
#[case::wrong_key(b"another key that has 32 bytes too", "c")]
#[case::wrong_cluster(KEY, "d")]
fn a_stranger_is_refused_by_both_ends(#[case] key: &[u8], #[case] cluster: &str) {
    block_on(async {
        let (a, b) = open_link(credentials(key, cluster), credentials(KEY, "c")).await;
        assert!(a.is_err() && b.is_err());
    });
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case::huge_length(&[0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0])]
#[case::length_without_end(&[0, 0, 0, 9, 1, 2])]
#[case::noise(&[0, 0, 0, 4, 0xde, 0xad, 0xbe, 0xef])]
#[case::nothing(&[])]
fn garbage_ends_in_an_error(#[case] bytes: &'static [u8]) {
    block_on(async {
        let (l, address) = listener().await;
        let mut s = TcpStream::connect(address).await.unwrap();
        let (stream, _) = l.accept().await.unwrap();
        s.write_all(bytes).await.unwrap();
        s.shutdown().await.unwrap();
        assert!(link::accept(stream, &credentials(KEY, "c")).await.is_err());
    });
}

/// A peer that connects and sends nothing must time out. Time is virtual.
#[test]
fn a_half_open_peer_is_given_up() {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    rt.unwrap().block_on(async {
        let (l, address) = listener().await;
        let _silent = TcpStream::connect(address).await.unwrap();
        let (stream, _) = l.accept().await.unwrap();
        let e = link::accept(stream, &credentials(KEY, "c")).await.err().unwrap();
        assert!(matches!(e, Error::TimedOut), "{e}");
    });
}

/// A send to a peer that does not read must fail instead of blocking.
#[test]
fn a_slow_reader_is_cut_off() {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    rt.block_on(async {
        let (a, b) = open_link(credentials(KEY, "c"), credentials(KEY, "c")).await;
        let (mut a, _unread) = (a.unwrap(), b.unwrap());
        tokio::time::pause();
        let e = loop {
            if let Err(e) = a.writer.send(&call(1_000_000)).await {
                break e;
            }
        };
        assert!(matches!(e, Error::TimedOut), "{e}");
    });
}

#[test]
fn a_frame_that_is_no_message_breaks_the_link() {
    block_on(async {
        let (l, address) = listener().await;
        let server = async {
            let (stream, _) = l.accept().await.unwrap();
            link::accept(stream, &credentials(KEY, "c")).await.unwrap()
        };
        let client = credentials(KEY, "c");
        let (a, mut b) = tokio::join!(link::connect(address, &client), server);
        drop(a.unwrap());
        assert!(b.reader.next().await.is_err(), "the peer has gone");
        let (mut rest, _) = (Vec::new(), Duration::ZERO);
        let mut s = TcpStream::connect(address).await.unwrap();
        s.write_all(&[0, 0, 0, 0]).await.unwrap();
        let (stream, _) = l.accept().await.unwrap();
        assert!(link::accept(stream, &credentials(KEY, "c")).await.is_err());
        s.read_to_end(&mut rest).await.unwrap();
        assert!(!rest.is_empty(), "a hello, then a reason");
    });
}

/// A full accept queue drops SYNs, as a machine without power does. The operating system retransmits them
/// only after a second; `connect` must not wait for that.
#[test]
fn a_peer_that_comes_up_a_moment_later_is_reached_at_once() {
    block_on(async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        let mut fillers = Vec::new();
        while let Ok(Ok(s)) = timeout(Duration::from_millis(50), TcpStream::connect(address)).await
        {
            fillers.push(s);
        }
        let start = Instant::now();
        let serving = async {
            sleep(Duration::from_millis(200)).await;
            for _ in &fillers {
                drop(listener.accept().await.unwrap());
            }
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                if link::accept(stream, &credentials(KEY, "c")).await.is_ok() {
                    return;
                }
            }
        };
        let client = credentials(KEY, "c");
        let (opened, ()) = tokio::join!(link::connect(address, &client), serving);
        assert!(opened.is_ok());
        let took = start.elapsed();
        assert!(took < Duration::from_millis(900), "{took:?}: it waited for the retransmission");
    });
}
