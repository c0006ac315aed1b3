//! Property tests of the upstream scheduler with random sequences of events.

mod policy_model;

use std::time::Duration;

use policy_model::{EngineModel, ModelEvent, small_config};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_260_401),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_event() -> impl Strategy<Value = ModelEvent> {
    let offer = (0..3_usize, 0..8_usize, 1..200_u32, 0..20_000_u64, 0..20_u32).prop_map(
        |(rank, adapter, tokens, timeout_ms, exclusive)| ModelEvent::Offer {
            rank,
            adapter,
            tokens,
            timeout_ms,
            is_exclusive: exclusive == 0,
        },
    );
    prop_oneof![
        8 => offer,
        5 => any::<usize>().prop_map(ModelEvent::Grant),
        4 => (any::<usize>(), prop::bool::weighted(0.8))
            .prop_map(|(choice, is_ok)| ModelEvent::LoadEnd(choice, is_ok)),
        4 => (any::<usize>(), prop::bool::weighted(0.9))
            .prop_map(|(choice, is_ok)| ModelEvent::EvictEnd(choice, is_ok)),
        5 => any::<usize>().prop_map(ModelEvent::Finish),
        1 => any::<usize>().prop_map(ModelEvent::Withdraw),
        1 => Just(ModelEvent::Restart),
        3 => Just(ModelEvent::Tick),
        1 => (1..8_usize).prop_map(ModelEvent::UnexpectedEnds),
    ]
}

fn any_events() -> impl Strategy<Value = Vec<(ModelEvent, u64)>> {
    prop::collection::vec((any_event(), 0..1_500_u64), 1..160)
}

proptest! {
    #![proptest_config(fixed_seed(400))]

    /// Guards against evicting an adapter in use, exceeding `max_running` or the slots, loading
    /// without a valid permit, refusing a request that ran, and losing or duplicating a request.
    #[test]
    fn keeps_invariants_in_any_order_of_events(events in any_events()) {
        let mut model = EngineModel::new(small_config());

        for (event, step_ms) in &events {
            model.advance(Duration::from_millis(*step_ms));
            model.feed(event);
        }
        model.drain();

        prop_assert!(model.waiting.is_empty(), "{} requests never end", model.waiting.len());
        prop_assert_eq!(model.offered, model.ended);
    }

    /// Guards against the same faults with the configuration of the baseline policies in
    /// `crates/measure`: LRU eviction, bids without regard to slots, no headroom, no batch hold.
    #[test]
    fn keeps_invariants_with_the_baseline_config(events in any_events()) {
        let mut config = small_config();
        config.eviction = comfreychute::policy::EvictionRule::LeastRecentlyUsed;
        config.bids_need_slot = false;
        config.headroom = 0;
        config.batch_hold = Duration::ZERO;
        let mut model = EngineModel::new(config);

        for (event, step_ms) in &events {
            model.advance(Duration::from_millis(*step_ms));
            model.feed(event);
        }
        model.drain();

        prop_assert!(model.waiting.is_empty(), "{} requests never end", model.waiting.len());
        prop_assert_eq!(model.offered, model.ended);
    }
}
