//! The client of a control group, against scripted members.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cypressfork_core::code::Code;
use cypressfork_core::command::Command;
use cypressfork_core::unit::Millis;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::{self, Credentials, Link};
use cypressfork_wire::auth::Key;
use cypressfork_wire::{Ask, Frame, Return, body};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Number of tries after which the backoff has reached its maximum.
const TRIES_TO_MAX_BACKOFF: usize = 7;

fn credentials() -> Credentials {
    Credentials { key: Key::new(&[7; 32]), cluster: "c".into(), name: "entry-1".into() }
}

/// Arrival time and content of a call.
type ReceivedCall = (Instant, Ask);

/// Answers every call with `NotLeader`, and records the calls.
async fn follower(listener: TcpListener, calls: Rc<RefCell<Vec<ReceivedCall>>>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let calls = calls.clone();
        actix_rt::spawn(async move {
            let Link { mut reader, mut writer, .. } =
                link::accept(stream, &credentials()).await.unwrap();
            while let Ok(Frame::Call(c)) = reader.next().await {
                calls.borrow_mut().push((Instant::now(), c.ask));
                let code = i32::from(Code::NotLeader.number());
                let answer = Frame::Answer(Return::new(c.id, code, None, None));
                writer.send(&answer).await.unwrap();
            }
        });
    }
}

/// `retry_now` ends a backoff. With jitter, the longest backoff is at least 100 ms.
#[test]
fn a_call_that_waits_for_its_next_try_makes_it_when_the_group_answers_again() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let group = GroupClient::new(credentials(), vec![listener.local_addr().unwrap()]);
        let calls = Rc::new(RefCell::new(Vec::new()));
        actix_rt::spawn(follower(listener, calls.clone()));
        let client = group.clone();
        actix_rt::spawn(async move {
            // Runs until the test ends.
            let _ = client.call(Ask::Command(Vec::new()), Duration::from_secs(30)).await;
        });
        while calls.borrow().len() < TRIES_TO_MAX_BACKOFF {
            sleep(Duration::from_millis(5)).await;
        }
        // Lets the response arrive and the backoff start.
        sleep(Duration::from_millis(30)).await;
        let woken = Instant::now();
        group.retry_now();
        while calls.borrow().len() == TRIES_TO_MAX_BACKOFF {
            sleep(Duration::from_millis(1)).await;
        }
        let took = calls.borrow()[TRIES_TO_MAX_BACKOFF].0.duration_since(woken);
        assert!(took < Duration::from_millis(60), "{took:?}: retry_now did not end the backoff");
    });
}

/// Guards against retries that send an outdated age: a registration contains the age of the process.
#[test]
fn a_command_that_contains_the_time_is_built_again_for_each_try() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let group = GroupClient::new(credentials(), vec![listener.local_addr().unwrap()]);
        let calls = Rc::new(RefCell::new(Vec::new()));
        actix_rt::spawn(follower(listener, calls.clone()));
        let ages = Cell::new(0);
        let register = || {
            ages.set(ages.get() + 1);
            Command::Register {
                vm: "entry-1".into(),
                data_centre: "tamar-a".into(),
                address: "10.0.0.1:80".into(),
                nonce: 7,
                age: Millis(ages.get()),
                link: String::new(),
            }
        };
        let answer = group.command_with(register, Duration::from_millis(200)).await;
        assert_eq!(answer, Err(Code::NotLeader));
        let sent_age = |(_, ask): &ReceivedCall| match ask {
            Ask::Command(bytes) => match body::unpack(bytes).unwrap() {
                Command::Register { age, .. } => age.0,
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        };
        let sent: Vec<u64> = calls.borrow().iter().map(sent_age).collect();
        assert!(sent.len() > 1 && sent.is_sorted_by(|a, b| a < b), "{sent:?}");
    });
}

/// Accepts links. Answers calls if `answers`, else stays silent like a process that lost power.
async fn serve(listener: TcpListener, answers: bool) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        actix_rt::spawn(async move {
            let Link { mut reader, mut writer, .. } =
                link::accept(stream, &credentials()).await.unwrap();
            while let Ok(Frame::Call(c)) = reader.next().await {
                if answers {
                    let answer = Frame::Answer(Return::new(c.id, 0, Some(Vec::new()), None));
                    writer.send(&answer).await.unwrap();
                }
            }
        });
    }
}

/// A pending call must move to the new leader at once, not after the timeout of its try (2 s). A leader
/// of the same or an older term is ignored.
#[test]
fn a_call_that_waits_for_a_lost_leader_goes_on_at_the_next_one() {
    actix_rt::System::new().block_on(async {
        let (lost, next) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
        );
        let (old, new) = (lost.local_addr().unwrap(), next.local_addr().unwrap());
        actix_rt::spawn(serve(lost, false));
        actix_rt::spawn(serve(next, true));
        let group = GroupClient::new(credentials(), vec![old]);
        group.set_leader(3, old);
        let client = group.clone();
        let start = Instant::now();
        let call = actix_rt::spawn(async move {
            client.call(Ask::Command(Vec::new()), Duration::from_secs(10)).await
        });
        sleep(Duration::from_millis(150)).await;
        group.set_leader(4, new);
        assert_eq!(call.await.unwrap(), Ok(Vec::new()));
        assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
        assert_eq!(group.connected_address(), Some(new));
        group.set_leader(3, old);
        group.set_leader(4, old);
        assert_eq!(group.connected_address(), Some(new), "nobody has been elected since");
    });
}
