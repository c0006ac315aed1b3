//! What upstreams state about the requests that they want.

use std::sync::Arc;
use std::time::Duration;

use comfreychute::forward::{UpstreamEntry, UpstreamHealth};
use comfreychute::id::{DomainId, InstanceId, UpstreamId};
use comfreychute::policy::{StandingVerdict, UpstreamStanding, return_point};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Time after a pause in which an upstream that does not answer gets at most one request.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Time after the statement in which requests that are already on their way may arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn entry(name: &str, incarnation: u64) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: UpstreamId::from_name(name),
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: DomainId::from_name("north"),
        slots: 8,
        is_draining: false,
        incarnation,
    })
}

fn usable(
    health: &UpstreamHealth,
    entries: &[&Arc<UpstreamEntry>],
    arrived: Duration,
    now: Duration,
) -> Vec<String> {
    let screened = health.screen(entries, arrived, DRAIN_LIMIT, now);
    let names = screened.usable.iter().map(|entry| entry.id.to_string());
    names.collect()
}

/// Guards against requests to an upstream that leaves while another one may receive them, and against
/// a service that is refused while its leaving upstreams may still receive requests.
#[test]
fn leaving_upstream_is_the_last_resort_until_the_drain_limit() {
    let health = UpstreamHealth::new();
    let (first, second) = (entry("d-1", 7), entry("d-2", 7));

    health.record_leaving(&first, at(1000));
    let with_other = usable(&health, &[&first, &second], at(1001), at(1001));
    health.record_leaving(&second, at(2000));
    let all_leave = usable(&health, &[&first, &second], at(2500), at(2500));
    let first_expired = usable(&health, &[&first, &second], at(3500), at(3500));
    let expired = usable(&health, &[&first, &second], at(4500), at(4500));
    let early_arrival = usable(&health, &[&first, &second], at(3900), at(6000));

    assert_eq!(with_other, ["d-2"]);
    assert_eq!(all_leave, ["d-1", "d-2"]);
    assert_eq!(first_expired, ["d-2"]);
    assert!(expired.is_empty());
    assert_eq!(early_arrival, ["d-2"]);
}

/// Guards against a new incarnation that is avoided because of what the former one stated, and against
/// a late record of the former one that is used again.
#[test]
fn statements_belong_to_one_incarnation() {
    let health = UpstreamHealth::new();
    let (old, new) = (entry("d-1", 7), entry("d-1", 8));

    health.record_leaving(&old, at(0));
    health.record_success(&old, at(10));

    assert_eq!(usable(&health, &[&new], at(5000), at(5000)), ["d-1"]);
    assert!(usable(&health, &[&old], at(5000), at(5000)).is_empty());
    assert_eq!(health.begin_attempt(&new, at(5000)), StandingVerdict::Open);
}

/// Guards against records that are lost while the entry of an upstream is missing for a time, and
/// against records that are kept for good.
#[test]
fn records_outlast_a_missing_entry_but_not_for_good() {
    let health = UpstreamHealth::new();
    let leaving = entry("d-1", 7);
    let minute = 60_000;

    health.record_leaving(&leaving, at(0));
    health.retain(|_| false, at(10 * minute));
    let after_outage = usable(&health, &[&leaving], at(10 * minute), at(10 * minute));
    health.retain(|_| false, at(16 * minute));
    let after_expiry = usable(&health, &[&leaving], at(16 * minute), at(16 * minute));

    assert!(after_outage.is_empty());
    assert_eq!(after_expiry, ["d-1"]);
}

/// Guards against instances that all return to an upstream in the moment at which its pause ends.
#[test]
fn thirty_instances_return_one_after_another() {
    let instances: Vec<InstanceId> = (0..30)
        .map(|index| InstanceId::from_name(&format!("edge-{index}")))
        .collect();
    for number in 0..300 {
        let upstream = entry(&format!("d-{number}"), 7);
        let pause = at(2000);
        let mut returns: Vec<Duration> = instances
            .iter()
            .map(|instance| {
                let health = UpstreamHealth::new();
                let point = return_point(instance, instances.iter(), &upstream.id);
                health.record_pause(&upstream, pause, point, Duration::ZERO);
                let admits = |now: &Duration| {
                    health.begin_attempt(&upstream, *now) == StandingVerdict::Trial
                };
                (0..4000).map(at).find(admits).expect("a pause ends")
            })
            .collect();
        returns.sort();

        assert!(returns[0] >= pause, "upstream {number}");
        let crowded = returns.windows(11).any(|ten| ten[10] < ten[0] + at(100));
        assert!(!crowded, "upstream {number}: {returns:?}");
    }
}

/// One event at an upstream with two incarnations.
#[derive(Debug, Clone, Copy)]
enum StandingEvent {
    Advance(u64),
    Leave(u64),
    Pause(u64, u64),
    Success(u64),
    Send(u64),
}

fn events() -> impl Strategy<Value = Vec<StandingEvent>> {
    let event = prop_oneof![
        4 => (1..400_u64).prop_map(StandingEvent::Advance),
        1 => (1000..8000_u64).prop_map(StandingEvent::Advance),
        1 => (1..3_u64).prop_map(StandingEvent::Leave),
        2 => (1..3_u64, 0..4000_u64).prop_map(|(incarnation, pause)| StandingEvent::Pause(incarnation, pause)),
        2 => (1..3_u64).prop_map(StandingEvent::Success),
        8 => (1..3_u64).prop_map(StandingEvent::Send),
    ];
    prop::collection::vec(event, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests to an upstream that leaves or wants none for a time, and against an
    /// upstream that gets none for good after a pause, whatever the order of responses, restarts and
    /// pauses of the process.
    #[test]
    fn statements_hold_in_any_order(events in events()) {
        let mut standing = UpstreamStanding::default();
        let mut now = Duration::ZERO;
        let mut left = 0;
        let mut pauses: Vec<(u64, Duration, Duration)> = Vec::new();
        let mut sent: Vec<(u64, Duration)> = Vec::new();
        for event in events {
            match event {
                StandingEvent::Advance(millis) => now += at(millis),
                StandingEvent::Leave(incarnation) => {
                    standing.record_leaving(incarnation, now);
                    left = left.max(incarnation);
                }
                StandingEvent::Pause(incarnation, millis) => {
                    standing.record_pause(incarnation, now + at(millis), now);
                    pauses.push((incarnation, now, now + at(millis)));
                }
                StandingEvent::Success(incarnation) => {
                    standing.record_success(incarnation, now);
                }
                StandingEvent::Send(incarnation) => {
                    let verdict = standing.verdict(incarnation, now);
                    if incarnation <= left {
                        prop_assert!(!matches!(verdict, StandingVerdict::Open | StandingVerdict::Trial));
                    }
                    // An upstream that leaves gets the request too, as the last resort of its service.
                    if matches!(verdict, StandingVerdict::Trial | StandingVerdict::Leaving(_)) {
                        standing.begin_trial(now);
                    }
                    if !matches!(verdict, StandingVerdict::Paused(_)) {
                        sent.push((incarnation, now));
                    }
                }
            }
        }
        for (incarnation, since, until) in &pauses {
            let window = (*since + ON_THE_WAY)..*until;
            let late = sent.iter().filter(|(to, time)| to == incarnation && window.contains(time));
            // A newer incarnation takes the place of the one that has asked.
            let newest = pauses.iter().map(|(incarnation, ..)| *incarnation).max();
            if newest == Some(*incarnation) {
                prop_assert_eq!(late.count(), 0, "{:?}", window);
            }
        }
        let last = pauses.iter().map(|(.., until)| *until).max().unwrap_or_default();
        let verdict = standing.verdict(left + 1, now.max(last) + TRIAL_TIME);
        prop_assert!(matches!(verdict, StandingVerdict::Open | StandingVerdict::Trial));
    }
}
