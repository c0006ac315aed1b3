//! Which whole requests are refused after upstreams have crashed under them.

use std::time::Duration;

use comfreychute::policy::PartSuspects;

const REQUEST: u64 = 70;
const OTHER_REQUEST: u64 = 71;
const DEADLY_PART: u64 = 2;

const LIMIT: usize = 64;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn is_refused(suspects: &PartSuspects, key: u64, now: Duration) -> bool {
    suspects.refused_part(&[key], now).is_some()
}

/// Records crashes of different upstreams under the request, a second apart.
fn crash(suspects: &mut PartSuspects, count: u64) {
    for upstream in 0..count {
        suspects.record_request_crash(REQUEST, upstream, at(1000 * (upstream + 1)));
    }
}

/// Guards against a request that reaches a fourth upstream, or that is refused too early.
#[test]
fn request_is_refused_at_its_third_crash() {
    let mut suspects = PartSuspects::new(LIMIT);

    crash(&mut suspects, 2);
    suspects.evaluate(at(2500));
    assert!(!is_refused(&suspects, REQUEST, at(2500)));
    assert!(suspects.is_nearly_refused(REQUEST, at(2500)));
    crash(&mut suspects, 3);
    suspects.evaluate(at(3000));

    assert!(is_refused(&suspects, REQUEST, at(3000)));
}

/// Guards against a poll that is refused because several upstreams that ran it ended at one moment.
#[test]
fn upstreams_that_end_at_one_moment_count_once() {
    let mut suspects = PartSuspects::new(LIMIT);

    for upstream in 0..6 {
        suspects.record_request_crash(REQUEST, upstream, at(1000 + upstream));
    }
    suspects.evaluate(at(9000));

    assert!(!is_refused(&suspects, REQUEST, at(9000)));
}

/// Guards against a request that several instances sent to one upstream and that counts for each of them.
#[test]
fn crash_that_several_instances_saw_counts_once() {
    let mut instances: Vec<PartSuspects> = (0..4).map(|_| PartSuspects::new(LIMIT)).collect();
    for (seen_at, instance) in (1000..).step_by(30).zip(&mut instances) {
        instance.record_request_crash(REQUEST, 5, at(seen_at));
    }

    let told: Vec<_> = instances
        .iter()
        .map(|instance| instance.changes_after(0, LIMIT, at(2000)).0)
        .collect();
    for changes in &told {
        instances[0].merge(changes, at(2000));
    }
    instances[0].evaluate(at(2000));

    assert_eq!(instances[0].crash_count(REQUEST, at(2000)), (1, 1));
    assert!(!is_refused(&instances[0], REQUEST, at(2000)));
}

/// Guards against crashes before a whole answer, which shows that the request is not their cause.
#[test]
fn whole_answer_clears_the_request_at_all_instances() {
    let (mut here, mut there) = (PartSuspects::new(LIMIT), PartSuspects::new(LIMIT));
    crash(&mut here, 3);
    here.evaluate(at(3000));
    there.merge(&here.changes_after(0, LIMIT, at(3000)).0, at(3000));
    assert!(is_refused(&there, REQUEST, at(3000)));

    assert!(there.record_request_sound(REQUEST, at(4000)));
    here.merge(&there.changes_after(0, LIMIT, at(4100)).0, at(4100));

    assert!(!is_refused(&here, REQUEST, at(4100)));
}

/// Guards against sound answers that fill the memory with requests which no upstream has crashed under.
#[test]
fn sound_requests_are_not_kept() {
    let mut suspects = PartSuspects::new(LIMIT);

    for request in 0..1000 {
        assert!(!suspects.record_request_sound(request, at(request)));
    }

    assert!(suspects.is_empty());
}

/// Guards against requests that are refused because they ran beside those with a deadly part.
#[test]
fn deadly_part_explains_the_crashes_of_a_request_beside_it() {
    let mut suspects = PartSuspects::new(LIMIT);

    for upstream in 0..5 {
        let now = at(1000 * (upstream + 1));
        suspects.record_crash(&[DEADLY_PART], upstream, at(80), now);
        if upstream > 0 {
            suspects.record_request_crash(OTHER_REQUEST, upstream, now);
        }
        suspects.evaluate(now);
    }

    assert!(is_refused(&suspects, DEADLY_PART, at(5000)));
    assert!(!is_refused(&suspects, OTHER_REQUEST, at(5000)));
}

/// Guards against parts that are refused for the crashes of one request, which is refused itself.
#[test]
fn refused_request_explains_the_crashes_of_its_parts() {
    let mut suspects = PartSuspects::new(LIMIT);

    for upstream in 0..3 {
        let now = at(1000 * (upstream + 1));
        suspects.record_crash(&[DEADLY_PART], upstream, at(80), now);
        suspects.record_request_crash(REQUEST, upstream, now);
        suspects.evaluate(now);
    }

    assert!(is_refused(&suspects, REQUEST, at(3000)));
    assert!(!is_refused(&suspects, DEADLY_PART, at(3000)));
}

/// Guards against an instance that starts again and sends what its peers refuse.
#[test]
fn restarted_instance_learns_refused_requests_from_its_peers() {
    let (mut first, mut second) = (PartSuspects::new(LIMIT), PartSuspects::new(LIMIT));
    crash(&mut first, 3);
    first.evaluate(at(3000));
    second.merge(&first.changes_after(0, LIMIT, at(3000)).0, at(3000));
    let mut restarted = PartSuspects::new(LIMIT);

    restarted.merge(&second.changes_after(0, LIMIT, at(9000)).0, at(50));

    assert!(is_refused(&restarted, REQUEST, at(50)));
}

/// Guards against an instance that has started again after the first crashes, of which it knows none, and
/// sends a request that all others refuse after a later one.
#[test]
fn instance_that_restarted_between_crashes_learns_the_refusal() {
    let (mut first, mut second) = (PartSuspects::new(LIMIT), PartSuspects::new(LIMIT));
    // The second instance has seen another crash, and told it.
    second.record_request_crash(OTHER_REQUEST, 3, at(100));
    crash(&mut first, 2);
    second.merge(&first.changes_after(0, LIMIT, at(2500)).0, at(2500));
    let mut restarted = PartSuspects::new(LIMIT);
    let (changes, known) = second.changes_after(0, LIMIT, at(3000));
    restarted.merge(&changes, at(3000));

    restarted.record_request_crash(REQUEST, 9, at(4000));
    restarted.evaluate(at(4000));
    second.merge(&restarted.changes_after(0, LIMIT, at(4050)).0, at(4050));
    second.evaluate(at(4050));
    let (changes, _) = second.changes_after(known, LIMIT, at(4100));
    restarted.merge(&changes, at(4100));

    assert!(is_refused(&second, REQUEST, at(4100)));
    assert!(is_refused(&restarted, REQUEST, at(4100)));
}

/// Guards against instances that keep each other's refusals alive after they have expired, and against a
/// restarted instance that does not learn them while they last.
#[test]
fn refusals_reach_restarted_instances_and_expire() {
    let expiry = at(3_600_000);
    let (mut observer, mut restarted) = (PartSuspects::new(LIMIT), PartSuspects::new(LIMIT));
    crash(&mut observer, 3);
    observer.evaluate(at(3000));

    let mut refused_until = Duration::ZERO;
    for second in 4..5000 {
        let now = at(1000 * second);
        for instance in [&mut observer, &mut restarted] {
            instance.remove_expired(now);
        }
        let given = observer.changes_after(0, LIMIT, now).0;
        let returned = restarted.changes_after(0, LIMIT, now).0;
        restarted.merge(&given, now);
        observer.merge(&returned, now);
        if is_refused(&restarted, REQUEST, now) {
            refused_until = now;
        }
    }

    assert!(refused_until >= expiry, "{refused_until:?}");
    assert!(refused_until <= expiry + at(4000), "{refused_until:?}");
}

/// Guards against a full list that evicts a request which peers refuse.
#[test]
fn full_list_keeps_the_refusals_of_peers() {
    let (mut peer, mut suspects) = (PartSuspects::new(LIMIT), PartSuspects::new(2));
    crash(&mut peer, 3);
    peer.evaluate(at(3000));
    suspects.merge(&peer.changes_after(0, LIMIT, at(3000)).0, at(3000));
    for upstream in 0..2 {
        suspects.record_request_crash(OTHER_REQUEST, upstream, at(4000 + 1000 * upstream));
    }

    suspects.record_request_crash(72, 5, at(6000));

    assert!(is_refused(&suspects, REQUEST, at(6000)));
    assert_eq!(suspects.crash_count(OTHER_REQUEST, at(6000)), (0, 0));
}
