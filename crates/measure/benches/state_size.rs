//! Measures the memory of decision state per adapter and per worker with a counting allocator.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreychute::id::{AdapterRef, DomainId, UpstreamId};
use comfreychute::policy::{
    PlacementCandidate, PopularityCounter, SchedulerConfig, UpstreamScheduler,
};
use comfreychute_measure::SitePlan;

static IN_USE: AtomicUsize = AtomicUsize::new(0);

struct CountingAllocator;

// SAFETY: every call is passed on to the system allocator unchanged; only sizes are counted.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller's contract is that of the system allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller's contract is that of the system allocator.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Prints the bytes that a value keeps, per unit.
fn report<T>(name: &str, count: usize, build: impl FnOnce() -> T) {
    let before = IN_USE.load(Ordering::Relaxed);
    let value = build();
    let used = IN_USE.load(Ordering::Relaxed) - before + size_of::<T>();
    println!(
        "{name} | {count} | {used} bytes | {} bytes each",
        used / count
    );
    drop(value);
}

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new(&format!("adapter-{index:05}"), "1").expect("valid name")
}

fn main() {
    for count in [3_000, 13_000] {
        report("popularity count, per adapter", count, || {
            let mut counter = PopularityCounter::new(Duration::from_mins(20), 16_384);
            for index in 0..count {
                counter.record(&adapter(index), Duration::ZERO);
            }
            counter
        });
    }
    let site = SitePlan::lanka();
    let config = SchedulerConfig::from_rows(&site.pool, Some(&site.store));
    for count in [16, 21, 216] {
        report("scheduler with 8 adapters, per owned worker", count, || {
            (0..count)
                .map(|_| {
                    let mut scheduler = UpstreamScheduler::new(config.clone(), Duration::ZERO);
                    for index in 0..8 {
                        scheduler.adopted(&adapter(index), Duration::ZERO);
                    }
                    scheduler
                })
                .collect::<Vec<_>>()
        });
        report("placement candidate, per seen worker", count, || {
            (0..count)
                .map(|index| PlacementCandidate {
                    upstream: UpstreamId::from_name(&format!("worker-{index:03}")),
                    domain: DomainId::from_name("domain-0"),
                    is_resident: false,
                    running: 0,
                    queued: [0; 3],
                    max_running: 16,
                    is_healthy: true,
                    is_active: true,
                })
                .collect::<Vec<_>>()
        });
    }
}
