//! Property tests of the permit bucket, the retry budget and the suspect list.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreychute::id::{AdapterRef, InstanceId, RequestRank, UpstreamId};
use comfreychute::policy::{
    LoadBid, PermitBucket, PermitConfig, RetryBudget, SuspectList, SuspectVerdict,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(20_260_402),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn permit_config() -> PermitConfig {
    PermitConfig {
        rate: 4.5,
        burst: 2,
        max_in_flight: 6,
        load_time: Duration::from_millis(250),
        longest_load: Duration::from_secs(5),
        floors: [0.5, 0.25, 0.1],
    }
}

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(&format!("adapter-{index}"), "1").expect("the name is valid")
}

/// Returns the maximum number of grants in any window of the given length that starts at a grant.
fn max_in_window(grants: &[Duration], window: Duration) -> usize {
    grants
        .iter()
        .map(|start| {
            grants
                .iter()
                .filter(|at| *at >= start && **at < *start + window)
                .count()
        })
        .max()
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Guards against grants beyond the rate of the store in any window, beyond its limit of loads
    /// in flight, or during the initial wait of a new bucket.
    #[test]
    fn grants_never_exceed_the_limits(
        steps in prop::collection::vec((0..900_u64, 0..12_usize, 0..4_u32, 1..4_u32), 1..300),
    ) {
        let config = permit_config();
        let mut bucket = PermitBucket::new(config.clone(), Duration::ZERO);
        let upstream = UpstreamId::from_name("worker");
        let (mut now, mut grants, mut open) = (Duration::ZERO, Vec::new(), Vec::new());

        for (step_ms, index, done, reachable) in steps {
            now += Duration::from_millis(step_ms);
            bucket.set_domain_share(reachable, 3, now);
            let rank = RequestRank::ALL[index % 3];
            let bid = LoadBid::new(adapter(index), rank, 1.0);
            bucket.bid(&upstream, &bid.adapter, bid.value);
            for grant in bucket.grants(now) {
                grants.push(now);
                open.push((grant.permit, now));
            }
            open.retain(|(_, at)| now < *at + config.longest_load);
            prop_assert!(open.len() <= config.max_in_flight as usize);
            if done == 0 && !open.is_empty() {
                bucket.release(open.remove(0).0);
            }
        }

        prop_assert!(grants.first().is_none_or(|first| *first >= config.longest_load));
        for seconds in [1_u32, 2, 5, 20] {
            let most = max_in_window(&grants, Duration::from_secs(u64::from(seconds)));
            let limit = f64::from(config.burst) + config.rate * f64::from(seconds);
            let most = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
            prop_assert!(most <= limit + 1e-6, "{most} grants in {seconds} s");
        }
    }

    /// Guards against the two sides of a partition together granting more than the limit.
    #[test]
    fn shares_of_a_partition_sum_to_the_limit(reachable in 1..3_u32, length in 6..60_u64) {
        let config = permit_config();
        let (mut left, mut right) = (
            PermitBucket::new(config.clone(), Duration::ZERO),
            PermitBucket::new(config.clone(), Duration::ZERO),
        );
        left.set_domain_share(reachable, 3, Duration::ZERO);
        right.set_domain_share(3 - reachable, 3, Duration::ZERO);
        let upstream = UpstreamId::from_name("worker");
        let mut grants = Vec::new();

        for tick in 0..length * 100 {
            let now = Duration::from_millis(tick * 10);
            for bucket in [&mut left, &mut right] {
                bucket.bid(&upstream, &adapter(0), 1.0);
                for grant in bucket.grants(now) {
                    bucket.release(grant.permit);
                    grants.push(now);
                }
            }
        }

        for seconds in [1_u32, 5, 20] {
            let most = max_in_window(&grants, Duration::from_secs(u64::from(seconds)));
            // The burst of each side is at least one, so their sum may exceed the burst by one.
            let limit = f64::from(config.burst + 1) + config.rate * f64::from(seconds);
            let most = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
            prop_assert!(most <= limit, "{most} grants in {seconds} s");
        }
    }

    /// Guards against more than 1.1 upstream calls per request during an outage, when every first
    /// attempt is retried as long as the budget allows.
    #[test]
    fn retries_stay_within_the_budget(gaps in prop::collection::vec(0..500_u64, 1..500)) {
        let mut budget = RetryBudget::new(0.1, 10.0, Duration::from_secs(10), Duration::ZERO);
        let (mut now, mut first, mut retries) = (Duration::ZERO, 0_u32, 0_u32);

        for gap in gaps {
            now += Duration::from_millis(gap);
            budget.earn(now);
            first += 1;
            while budget.try_spend(now) {
                retries += 1;
            }

            prop_assert!(f64::from(retries) <= 0.1 * f64::from(first) + 1e-6);
        }
    }

    /// Guards against losing crashes that several instances observed, or counting them twice, when
    /// the messages of peers are duplicated or reordered.
    #[test]
    fn crashes_add_up_over_instances(
        own in 0..3_u32,
        reports in prop::collection::vec((0..3_usize, 0..3_u32), 0..20),
    ) {
        let mut list = SuspectList::new(16, Duration::from_mins(10));
        let now = Duration::from_secs(1);
        let mut highest = [0_u32; 3];

        for _ in 0..own {
            list.record_crash(7, now);
        }
        for (peer, count) in reports {
            highest[peer] = highest[peer].max(count);
            let counts = BTreeMap::from([(7, count)]);
            list.merge(&InstanceId::from_name(&format!("peer-{peer}")), &counts, now);
        }

        let expected = match own + highest.iter().sum::<u32>() {
            0 => SuspectVerdict::Clear,
            1 | 2 => SuspectVerdict::Exclusive,
            _ => SuspectVerdict::Refused,
        };
        prop_assert_eq!(list.verdict(7, now), expected);
        prop_assert!(list.len() <= 16);
    }
}

/// Guards against a suspect list that grows without bound or evicts an entry with more crashes than
/// another.
#[test]
fn a_full_suspect_list_evicts_the_entry_with_the_fewest_crashes() {
    let mut list = SuspectList::new(2, Duration::from_mins(10));
    let now = Duration::from_secs(1);

    list.record_crash(1, now);
    list.record_crash(1, now);
    list.record_crash(2, now);
    list.record_crash(3, now + Duration::from_secs(1));

    assert_eq!(list.len(), 2);
    assert_eq!(list.verdict(1, now), SuspectVerdict::Exclusive);
    assert_eq!(list.verdict(2, now), SuspectVerdict::Clear);
}

/// Guards against an instance that gets its reserve again each time the number of its peers changes, and
/// against one that keeps the balance of a larger share.
#[test]
fn share_of_the_retry_budget_is_filled_once_and_cut_when_it_shrinks() {
    let now = Duration::from_secs(1);
    let mut budget = RetryBudget::new(0.1, 10.0, Duration::from_secs(5), now);

    budget.set_share(4.0, 24.0, 1.0, now);
    assert!(
        (budget.balance() - 1.0).abs() < 1e-9,
        "before the list is known"
    );
    budget.set_share(4.0, 24.0, f64::MAX, now);
    assert!((budget.balance() - 4.0).abs() < 1e-9, "the whole reserve");
    while budget.try_spend(now) {}
    for reserve in [0.5, 4.0, 0.5, 4.0] {
        budget.set_share(reserve, 24.0, f64::MAX, now);
    }
    assert!(!budget.covers_retry(now), "filled once");
    budget.set_share(4.0, 24.0, f64::MAX, now + Duration::from_secs(40));
    assert!((budget.balance() - 4.0).abs() < 1e-9, "accrued again");
    budget.set_share(0.5, 3.0, f64::MAX, now + Duration::from_secs(40));

    assert!((budget.balance() - 3.0).abs() < 1e-9, "cut to the maximum");
}
