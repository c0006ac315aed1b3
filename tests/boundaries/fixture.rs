use std::time::Duration;

use bytes::Bytes;
use comfreychute::id::{AdapterRef, AttemptId, EngineName, OwnerEpoch, RequestId, RequestRank};
use comfreychute::upstream::{AnswerStream, EngineCall, EngineClient};
use comfreychute_standins::EngineStandin;
use comfreychute_standins::engine::{EngineSettings, TokenText};

/// Bounds each wait for something that must happen; far above what a busy machine needs.
pub(crate) const LONG: Duration = Duration::from_secs(30);

/// The epoch of the first owner.
pub(crate) fn epoch() -> OwnerEpoch {
    OwnerEpoch::after(&[], "first")
}

/// The name of an adapter loaded by the first owner.
pub(crate) fn name(adapter: &str) -> EngineName {
    EngineName::new(AdapterRef::new(adapter, "1").unwrap(), epoch())
}

/// The first attempt of request `number`.
pub(crate) fn attempt(number: u128) -> AttemptId {
    AttemptId::new(RequestId::from_u128(number), 1)
}

/// A completion of `tokens` tokens.
pub(crate) fn call(number: u128, adapter: &str, tokens: u64) -> EngineCall {
    EngineCall {
        attempt: attempt(number),
        name: name(adapter),
        epoch: epoch(),
        rank: RequestRank::Standard,
        body: Bytes::from(format!(
            r#"{{"model":"base/{adapter}@1","prompt":"prompt {number}","max_tokens":{tokens}}}"#
        )),
    }
}

/// The text that the engine must give for [`call`].
pub(crate) fn expected_text(number: u128, adapter: &str, tokens: u64) -> String {
    let prompt = serde_json::Value::from(format!("prompt {number}"));
    TokenText::new(name(adapter).adapter(), TokenText::digest(&prompt)).whole(tokens)
}

/// An engine with quick loads, the adapters loaded, and a client of it.
pub(crate) async fn engine(
    change: impl FnOnce(&mut EngineSettings),
    adapters: &[&str],
) -> (EngineStandin, EngineClient) {
    let mut settings = EngineSettings {
        load_time: Duration::from_millis(5),
        token_interval: Duration::from_millis(1),
        ..EngineSettings::default()
    };
    change(&mut settings);
    let engine = EngineStandin::start(settings).await.unwrap();
    let client = EngineClient::new(engine.address(), LONG);
    for adapter in adapters {
        client.load(&name(adapter), epoch()).await.unwrap();
    }
    (engine, client)
}

/// Reads an answer to its end marker and returns its text.
pub(crate) async fn read_text(answer: &mut AnswerStream) -> comfreychute::Result<String> {
    let mut text = String::new();
    while let Some(event) = answer.next().await? {
        text.push_str(&event.text);
    }
    Ok(text)
}

/// Waits until a condition holds; panics after [`LONG`].
pub(crate) async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + LONG;
    while !condition() {
        assert!(tokio::time::Instant::now() < end, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
