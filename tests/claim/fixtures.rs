use std::time::Duration;

use comfreychute::claim::{ClaimConfig, ClaimKey, StoredAnswer};
use comfreychute::id::{AttemptId, CallerId, InstanceId, RequestId};

/// Builds the key with the given number.
pub fn key_of(number: u8) -> ClaimKey {
    ClaimKey::new(
        &CallerId::from_name("press-house"),
        "orders",
        &format!("order-{number}"),
    )
}

/// Builds the attempt with the given number.
pub const fn attempt_of(number: u32) -> AttemptId {
    AttemptId::new(RequestId::from_u128(number as u128), 1)
}

/// Builds the name of an entry instance.
pub fn instance_of(entry: usize) -> InstanceId {
    InstanceId::from_name(&format!("entry-{entry}"))
}

/// Builds an answer that contains the attempt, so that mixed-up answers are detected.
pub fn answer_of(attempt: AttemptId) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: Some(attempt.to_string().into_bytes()),
    }
}

/// Builds a configuration with one shard and without random delays.
pub fn quick_config() -> ClaimConfig {
    ClaimConfig {
        shards: 1,
        retry_delay: Duration::ZERO,
        withdraw_delay: Duration::from_secs(2),
        ..ClaimConfig::default()
    }
}
