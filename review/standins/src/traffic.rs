//! Consumers that send requests at a steady rate and repeat them as the pages say.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::deploy::{Case, Consumer};

/// The bytes of an attempt, given its id and the number of its request.
pub type Format = Arc<dyn Fn(&str, u64) -> Vec<u8> + Send + Sync>;

/// One kind of request.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    pub budget: Duration,
    /// Whether any failure may be repeated, and not only one that promises that nothing has run.
    pub is_idempotent: bool,
    /// Consumers of each machine. Each waits for its answer, so that there must be enough of them.
    pub consumers: u32,
    pub format: Format,
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub asked: u32,
    pub served: u32,
    /// Last answered with a promise that the request has not run.
    pub refused: u32,
    pub failed: u32,
}

impl Tally {
    /// Returns the share of the requests that was served.
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
    }
}

/// Sends requests of a kind to all machines until `ends_at`; the tallies are for the requests that were
/// due before and from `split_at` on.
pub fn start(
    case: &Case,
    kind: &Kind,
    machines: &[SocketAddr],
    ends_at: Instant,
    split_at: Instant,
) -> (Vec<JoinHandle<()>>, Arc<Mutex<[Tally; 2]>>) {
    let tallies = Arc::new(Mutex::new([Tally::default(); 2]));
    let count = kind.consumers * u32::try_from(machines.len()).expect("a few machines");
    let period = Duration::from_secs_f64(f64::from(count) / kind.rate);
    let started = Instant::now();
    let start_one = |number: u32| {
        let (case, kind, tallies) = (case.clone(), kind.clone(), Arc::clone(&tallies));
        let machines = machines.to_vec();
        thread::spawn(move || {
            let first = usize::try_from(number).expect("a small number") % machines.len();
            let mut consumer = Consumer::new(machines[first]);
            let mut due = started + period * number / count;
            let mut serial = u64::from(number);
            while due < ends_at && Instant::now() < ends_at {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let other = machines[(first + 1) % machines.len()];
                let served = ask(&case, &kind, &mut consumer, other, serial);
                let mut tallies = tallies.lock().expect("no consumer panics");
                let tally = &mut tallies[usize::from(due >= split_at)];
                tally.asked += 1;
                match served {
                    Served::Whole => tally.served += 1,
                    Served::Refused => tally.refused += 1,
                    Served::Failed => tally.failed += 1,
                }
                drop(tallies);
                serial += u64::from(count);
                due += period;
            }
        })
    };
    ((0..count).map(start_one).collect(), tallies)
}

enum Served {
    Whole,
    Refused,
    Failed,
}

/// Sends a request, and once more to another machine if it may be repeated.
fn ask(
    case: &Case,
    kind: &Kind,
    consumer: &mut Consumer,
    other: SocketAddr,
    serial: u64,
) -> Served {
    let started = Instant::now();
    let mut served = Served::Failed;
    for is_repeat in [false, true] {
        let left = kind.budget.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        let attempt = case.attempt();
        let name = format!("{} {attempt}", kind.name);
        let bytes = (kind.format)(&attempt, serial);
        let answer = if is_repeat {
            Consumer::new(other).call(&case.record, &name, &bytes, left)
        } else {
            consumer.call(&case.record, &name, &bytes, left)
        };
        if answer.status == 200 && answer.is_whole {
            return Served::Whole;
        }
        let is_promise = matches!(answer.status, 408 | 421 | 429 | 503);
        served = if is_promise {
            Served::Refused
        } else {
            Served::Failed
        };
        if is_repeat || !kind.is_idempotent && !is_promise {
            break;
        }
        // Consumers wait as they are told, up to a third of the time that they have left.
        let told = answer.header("retry-after").and_then(|it| it.parse().ok());
        let told = Duration::from_secs_f64(told.unwrap_or(0.0));
        let left = kind.budget.saturating_sub(started.elapsed());
        thread::sleep(told.min(left / 3));
    }
    served
}
