//! The account for clients, on a paused clock.

use std::sync::Arc;
use std::time::Duration;
use tokio::time::advance;
use yuccalink_transport::account::{
    AccountBounds, CONNECTION_BYTES, ClassBounds, Client, ClientAccount, ClientClass,
    ClientTimeouts, Exhausted, Phase,
};
use yuccalink_transport::request_body::{BodyBounds, Holding, RequestBodyError, read_chunks};

const KIB: usize = 1_024;
const BYTES: usize = 1_024 * KIB;
const RESERVE: usize = BYTES / 8;
const CALLERS: ClientClass = ClientClass::Callers;
const SLOW: Duration = Duration::from_secs(2);

fn account(connections: usize) -> Arc<ClientAccount> {
    let class = ClassBounds { connections, reserve: RESERVE };
    ClientAccount::new(AccountBounds { bytes: BYTES, connections, classes: [class; 4] })
}

fn holder(account: &Arc<ClientAccount>, class: ClientClass, bytes: usize) -> Client {
    let client = account.open(class);
    client.enter(Phase::Body);
    client.charge(bytes).expect("room");
    client
}

/// Guards against one class of clients that uses up what the others need.
#[tokio::test(start_paused = true)]
async fn callers_leave_the_reserves_of_the_other_classes() {
    let account = account(8);
    let mut clients = Vec::new();
    loop {
        let client = account.open(CALLERS);
        if client.charge(16 * KIB).is_err() {
            break;
        }
        clients.push(client);
    }
    assert_eq!(account.usage(CALLERS).held, BYTES - 3 * RESERVE);
    for class in [ClientClass::Control, ClientClass::Peers, ClientClass::Observers] {
        assert_eq!(account.open(class).charge(16 * KIB), Ok(()), "{class:?}");
    }
}

/// Guards against large bodies that leave no room for ordinary requests.
#[tokio::test(start_paused = true)]
async fn large_holders_leave_room_for_small_ones() {
    let account = account(8);
    let large: Vec<Client> = (0..)
        .map_while(|_| {
            let client = account.open(CALLERS);
            client.charge(64 * KIB).is_ok().then_some(client)
        })
        .collect();
    assert!(!large.is_empty());
    assert_eq!(account.open(CALLERS).charge(4 * KIB), Ok(()));
}

/// Guards against a crowd that stands still and holds the memory for as long as it likes.
#[tokio::test(start_paused = true)]
async fn a_client_that_stands_still_gives_way() {
    let account = account(8);
    let still = holder(&account, CALLERS, 400 * KIB);
    let newcomer = account.open(CALLERS);
    assert_eq!(newcomer.charge(200 * KIB), Err(Exhausted::Memory));
    advance(SLOW).await;
    assert_eq!(newcomer.charge(200 * KIB), Ok(()));
    still.sent_away().await;
    assert_eq!(still.charge(1), Err(Exhausted::Memory));
    drop(still);
    drop(newcomer);
    assert_eq!(account.usage(CALLERS).held, 0);
    assert_eq!(account.usage(CALLERS).gave_way, 1);
}

/// Guards against a crowd that sends a byte now and then to keep its memory.
#[tokio::test(start_paused = true)]
async fn a_client_that_sends_a_byte_now_and_then_gives_way() {
    let account = account(8);
    let slow = holder(&account, CALLERS, 400 * KIB);
    slow.transferred(400 * KIB);
    for _ in 0..5 {
        advance(Duration::from_millis(900)).await;
        slow.transferred(1);
    }
    assert_eq!(account.open(CALLERS).charge(200 * KIB), Ok(()));
    assert!(slow.is_sent_away());
}

/// Guards against a client that is sent away while it transfers at a good rate.
#[tokio::test(start_paused = true)]
async fn a_client_that_transfers_does_not_give_way() {
    let account = account(8);
    let steady = holder(&account, CALLERS, 400 * KIB);
    for _ in 0..50 {
        advance(Duration::from_millis(100)).await;
        steady.transferred(4 * KIB);
    }
    assert_eq!(account.open(CALLERS).charge(200 * KIB), Err(Exhausted::Memory));
    assert!(!steady.is_sent_away());
}

/// Guards against a request that is dropped after it was received in full.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_being_served_does_not_give_way() {
    let account = account(8);
    let served = holder(&account, CALLERS, 400 * KIB);
    served.enter(Phase::Serving);
    advance(10 * SLOW).await;
    assert_eq!(account.open(CALLERS).charge(200 * KIB), Err(Exhausted::Memory));
    assert!(!served.is_sent_away());
}

/// Guards against memory that is given away many times before it is free.
#[tokio::test(start_paused = true)]
async fn few_bytes_may_belong_to_clients_that_have_not_gone_yet() {
    let account = account(64);
    let still: Vec<Client> = (0..7).map(|_| holder(&account, CALLERS, 64 * KIB)).collect();
    advance(SLOW).await;
    let newcomers: Vec<Client> = (0..7).map(|_| account.open(CALLERS)).collect();
    let served = newcomers.iter().filter(|client| client.charge(64 * KIB).is_ok()).count();
    assert!((1..=3).contains(&served), "{served}");
    drop(still);
    let rest = newcomers.iter().filter(|client| client.held() == 0);
    assert!(rest.map(|client| client.charge(64 * KIB)).any(|charged| charged.is_ok()));
}

/// Guards against a body that waits for room that it will never get.
#[tokio::test(start_paused = true)]
async fn more_than_the_whole_room_is_too_large() {
    let client = account(8).open(CALLERS);
    assert_eq!(client.charge(BYTES), Err(Exhausted::TooLarge));
}

/// Guards against new connections that are shut out by silent ones.
#[tokio::test(start_paused = true)]
async fn the_longest_silent_connection_gives_way_to_a_new_one() {
    let account = account(2);
    let first = account.connect(CALLERS).expect("a place");
    advance(SLOW).await;
    let second = account.connect(CALLERS).expect("a place");
    second.set_known();
    let third = account.connect(CALLERS).expect("the place of the first");
    third.set_known();
    assert!(first.is_sent_away() && !second.is_sent_away() && !third.is_sent_away());
    assert_eq!(account.connect(CALLERS).map(drop), Err(Exhausted::Connections));
    assert_eq!(account.usage(CALLERS).open, 2);
    assert_eq!(account.usage(CALLERS).refused_connections, 1);
    drop((first, second, third));
    assert_eq!(account.usage(CALLERS).open, 0);
    assert_eq!(account.usage(CALLERS).held, 0);
}

/// Guards against other processes of the system that give way to connections that say nothing.
#[tokio::test(start_paused = true)]
async fn unknown_connections_give_way_before_known_ones() {
    let account = account(2);
    let known = account.connect(ClientClass::Peers).expect("a place");
    known.set_known();
    advance(SLOW).await;
    let unknown = account.connect(ClientClass::Peers).expect("a place");
    advance(SLOW).await;
    let _new = account.connect(ClientClass::Peers).expect("the place of the unknown one");
    assert!(unknown.is_sent_away() && !known.is_sent_away());
}

/// Guards against connections that outlast every time limit.
#[tokio::test(start_paused = true)]
async fn each_phase_has_a_time_limit() {
    let account = account(8);
    let timeouts = ClientTimeouts {
        idle: Duration::from_secs(15),
        head: Duration::from_secs(3),
        unread: Duration::from_secs(30),
    };
    for (phase, limit) in
        [(Phase::Idle, 15), (Phase::Head, 3), (Phase::Unread, 30), (Phase::Serving, 3_600)]
    {
        let client = account.connect(CALLERS).expect("a place");
        client.enter(phase);
        advance(Duration::from_secs(limit)).await;
        account.expire(CALLERS, timeouts);
        assert!(!client.is_sent_away(), "{phase:?}");
        // A byte now and then does not begin the phase anew.
        client.transferred(1);
        advance(Duration::from_millis(1)).await;
        account.expire(CALLERS, timeouts);
        assert_eq!(client.is_sent_away(), phase != Phase::Serving, "{phase:?}");
    }
    assert_eq!(account.usage(CALLERS).timed_out, 3);
    assert_eq!(CONNECTION_BYTES * account.usage(CALLERS).open, account.usage(CALLERS).held);
}

async fn read(
    account: &Arc<ClientAccount>,
    chunks: usize,
    size: usize,
    bytes: usize,
    ends: bool,
) -> (Result<usize, RequestBodyError>, usize) {
    let mut holding = Holding::new(account.open(CALLERS).into());
    let mut left = chunks;
    let next = async || {
        if left == 0 {
            return if ends { None } else { std::future::pending().await };
        }
        left -= 1;
        Some(Ok(vec![b'x'; size].into()))
    };
    let bounds = BodyBounds { bytes, time: Duration::from_secs(10) };
    let body = read_chunks(next, bounds, &mut holding).await;
    (body.map(|body| body.len()), account.usage(CALLERS).held)
}

/// Guards against a body that takes more than is charged, or that stays charged.
#[tokio::test(start_paused = true)]
async fn a_body_is_charged_until_it_is_dropped() {
    for size in [1, 7, 4_000] {
        let account = account(8);
        let (body, held) = read(&account, 40_000 / size, size, 64 * KIB, true).await;
        assert!(matches!(body, Ok(39_000..=40_000)), "{body:?}");
        assert!((40_000..=64 * KIB).contains(&held), "{held}");
        assert_eq!(account.usage(CALLERS).held, 0);
    }
}

/// Guards against a limit that is off by one, whatever the size of the chunks.
#[tokio::test(start_paused = true)]
async fn a_body_may_be_as_long_as_its_limit() {
    for size in [1, 1_000] {
        let account = account(8);
        assert_eq!(read(&account, 10_000 / size, size, 10_000, true).await.0, Ok(10_000));
        let longer = read(&account, 10_000 / size + 1, size, 10_000, true).await.0;
        assert_eq!(longer, Err(RequestBodyError::TooLarge(10_000)));
        assert_eq!(account.usage(CALLERS).held, 0);
    }
}

/// Guards against a body that never ends.
#[tokio::test(start_paused = true)]
async fn a_body_that_stops_short_of_its_end_is_given_up() {
    let account = account(8);
    let (body, _) = read(&account, 10, 1_000, 64 * KIB, false).await;
    assert_eq!(body, Err(RequestBodyError::TooSlow));
    assert_eq!(account.usage(CALLERS).held, 0);
}

/// Guards against a body that is read to its time limit although its memory is needed.
#[tokio::test(start_paused = true)]
async fn a_body_that_stands_still_ends_when_others_need_its_memory() {
    let account = account(8);
    let newcomer = async {
        tokio::time::sleep(SLOW).await;
        holder(&account, CALLERS, 400 * KIB)
    };
    let still = read(&account, 300, KIB, 400 * KIB, false);
    let ((body, _), newcomer) = tokio::join!(still, newcomer);
    assert_eq!(body, Err(RequestBodyError::NoRoom));
    drop(newcomer);
    assert_eq!(account.usage(CALLERS).held, 0);
}
