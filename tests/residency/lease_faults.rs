//! The lease of a failure domain while processes restart, and replies and writes are lost or late.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::lease_fleet::{ALL_KINDS, Fault, FaultKind, INSTANCES, play};

/// The length of a simulated run.
const RUN_LENGTH: Duration = Duration::from_secs(40);

/// Cases in CI; `LEASE_CASES` sets another number.
const CASES: u32 = 2000;

fn cases() -> u32 {
    let text = std::env::var("LEASE_CASES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let kind = prop::sample::select(ALL_KINDS.to_vec());
    (
        kind,
        0..INSTANCES,
        0..INSTANCES,
        0..30_000_u64,
        200..9_000_u64,
    )
        .prop_map(|(kind, index, other, start, length)| Fault {
            kind,
            index,
            other,
            start,
            length,
        })
}

fn fault(kind: FaultKind, index: usize, start: u64, length: u64) -> Fault {
    Fault {
        kind,
        index,
        other: index,
        start,
        length,
    }
}

/// Guards against restarted peers that confirm a holder whose successor restarted with them.
#[test]
fn former_holder_is_not_confirmed_by_restarted_peers() {
    let faults = [
        fault(FaultKind::Pause, 0, 5_000, 6_500),
        fault(FaultKind::StoreBusy, 0, 10_700, 3_000),
        fault(FaultKind::RestartOthers, 0, 11_000, 300),
    ];

    let played = play(&faults, RUN_LENGTH);

    assert!(played.is_ok(), "{}", played.unwrap_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against orders of two instances within the quiet time, and against descending fencing
    /// tokens, under any combination of faults.
    #[test]
    fn orders_are_apart_and_their_tokens_ascend(
        faults in prop::collection::vec(any_fault(), 0..10),
    ) {
        if let Err(violation) = play(&faults, RUN_LENGTH) {
            prop_assert!(false, "{violation}");
        }
    }
}
