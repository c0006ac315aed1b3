//! Answers of an engine without faults.

use comfreychute::ErrorKind;

use crate::fixture::{call, engine, expected_text, name, read_text};

/// Guards against lost or altered tokens, and against events that lack their attribution.
#[tokio::test]
async fn an_answer_is_complete_and_attributed() {
    let (engine, client) = engine(|_| (), &["poppy"]).await;
    let call = call(1, "poppy", 12);

    let mut answer = client.complete(&call).await.unwrap();

    let mut text = String::new();
    let mut finish = None;
    let mut tokens = 0;
    while let Some(event) = answer.next().await.unwrap() {
        assert_eq!(event.attempt, call.attempt);
        assert_eq!(&event.adapter, name("poppy").adapter());
        assert_eq!(event.token, tokens);
        tokens += 1;
        text.push_str(&event.text);
        finish = event.finish;
    }
    assert_eq!(text, expected_text(1, "poppy", 12));
    assert_eq!(finish.as_deref(), Some("length"));
    assert_eq!(engine.counters().finished, 1);
}

/// Guards against answers that depend on anything but adapter, prompt and index.
#[tokio::test]
async fn adapters_give_different_texts() {
    let (_engine, client) = engine(|_| (), &["poppy", "sage"]).await;

    let mut first = client.complete(&call(1, "poppy", 4)).await.unwrap();
    let mut second = client.complete(&call(2, "sage", 4)).await.unwrap();

    assert_eq!(
        read_text(&mut first).await.unwrap(),
        expected_text(1, "poppy", 4)
    );
    assert_eq!(
        read_text(&mut second).await.unwrap(),
        expected_text(2, "sage", 4)
    );
}

/// Guards against running a request on an adapter that is not loaded.
#[tokio::test]
async fn an_adapter_that_is_not_loaded_is_refused() {
    let (engine, client) = engine(|_| (), &["poppy"]).await;

    let error = client.complete(&call(1, "sage", 4)).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::NotFound);
    assert_eq!(engine.counters().completions, 0);
}
