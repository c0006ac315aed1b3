//! Streams that are cut, resumed, cancelled, truncated, duplicated, swapped or silent.

use std::time::Duration;

use comfreychute::upstream::{AnswerStream, EngineClient};
use comfreychute::{ErrorKind, RunState};

use crate::fixture::{attempt, call, engine, expected_text, name, read_text, until};

/// Short enough for a test that waits for it, long enough for a reply on a busy machine.
const SHORT: Duration = Duration::from_secs(2);

/// Reads until the answer breaks; returns the text so far and the error.
async fn read_until_broken(answer: &mut AnswerStream) -> (String, comfreychute::Error) {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Ok(Some(event)) => text.push_str(&event.text),
            Ok(None) => panic!("the answer should break after {text:?}"),
            Err(error) => return (text, error),
        }
    }
}

/// Guards against a resumed answer that repeats, skips or alters tokens.
#[tokio::test]
async fn a_cut_answer_resumes_byte_for_byte() {
    let (engine, client) = engine(|settings| settings.cut_answers = 1, &["a"]).await;
    let mut answer = client.complete(&call(1, "a", 10)).await.unwrap();

    let (mut text, error) = read_until_broken(&mut answer).await;
    let next = answer.next_token();
    let mut rest = client.resume(attempt(1), next).await.unwrap();
    text.push_str(&read_text(&mut rest).await.unwrap());

    assert_eq!(next, 5);
    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(error.run_state(), RunState::Ran);
    assert_eq!(text, expected_text(1, "a", 10));
    assert_eq!(engine.counters().resumes, 1);
    assert_eq!(engine.counters().completions, 1);
}

/// Guards against answers that are lost although the engine goes on after all connections broke.
#[tokio::test]
async fn cut_streams_go_on_at_the_engine() {
    let (engine, client) = engine(
        |settings| settings.token_interval = Duration::from_millis(20),
        &["a"],
    )
    .await;
    let mut answer = client.complete(&call(1, "a", 20)).await.unwrap();
    let first = answer.next().await.unwrap().unwrap();

    engine.cut_streams();
    let (_, error) = read_until_broken(&mut answer).await;
    let mut rest = client.resume(attempt(1), 1).await.unwrap();
    let text = first.text + &read_text(&mut rest).await.unwrap();

    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(text, expected_text(1, "a", 20));
    assert_eq!(engine.counters().tokens, 20);
}

/// Guards against answers that are kept for ever, which would exhaust an engine's memory.
#[tokio::test]
async fn an_answer_expires() {
    let (engine, client) = engine(
        |settings| settings.resume_time = Duration::from_millis(20),
        &["a"],
    )
    .await;
    let mut answer = client.complete(&call(1, "a", 2)).await.unwrap();
    read_text(&mut answer).await.unwrap();
    drop(answer);

    until("the answer expired", || engine.kept_answers() == 0).await;
    let error = client.resume(attempt(1), 0).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::NotFound);
}

/// Guards against a cancelled request that occupies the engine, and against preemption that loses
/// the answer so far.
#[tokio::test]
async fn a_cancelled_attempt_frees_the_engine_and_resumes() {
    let (engine, client) = engine(
        |settings| {
            settings.max_running = 1;
            settings.token_interval = Duration::from_millis(10);
        },
        &["a"],
    )
    .await;
    let mut long = client.complete(&call(1, "a", 30)).await.unwrap();
    let first = long.next().await.unwrap().unwrap();

    client.cancel(attempt(1)).await.unwrap();
    let (more, error) = read_until_broken(&mut long).await;
    let next = long.next_token();
    let mut urgent = client.complete(&call(2, "a", 2)).await.unwrap();
    let urgent_text = read_text(&mut urgent).await.unwrap();
    let mut rest = client.resume(attempt(1), next).await.unwrap();
    let text = first.text + &more + &read_text(&mut rest).await.unwrap();

    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(urgent_text, expected_text(2, "a", 2));
    assert_eq!(text, expected_text(1, "a", 30));
    assert_eq!(engine.counters().peak_running, 1);
    assert_eq!(engine.counters().cancels, 1);
}

/// Guards against a cancel of an unknown attempt that fails, as it does after a lost reply.
#[tokio::test]
async fn a_repeated_cancel_succeeds() {
    let (_engine, client) = engine(|_| (), &["a"]).await;

    let outcome = client.cancel(attempt(9)).await;

    outcome.unwrap();
}

/// Guards against a truncated answer that is taken for a complete one.
#[tokio::test]
async fn an_answer_without_end_marker_is_truncated() {
    let (_engine, client) = engine(|settings| settings.truncate_answers = 1, &["a"]).await;
    let mut answer = client.complete(&call(1, "a", 10)).await.unwrap();

    let (text, error) = read_until_broken(&mut answer).await;

    assert_eq!(text, expected_text(1, "a", 5));
    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(error.run_state(), RunState::Ran);
}

/// Guards against repeated events that reach the caller twice.
#[tokio::test]
async fn repeated_events_are_dropped() {
    let (_engine, client) = engine(|settings| settings.duplicate_answers = 1, &["a"]).await;
    let mut answer = client.complete(&call(1, "a", 10)).await.unwrap();

    let text = read_text(&mut answer).await.unwrap();

    assert_eq!(text, expected_text(1, "a", 10));
}

/// Guards against swapped answers that can't be told from the right ones.
#[tokio::test]
async fn swapped_answers_name_the_other_attempt() {
    let (engine, client) = engine(
        |settings| settings.token_interval = Duration::from_millis(20),
        &["a", "b"],
    )
    .await;
    let mut first = client.complete(&call(1, "a", 10)).await.unwrap();
    first.next().await.unwrap().unwrap();

    engine.change(|settings| settings.swap_answers = 1);
    let mut second = client.complete(&call(2, "b", 10)).await.unwrap();
    let strange = second.next().await.unwrap().unwrap();
    let foreign = loop {
        let event = first.next().await.unwrap().unwrap();
        if event.attempt != attempt(1) {
            break event;
        }
    };

    assert_eq!(strange.attempt, attempt(1));
    assert_eq!(&strange.adapter, name("a").adapter());
    assert_eq!(foreign.attempt, attempt(2));
    assert_eq!(&foreign.adapter, name("b").adapter());
}

/// Guards against streams on unresponsive connections that are waited for without limit, and
/// against clients that keep using such connections.
#[tokio::test]
async fn a_silent_connection_is_given_up() {
    let (engine, _) = engine(
        |settings| settings.token_interval = Duration::from_millis(20),
        &["a"],
    )
    .await;
    let client = EngineClient::new(engine.address(), SHORT);
    // Leaves idle connections in the pool.
    let (left, right) = tokio::join!(client.status(), client.status());
    left.and(right).unwrap();
    let mut answer = client.complete(&call(1, "a", 50)).await.unwrap();
    let first = answer.next().await.unwrap().unwrap();

    engine.silence();
    let (more, error) = read_until_broken(&mut answer).await;
    let mut rest = client
        .resume(attempt(1), answer.next_token())
        .await
        .unwrap();
    let text = first.text + &more + &read_text(&mut rest).await.unwrap();

    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(text, expected_text(1, "a", 50));
}

/// Guards against a request that waits for a slot being taken for a silent connection.
#[tokio::test]
async fn a_waiting_request_is_not_silent() {
    let (_engine, _) = engine(|_| (), &[]).await;
    let (engine, loader) = engine(
        |settings| {
            settings.max_running = 1;
            settings.token_interval = Duration::from_millis(100);
        },
        &["a"],
    )
    .await;
    let client = EngineClient::new(engine.address(), SHORT);
    // Runs longer than the timeout of the second client.
    let mut long = loader.complete(&call(1, "a", 25)).await.unwrap();
    long.next().await.unwrap();

    let mut waiting = client.complete(&call(2, "a", 1)).await.unwrap();
    let text = read_text(&mut waiting).await.unwrap();

    assert_eq!(text, expected_text(2, "a", 1));
}

/// Guards against a marker that does not crash the engine, and against a crash that spares the
/// requests in flight.
#[tokio::test]
async fn a_request_with_the_marker_crashes_the_engine() {
    let (engine, client) = engine(
        |settings| {
            settings.crash_marker = "prompt 66".to_owned();
            settings.token_interval = Duration::from_secs(10);
        },
        &["a"],
    )
    .await;
    let mut bystander = client.complete(&call(1, "a", 4)).await.unwrap();
    let incarnation = engine.status().incarnation;

    let crashing = match client.complete(&call(66, "a", 4)).await {
        Ok(mut answer) => read_text(&mut answer).await.unwrap_err(),
        Err(error) => error,
    };
    let cut = read_text(&mut bystander).await.unwrap_err();

    assert_eq!(crashing.run_state(), RunState::Unknown);
    assert_eq!(cut.kind(), ErrorKind::Truncated);
    assert_eq!(engine.counters().crashes, 1);
    assert_ne!(engine.status().incarnation, incarnation);
    assert_eq!(engine.status().resident, []);
}
