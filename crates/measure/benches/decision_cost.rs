//! Measures the cost of one placement, one screening of upstreams, one offer and finish, and one permit
//! decision by fleet size.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::StdRng;

use comfreychute::forward::{UpstreamEntry, UpstreamHealth};
use comfreychute::id::{AdapterRef, CallerId, DomainId, RequestId, RequestRank, UpstreamId};
use comfreychute::policy::{
    LoadBid, PermitBucket, PermitConfig, PlacementCandidate, PlacementPolicy, SchedulerConfig,
    UpstreamScheduler, WorkItem,
};
use comfreychute_measure::SitePlan;

const ADAPTERS: [usize; 2] = [3_000, 13_000];
const WORKERS: [usize; 3] = [16, 21, 216];

fn adapters(count: usize) -> Vec<AdapterRef> {
    (0..count)
        .map(|index| AdapterRef::new(&format!("adapter-{index:05}"), "1").expect("valid name"))
        .collect()
}

fn workers(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|index| UpstreamId::from_name(&format!("worker-{index:03}")))
        .collect()
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    let adapters = adapters(3_000);
    let home = DomainId::from_name("domain-0");
    for count in WORKERS {
        let candidates: Vec<PlacementCandidate> = workers(count)
            .into_iter()
            .enumerate()
            .map(|(index, upstream)| PlacementCandidate {
                upstream,
                domain: DomainId::from_name(&format!("domain-{}", index % 4)),
                is_resident: false,
                running: u32::try_from(index % 9).unwrap_or(0),
                queued: [0, 1, 2],
                max_running: 16,
                is_healthy: true,
                is_active: true,
            })
            .collect();
        let policy = PlacementPolicy::default();
        let mut random = StdRng::seed_from_u64(1);
        let mut index = 0;
        group.bench_function(BenchmarkId::new("cold", count), |bencher| {
            bencher.iter(|| {
                index = (index + 1) % adapters.len();
                let adapter = Some(&adapters[index]);
                let rank = RequestRank::Standard;
                black_box(
                    policy
                        .choose(adapter, rank, &home, &candidates, &mut random)
                        .cloned(),
                )
            });
        });
    }
    group.finish();
}

/// Fills a scheduler whose engine holds eight adapters and whose queues hold cold batch work.
fn warm_scheduler(adapters: &[AdapterRef], waiting: usize) -> UpstreamScheduler {
    let site = SitePlan::lanka();
    let config = SchedulerConfig::from_rows(&site.pool, Some(&site.store));
    let mut scheduler = UpstreamScheduler::new(config, Duration::ZERO);
    for adapter in &adapters[..8] {
        scheduler.adopted(adapter, Duration::ZERO);
    }
    for index in 0..waiting {
        let adapter = &adapters[8 + index % (adapters.len() - 8)];
        scheduler.offer(
            item(1_000_000 + index, adapter, RequestRank::Batch),
            Duration::ZERO,
        );
    }
    // Every adapter has been asked for once, so the popularity count holds all of them.
    for (index, adapter) in adapters.iter().enumerate() {
        let id = RequestId::from_u128(2_000_000 + index as u128);
        scheduler.offer(
            item(2_000_000 + index, adapter, RequestRank::Standard),
            Duration::ZERO,
        );
        scheduler.withdrawn(id, Duration::ZERO);
        scheduler.finished(id, Duration::ZERO);
    }
    scheduler
}

fn item(request: usize, adapter: &AdapterRef, rank: RequestRank) -> WorkItem {
    WorkItem {
        request: RequestId::from_u128(request as u128),
        adapter: Some(adapter.clone()),
        caller: CallerId::from_name("caller"),
        rank,
        deadline: Duration::from_hours(1),
        tokens: 100,
        is_preemptible: false,
        is_exclusive: false,
    }
}

fn offer(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("offer-finish");
    for count in ADAPTERS {
        for waiting in [0, 1_000] {
            let adapters = adapters(count);
            let mut scheduler = warm_scheduler(&adapters, waiting);
            let mut request = 0;
            let name = format!("{count}-adapters");
            group.bench_function(BenchmarkId::new(name, waiting), |bencher| {
                bencher.iter(|| {
                    request += 1;
                    let work = item(request, &adapters[request % 8], RequestRank::Urgent);
                    let id = work.request;
                    black_box(scheduler.offer(work, Duration::from_secs(1)));
                    black_box(scheduler.finished(id, Duration::from_secs(1)))
                });
            });
        }
    }
    group.finish();
}

fn bids(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("bids");
    let adapters = adapters(3_000);
    for waiting in [16, 250, 2_000] {
        let scheduler = warm_scheduler(&adapters, waiting);
        group.bench_function(BenchmarkId::new("waiting", waiting), |bencher| {
            bencher.iter(|| black_box(scheduler.bids(Duration::from_mins(20))));
        });
    }
    group.finish();
}

fn screen(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("screen");
    for count in WORKERS {
        let health = UpstreamHealth::new();
        let now = Duration::from_secs(10);
        let entries: Vec<Arc<UpstreamEntry>> = workers(count)
            .into_iter()
            .map(|id| Arc::new(entry(id)))
            .collect();
        for entry in &entries {
            health.record_failure(&entry.id, now);
        }
        let listed: Vec<&Arc<UpstreamEntry>> = entries.iter().collect();
        group.bench_function(BenchmarkId::new("recorded-upstreams", count), |bencher| {
            bencher.iter(|| black_box(health.screen(&listed, now, Duration::from_secs(2), now)));
        });
    }
    group.finish();
}

fn entry(id: UpstreamId) -> UpstreamEntry {
    UpstreamEntry {
        id,
        service: "engines".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: DomainId::from_name("domain-0"),
        slots: 8,
        is_draining: false,
        incarnation: 1,
    }
}

fn permit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("permit");
    let adapters = adapters(13_000);
    for count in WORKERS {
        let upstreams = workers(count);
        let mut config = PermitConfig::from_row(&SitePlan::lanka().store);
        config.longest_load = Duration::ZERO;
        config.max_in_flight = u32::MAX;
        let mut bucket = PermitBucket::new(config, Duration::ZERO);
        for (index, upstream) in upstreams.iter().enumerate() {
            for bid in 0..16 {
                let adapter = &adapters[(index * 16 + bid) % adapters.len()];
                bucket.bid(
                    upstream,
                    adapter,
                    f64::from(u32::try_from(bid).unwrap_or(0)),
                );
            }
        }
        let mut now = Duration::ZERO;
        group.bench_function(
            BenchmarkId::new("grant-of-16-bids-each", count),
            |bencher| {
                bencher.iter(|| {
                    now += Duration::from_secs(1);
                    for grant in bucket.grants(now) {
                        let bid = LoadBid::new(grant.adapter, RequestRank::Batch, 1.0);
                        bucket.bid(&grant.upstream, &bid.adapter, bid.value);
                        bucket.release(grant.permit);
                    }
                });
            },
        );
    }
    group.finish();
}

criterion_group!(decisions, place, screen, offer, bids, permit);
criterion_main!(decisions);
