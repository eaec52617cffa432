//! The client of a control group, against a replica that is scripted here.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cypressfork_core::code::Code;
use cypressfork_core::command::Command;
use cypressfork_core::unit::Millis;
use cypressfork_node::group::Group;
use cypressfork_node::link::{self, Credentials, Link};
use cypressfork_wire::auth::Key;
use cypressfork_wire::{Ask, Frame, Return, body};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Tries after which a caller's pause has grown to its longest.
const MANY: usize = 7;

fn me() -> Credentials {
    Credentials { key: Key::new(&[7; 32]), cluster: "c".into(), name: "entry-1".into() }
}

/// When a call came, and what it asked.
type Came = (Instant, Ask);

/// Answers every call with "this replica does not lead", and notes when each came.
async fn follower(listener: TcpListener, came: Rc<RefCell<Vec<Came>>>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let came = came.clone();
        actix_rt::spawn(async move {
            let Link { mut reader, mut writer, .. } = link::accept(stream, &me()).await.unwrap();
            while let Ok(Frame::Call(c)) = reader.next().await {
                came.borrow_mut().push((Instant::now(), c.ask));
                let code = i32::from(Code::NotLeader.number());
                let answer = Frame::Answer(Return::new(c.id, code, None, None));
                writer.send(&answer).await.unwrap();
            }
        });
    }
}

/// The shortest pause at its longest is 100 ms; a try that is woken comes at once.
#[test]
fn a_call_that_waits_for_its_next_try_makes_it_when_the_group_answers_again() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let group = Group::new(me(), vec![listener.local_addr().unwrap()]);
        let came = Rc::new(RefCell::new(Vec::new()));
        actix_rt::spawn(follower(listener, came.clone()));
        let calling = group.clone();
        actix_rt::spawn(async move {
            // It ends with the test.
            let _ = calling.call(Ask::Command(Vec::new()), Duration::from_secs(30)).await;
        });
        while came.borrow().len() < MANY {
            sleep(Duration::from_millis(5)).await;
        }
        // The answer to that try has come, and the pause after it has begun.
        sleep(Duration::from_millis(30)).await;
        let woken = Instant::now();
        group.wake();
        while came.borrow().len() == MANY {
            sleep(Duration::from_millis(1)).await;
        }
        let took = came.borrow()[MANY].0.duration_since(woken);
        assert!(took < Duration::from_millis(60), "{took:?}: it slept on");
    });
}

/// How long a process has been running grows between the tries of its registration.
#[test]
fn a_command_that_tells_the_time_is_made_anew_for_each_try() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let group = Group::new(me(), vec![listener.local_addr().unwrap()]);
        let came = Rc::new(RefCell::new(Vec::new()));
        actix_rt::spawn(follower(listener, came.clone()));
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
        let answer = group.command_anew(register, Duration::from_millis(200)).await;
        assert_eq!(answer, Err(Code::NotLeader));
        let told = |(_, ask): &Came| match ask {
            Ask::Command(bytes) => match body::unpack(bytes).unwrap() {
                Command::Register { age, .. } => age.0,
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        };
        let told: Vec<u64> = came.borrow().iter().map(told).collect();
        assert!(told.len() > 1 && told.is_sorted_by(|a, b| a < b), "{told:?}");
    });
}

/// Opens links, and answers calls or keeps silent, as a process without power does.
async fn serve(listener: TcpListener, answers: bool) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        actix_rt::spawn(async move {
            let Link { mut reader, mut writer, .. } = link::accept(stream, &me()).await.unwrap();
            while let Ok(Frame::Call(c)) = reader.next().await {
                if answers {
                    let answer = Frame::Answer(Return::new(c.id, 0, Some(Vec::new()), None));
                    writer.send(&answer).await.unwrap();
                }
            }
        });
    }
}

/// The leader loses power: a call waits for its answer until others tell of the next leader, and not
/// until the try is given up after 2 s. An older word of the one before changes nothing.
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
        let group = Group::new(me(), vec![old]);
        group.point_to(3, old);
        let calling = group.clone();
        let begun = Instant::now();
        let call = actix_rt::spawn(async move {
            calling.call(Ask::Command(Vec::new()), Duration::from_secs(10)).await
        });
        sleep(Duration::from_millis(150)).await;
        group.point_to(4, new);
        assert_eq!(call.await.unwrap(), Ok(Vec::new()));
        assert!(begun.elapsed() < Duration::from_millis(900), "{:?}", begun.elapsed());
        assert_eq!(group.address(), Some(new));
        group.point_to(3, old);
        group.point_to(4, old);
        assert_eq!(group.address(), Some(new), "nobody has been elected since");
    });
}
