//! What may still be sent before a process exits.

use std::time::Duration;

use comfreychute::forward::ShutdownPlan;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against streams that are sent late in a long grace period and cut off at its end, and
/// against refusals of requests that certainly end in time.
#[test]
fn only_requests_that_end_in_time_are_sent_after_the_cutoff() {
    let start = Instant::now();
    for (grace, last_start) in [(30, 3), (8, 3), (7, 2), (5, 0), (2, 0)] {
        let plan = ShutdownPlan::new(start, start + SECOND * grace);
        for second in 0..grace {
            let now = start + SECOND * second;
            let long = now + SECOND * 60;
            let short = now + SECOND / 2;

            assert_eq!(
                plan.may_send(long, now),
                second < last_start,
                "{grace} {second}"
            );
            assert!(plan.may_send(short, now), "{grace} {second}");
        }
    }
}

/// Guards against a plan that counts a request as ending in time at the very exit.
#[test]
fn deadline_at_the_exit_does_not_fit() {
    let start = Instant::now();
    let plan = ShutdownPlan::new(start, start + SECOND * 8);

    assert!(!plan.fits(plan.exit()));
    assert!(plan.fits(plan.exit() - SECOND / 1000));
    assert_eq!(plan.cutoff(), start + SECOND * 3);
}
