use proptest::prelude::*;

use crate::fake_store::CallResolution;

/// One step of an interleaving; `pick` selects one of the items that the step can apply to.
#[derive(Debug, Clone)]
pub enum SimulationStep {
    /// A request arrives or is resent.
    Claim { entry: usize, key: u8, body: u64 },
    /// The caller of a waiting claim disconnects.
    Disconnect { pick: usize },
    /// The object store resolves a call.
    Resolve {
        pick: usize,
        resolution: CallResolution,
    },
    /// A write that failed for its sender takes effect.
    RunDelayed { pick: usize },
    /// The holder of a claim writes its request to an upstream.
    Dispatch { pick: usize },
    /// The holder of a dispatched request records its answer.
    Finish { pick: usize },
    /// The holder of a claim abandons it before dispatch.
    Abandon { pick: usize },
    /// An entry instance is paused.
    Pause { entry: usize },
    /// A paused entry instance resumes.
    Resume { entry: usize },
    /// The wall clock and the timers advance.
    Advance { millis: u64 },
}

/// Generates interleavings of fewer than `length` steps, with stale reads if `has_stale_reads` is
/// set.
pub fn steps(length: usize, has_stale_reads: bool) -> impl Strategy<Value = Vec<SimulationStep>> {
    prop::collection::vec(step(has_stale_reads), 1..length)
}

fn step(has_stale_reads: bool) -> impl Strategy<Value = SimulationStep> {
    let stale_read = if has_stale_reads {
        CallResolution::StaleRead
    } else {
        CallResolution::Succeed
    };
    let pick = || 0..8_usize;
    let resolution = prop_oneof![
        4 => Just(CallResolution::Succeed),
        2 => Just(stale_read),
        2 => Just(CallResolution::LoseReply),
        1 => Just(CallResolution::Fail),
        2 => Just(CallResolution::Delay),
    ];
    // A reused key with another body is rare.
    let body = prop_oneof![9 => Just(1_u64), 1 => Just(2_u64)];
    prop_oneof![
        8 => (0..3_usize, 0..2_u8, body)
            .prop_map(|(entry, key, body)| SimulationStep::Claim { entry, key, body }),
        1 => pick().prop_map(|pick| SimulationStep::Disconnect { pick }),
        20 => (pick(), resolution)
            .prop_map(|(pick, resolution)| SimulationStep::Resolve { pick, resolution }),
        2 => pick().prop_map(|pick| SimulationStep::RunDelayed { pick }),
        3 => pick().prop_map(|pick| SimulationStep::Dispatch { pick }),
        3 => pick().prop_map(|pick| SimulationStep::Finish { pick }),
        2 => pick().prop_map(|pick| SimulationStep::Abandon { pick }),
        1 => (0..3_usize).prop_map(|entry| SimulationStep::Pause { entry }),
        2 => (0..3_usize).prop_map(|entry| SimulationStep::Resume { entry }),
        2 => (1..6_000_u64).prop_map(|millis| SimulationStep::Advance { millis }),
    ]
}
