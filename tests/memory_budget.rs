//! The budget for the memory and the connections of callers, and whom it sheds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use comfreychute::memory::{AllocatedBytes, MemoryBudget, MemoryGrant, MemoryLimits};
use comfreychute::policy::{
    HolderPhase, MemoryHolder, STALL_TIME, choose_connection_shed, choose_memory_shed,
    has_stopped_sending, may_take_place,
};
use comfreychute::telemetry::MetricSink;
use comfreychute::time::ClockSource;
use proptest::prelude::*;

/// Limit of the tested budgets in bytes, and the largest body of a request.
const LIMIT: usize = 600_000;
const BODY_BYTES: usize = 200_000;

const NOW: Duration = Duration::from_secs(100);

fn holder(bytes: usize, phase: HolderPhase, still: Duration) -> MemoryHolder {
    MemoryHolder {
        bytes,
        phase,
        moved_at: NOW.saturating_sub(still),
    }
}

fn budget(connections: usize) -> (Arc<MemoryBudget>, ClockSource) {
    let limits = MemoryLimits {
        bytes: LIMIT,
        process_bytes: usize::MAX,
        connections,
        upstream_connections: usize::MAX,
    };
    budget_of(limits, Box::new(|| 0))
}

fn budget_of(limits: MemoryLimits, allocated: AllocatedBytes) -> (Arc<MemoryBudget>, ClockSource) {
    let clock = ClockSource::virtual_time();
    let budget = MemoryBudget::new(limits, allocated, clock.clone(), MetricSink::in_memory());
    (budget, clock)
}

/// A budget whose limits are the process's, of which everything but callers takes `others` bytes.
fn budget_beside(others: usize) -> (Arc<MemoryBudget>, ClockSource) {
    let limits = MemoryLimits {
        bytes: usize::MAX,
        process_bytes: LIMIT,
        connections: 10,
        upstream_connections: usize::MAX,
    };
    budget_of(limits, Box::new(move || others))
}

async fn admit(budget: &Arc<MemoryBudget>) -> MemoryGrant {
    budget.admit().await.expect("room for a connection")
}

fn send_body(grant: &MemoryGrant, bytes: usize) -> bool {
    let _is_ahead = grant.begin_request();
    let part = vec![b'x'; 10_000];
    (0..bytes / part.len()).all(|_| grant.append_body(&part, BODY_BYTES).is_ok())
}

/// Guards against ordinary requests that are shed in place of large ones or of stalled ones.
#[test]
fn memory_is_taken_from_stalled_then_unread_then_large_requests() {
    let moving = Duration::ZERO;
    let mut holders = vec![
        (
            "small stalled",
            holder(10, HolderPhase::Arriving, STALL_TIME),
        ),
        (
            "large stalled",
            holder(20, HolderPhase::Arriving, STALL_TIME),
        ),
        ("unread", holder(90, HolderPhase::Blocked, STALL_TIME)),
        ("briefly unread", holder(90, HolderPhase::Blocked, moving)),
        ("large", holder(80, HolderPhase::Arriving, moving)),
        ("small", holder(10, HolderPhase::Arriving, moving)),
        ("served", holder(99, HolderPhase::Served, STALL_TIME)),
        ("idle", holder(0, HolderPhase::Idle, STALL_TIME)),
    ];
    let mut order = Vec::new();

    while let Some(name) = choose_memory_shed(holders.iter().copied(), NOW) {
        holders.retain(|(known, _)| *known != name);
        order.push(name);
    }

    let expected = ["large stalled", "small stalled", "unread", "large", "small"];
    assert_eq!(order, expected);
}

/// Guards against served requests that are cut off for new connections.
#[test]
fn connections_are_closed_from_the_longest_still_and_never_while_served() {
    let seconds = Duration::from_secs;
    let mut holders = vec![
        ("new", holder(0, HolderPhase::Idle, seconds(0))),
        ("idle", holder(0, HolderPhase::Idle, seconds(3))),
        ("stalled", holder(9, HolderPhase::Arriving, seconds(2))),
        ("arriving", holder(9, HolderPhase::Arriving, seconds(0))),
        ("unread", holder(9, HolderPhase::Blocked, seconds(9))),
        ("served", holder(9, HolderPhase::Served, seconds(9))),
    ];
    let mut order = Vec::new();

    while let Some(name) = choose_connection_shed(holders.iter().copied(), NOW) {
        holders.retain(|(known, _)| *known != name);
        order.push(name);
    }

    assert_eq!(order, ["stalled", "idle", "new", "arriving", "unread"]);
}

/// Guards against limits that ordinary callers of the smallest machine in use meet.
#[test]
fn smallest_machine_has_room_for_several_of_the_largest_bodies() {
    let limits = MemoryLimits::for_machine(Some(112 << 20), Some(2870));

    assert!(limits.bytes >= 8 * 4_000_000, "{} bytes", limits.bytes);
    assert_eq!(limits.connections, 448);
    assert_eq!(limits.upstream_connections, 1068);
    assert_eq!(
        MemoryLimits::for_machine(None, None),
        MemoryLimits::unlimited()
    );
}

/// Guards against a request of legal size that is refused although nothing else is in progress.
#[tokio::test]
async fn single_body_of_the_largest_size_is_served_whatever_the_limit() {
    let (budget, _clock) = budget(10);
    let grant = admit(&budget).await;
    let part = vec![b'x'; 2 * LIMIT];

    let _is_ahead = grant.begin_request();
    grant.append_body(&part, part.len()).expect("room for it");
    let body = grant.finish_body().expect("the body is whole");

    assert_eq!(body.len(), 2 * LIMIT);
}

/// Guards against memory that stays charged to a body which was shed, and against a body that is
/// forwarded although its caller was told that it has not run.
#[tokio::test]
async fn stalled_body_makes_room_for_a_new_one() {
    let (budget, clock) = budget(10);
    let stalled = admit(&budget).await;
    let others = [admit(&budget).await, admit(&budget).await];
    assert!(send_body(&stalled, BODY_BYTES / 2));
    clock.advance(STALL_TIME);
    assert!(others.iter().all(|grant| send_body(grant, BODY_BYTES)));
    let last = admit(&budget).await;

    assert!(send_body(&last, BODY_BYTES / 2));

    stalled.shed().await;
    stalled.finish_body().expect_err("its body was shed");
    for grant in others.iter().chain([&last]) {
        grant.finish_body().expect("its body is whole");
    }
    assert!(budget.used_bytes() <= LIMIT);
}

/// Guards against new callers that are kept out by idle connections, and against more connections than the
/// limit while one is being closed.
#[tokio::test]
async fn idle_connection_is_closed_for_a_new_one_but_served_ones_are_not() {
    let (budget, _clock) = budget(2);
    let (idle, served) = (admit(&budget).await, admit(&budget).await);
    assert!(send_body(&served, 10_000));
    let _body = served.finish_body().expect("the body is whole");
    let closing = tokio::spawn(async move {
        idle.closed().await;
        drop(idle);
    });

    let new = admit(&budget).await;

    closing.await.expect("the idle connection was closed");
    assert!(send_body(&new, 10_000));
    let _body = new.finish_body().expect("the body is whole");
    assert!(budget.admit().await.is_none());
}

/// Guards against large bodies beside a process that holds much for other reasons, and against ordinary
/// requests that are refused with them.
#[tokio::test]
async fn process_that_has_allocated_much_takes_ordinary_requests_only() {
    let (budget, _clock) = budget_beside(LIMIT);
    let (small, large) = (admit(&budget).await, admit(&budget).await);

    assert!(send_body(&small, 10_000));
    let _served = small.finish_body().expect("the body is whole");

    assert!(!send_body(&large, BODY_BYTES));
}

/// Guards against a long event that is held back while no memory is left for it.
#[tokio::test]
async fn incomplete_event_is_passed_on_when_the_process_has_allocated_much() {
    let (calm, _clock) = budget_beside(0);
    let (short, _clock) = budget_beside(LIMIT);
    let others = [admit(&calm).await, admit(&short).await];
    assert!(others.iter().all(|grant| send_body(grant, 10_000)));
    let served = others.each_ref().map(MemoryGrant::finish_body);
    let (in_calm, in_shortage) = (admit(&calm).await, admit(&short).await);

    assert!(!in_calm.set_event(BODY_BYTES));
    assert!(!in_shortage.set_event(10_000));
    assert!(in_shortage.set_event(BODY_BYTES));

    drop((in_calm, in_shortage, others, served));
    assert_eq!((calm.used_bytes(), short.used_bytes()), (0, 0));
}

/// Guards against callers that are closed one after the other while the memory of the first is returned.
#[tokio::test]
async fn one_unread_answer_is_closed_for_a_small_request() {
    let (budget, clock) = budget(10);
    let unread = [admit(&budget).await, admit(&budget).await];
    for grant in &unread {
        let _is_ahead = grant.begin_request();
        grant.add_answer(LIMIT / 2);
        grant.record_blocked();
    }
    clock.advance(STALL_TIME);
    let new = admit(&budget).await;

    assert!(send_body(&new, 10_000));

    let closed = unread.iter().filter(|grant| grant.is_closed());
    assert_eq!(closed.count(), 1);
}

/// Guards against callers that wait for their answers and are taken for ones that don't.
#[tokio::test]
async fn request_is_sent_ahead_if_its_head_arrives_before_the_answer() {
    let (budget, _clock) = budget(10);
    let grant = admit(&budget).await;

    grant.add_head(100).expect("room for it");
    let first = grant.begin_request();
    grant.end_request();
    let ahead = grant.begin_request();
    grant.end_request();
    grant.add_head(100).expect("room for it");
    let in_turn = grant.begin_request();

    assert_eq!((first, ahead, in_turn), (false, true, false));
}

/// Guards against callers that send many requests at once and take all places from those that wait.
#[test]
fn requests_sent_ahead_leave_half_of_the_places() {
    let ahead: Vec<bool> = (0..4).map(|used| may_take_place(used, 4, true)).collect();
    let in_turn: Vec<bool> = (0..4).map(|used| may_take_place(used, 4, false)).collect();

    assert_eq!(ahead, [true, true, false, false]);
    assert_eq!(in_turn, [true; 4]);
}

/// Guards against 408 for callers whose bytes the process has read too slowly.
#[test]
fn body_that_is_late_is_the_fault_of_a_caller_that_sends_nothing() {
    let millis = Duration::from_millis;

    assert!(has_stopped_sending(STALL_TIME, millis(6000)));
    assert!(has_stopped_sending(millis(200), millis(300)));
    assert!(!has_stopped_sending(millis(100), millis(300)));
    assert!(!has_stopped_sending(millis(400), millis(6000)));
}

/// One step of a connection; the first number chooses it.
fn steps() -> impl Strategy<Value = Vec<(usize, u8, usize)>> {
    prop::collection::vec((0..6_usize, 0..12_u8, 1..90_000_usize), 1..200)
}

proptest! {
    /// Guards against charges that are not returned, or returned twice, in some order of arrival, stall,
    /// reset and completion, and against a budget that is overdrawn by more than unread answers.
    #[test]
    fn charges_are_returned_in_every_order(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread().build();
        runtime.expect("a runtime").block_on(async {
            let (budget, clock) = budget(100);
            let mut grants: [Option<MemoryGrant>; 6] = Default::default();
            let mut bodies: Vec<Bytes> = Vec::new();
            let mut answers = 0;
            let mut has_head = [false; 6];
            for (index, action, size) in steps {
                let Some(grant) = &grants[index] else {
                    grants[index] = Some(admit(&budget).await);
                    continue;
                };
                match action {
                    0 => has_head[index] |= grant.add_head((size / 10).max(1)).is_ok(),
                    1 => assert!(!grant.begin_request() || !has_head[index]),
                    2..=4 => drop(grant.append_body(&vec![0; size], BODY_BYTES)),
                    5 => bodies.extend(grant.finish_body()),
                    6 => grant.discard_body(),
                    11 => drop(grant.set_event(size / 10)),
                    7 => {
                        grant.add_answer(size / 10);
                        answers += size / 10;
                    }
                    8 => grant.record_written(size),
                    9 => {
                        grant.record_blocked();
                        clock.advance(STALL_TIME / 2);
                    }
                    _ if size % 3 == 0 => {
                        grants[index] = None;
                        has_head[index] = false;
                    }
                    _ if size % 3 == 1 => {
                        grant.end_request();
                        has_head[index] = false;
                    }
                    _ => bodies.clear(),
                }
                // A single connection may exceed the limit.
                let bound = LIMIT + answers + BODY_BYTES;
                assert!(budget.used_bytes() <= bound, "{} bytes", budget.used_bytes());
            }
            drop(grants);
            bodies.clear();
            assert_eq!(budget.used_bytes(), 0);
        });
    }
}
