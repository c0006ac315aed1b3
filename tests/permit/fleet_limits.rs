//! The limits of a weight store across changes of the holder, pauses and network partitions.

use std::time::Duration;

use comfreychute::table::StoreRow;
use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};

use crate::fixtures::{brannock, lanka};
use crate::fleet::Fleet;
use crate::fleet_event::{connected_events, partition_events};

/// Describes a window with more grants than rate and burst allow, if there is one.
fn excess(grants: &[Duration], rate: f64, burst: f64) -> Option<String> {
    for (first, start) in grants.iter().enumerate() {
        for (last, end) in grants.iter().enumerate().skip(first) {
            let count = u32::try_from(last - first + 1).expect("a few hundred grants");
            let window = end.saturating_sub(*start).as_secs_f64();
            if f64::from(count) > rate * window + burst + 1e-6 {
                return Some(format!(
                    "{count} grants from {start:?} to {end:?} exceed {rate}/s and a burst of {burst}"
                ));
            }
        }
    }
    None
}

fn stores() -> impl Strategy<Value = StoreRow> {
    prop_oneof![Just(lanka()), Just(brannock())]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("regressions"))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against exceeded limits because two holders grant at the same time: after a pause or
    /// a replacement, instances may disagree for a while on which of them is the holder.
    #[test]
    fn a_connected_network_keeps_the_limits(row in stores(), events in connected_events()) {
        let mut fleet = Fleet::new(&row, &[0, 1, 2, 0]);

        fleet.run(&events);

        let fault = excess(&fleet.grants, row.loads_per_second, f64::from(row.parallel));
        prop_assert!(fault.is_none(), "{fault:?}");
        prop_assert!(fleet.peak_in_flight <= row.max_in_flight as usize);
        prop_assert!(!fleet.grants.is_empty(), "the calm start grants something");
    }

    /// Guards against exceeded limits while the network is partitioned and each side grants its
    /// share, including partitions that separate only some pairs of domains.
    #[test]
    fn shares_keep_the_limits_during_partitions(row in stores(), events in partition_events()) {
        let domains = 3;
        let mut fleet = Fleet::new(&row, &[0, 1, 2, 0]);

        fleet.run(&events);

        // Each side may start one load immediately and have one in flight, however small its share.
        let burst = f64::from(row.parallel.max(domains));
        let fault = excess(&fleet.grants, row.loads_per_second, burst);
        prop_assert!(fault.is_none(), "{fault:?}");
        prop_assert!(fleet.peak_in_flight <= (row.max_in_flight + domains) as usize);
    }
}
