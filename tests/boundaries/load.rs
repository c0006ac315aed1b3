//! The load generator: its plan, its figures and the faults that it must notice.

use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::id::RequestRank;
use comfreychute_standins::load::{
    CallKind, LoadPlan, LoadRun, LoadSettings, LoadSummary, RankShares, ZipfChoice,
};
use comfreychute_standins::plain::PlainSettings;
use comfreychute_standins::{EngineStandin, PlainStandin};

use crate::fixture::engine;

fn settings(target: SocketAddr) -> LoadSettings {
    LoadSettings {
        targets: vec![target],
        rate: 200.0,
        count: 40,
        max_tokens: 4,
        adapters: 4,
        preload: true,
        ..LoadSettings::default()
    }
}

async fn measure(settings: LoadSettings) -> LoadSummary {
    LoadRun::new(settings).unwrap().measure().await.unwrap()
}

async fn slow_engine() -> EngineStandin {
    let (engine, _) = engine(
        |settings| settings.token_interval = Duration::from_millis(10),
        &[],
    )
    .await;
    engine
}

/// Guards against runs with one seed that differ, and against a plan without variety.
#[test]
fn a_seed_determines_the_plan() {
    let settings = LoadSettings::default();
    let draw = |seed| {
        let settings = LoadSettings {
            seed,
            ..settings.clone()
        };
        let mut plan = LoadPlan::new(&settings).unwrap();
        (0..200).map(|_| plan.draw()).collect::<Vec<_>>()
    };

    let (first, second, other) = (draw(5), draw(5), draw(6));

    assert_eq!(first, second);
    assert_ne!(first, other);
    for rank in RequestRank::ALL {
        assert!(first.iter().any(|request| request.rank == rank));
    }
}

/// Guards against a popularity that does not follow the exponent.
#[test]
fn popularity_follows_zipf() {
    let choice = ZipfChoice::new(2, 1.0);

    // The weights are 1 and 1/2.
    assert_eq!(choice.at(0.0), 0);
    assert_eq!(choice.at(0.66), 0);
    assert_eq!(choice.at(0.67), 1);
    assert_eq!(choice.at(1.0), 1);
    assert_eq!(ZipfChoice::new(4, 0.0).at(0.6), 2);
}

/// Guards against shares that are misread or mixed up.
#[test]
fn shares_are_read_by_name() {
    let shares: RankShares = "batch=3,urgent=1".parse().unwrap();

    assert_eq!(shares.at(0.2), RequestRank::Urgent);
    assert_eq!(shares.at(0.3), RequestRank::Batch);
    for text in ["urgent", "urgent=-1,batch=2", "urgent=0", "eager=1"] {
        text.parse::<RankShares>().unwrap_err();
    }
}

/// Guards against histograms that record too little (they once clamped every value to 2 us), and
/// against requests that are lost from the summary.
#[tokio::test]
async fn latencies_are_recorded_in_microseconds() {
    let engine = slow_engine().await;

    let summary = measure(settings(engine.address())).await;

    assert_eq!(summary.all.count, 40);
    assert_eq!(summary.all.answered, 40, "{summary:?}");
    assert_eq!(summary.not_sent, 0);
    assert_eq!(summary.all.adapter_mismatches, 0);
    assert_eq!(summary.all.text_mismatches, 0);
    let by_rank: u64 = summary.ranks.values().map(|rank| rank.count).sum();
    assert_eq!(by_rank, 40);
    // Lower bounds from the token interval, with the resolution of the histogram taken off.
    assert!(summary.all.first_token_us.p50 >= 9_900, "{summary:?}");
    assert!(summary.all.end_us.p50 >= 39_900, "{summary:?}");
    assert!(summary.all.end_us.p99 >= summary.all.end_us.p50);
}

/// Guards against answers of another adapter that the generator counts as good.
#[tokio::test]
async fn swapped_answers_are_counted() {
    let engine = slow_engine().await;
    engine.change(|settings| settings.swap_answers = 1);

    let summary = measure(settings(engine.address())).await;

    assert_eq!(summary.all.text_mismatches, 2, "{summary:?}");
}

/// Guards against incomplete answers that the generator counts as good.
#[tokio::test]
async fn failures_are_counted_by_code() {
    let engine = slow_engine().await;
    engine.change(|settings| {
        settings.truncate_answers = 2;
        settings.cut_answers = 3;
    });

    let faulty = measure(settings(engine.address())).await;
    let unknown = measure(LoadSettings {
        adapter_prefix: "other-".to_owned(),
        preload: false,
        ..settings(engine.address())
    })
    .await;
    let address = engine.address();
    engine.stop().await;
    let refused = measure(LoadSettings {
        preload: false,
        ..settings(address)
    })
    .await;

    assert_eq!(faulty.all.answered, 35);
    assert_eq!(faulty.all.errors["truncated"], 2);
    assert_eq!(faulty.all.errors["cut_off"], 3);
    assert_eq!(unknown.all.errors["not_resident"], 40);
    assert_eq!(refused.all.errors["not_connected"], 40);
}

/// Guards against a generator without limit towards a target that does not answer.
#[tokio::test]
async fn requests_in_flight_are_bounded() {
    let (engine, _) = engine(
        |settings| settings.token_interval = Duration::from_mins(1),
        &[],
    )
    .await;

    let summary = measure(LoadSettings {
        max_in_flight: 10,
        timeout: Duration::from_secs(1),
        ..settings(engine.address())
    })
    .await;

    assert_eq!(summary.all.count, 10);
    assert_eq!(summary.all.errors["timeout"], 10);
    assert_eq!(summary.not_sent, 30);
}

/// Guards against plain calls that are not checked against their echo.
#[tokio::test]
async fn plain_calls_are_measured() {
    let service = PlainStandin::start(PlainSettings {
        fail_calls: 2,
        ..PlainSettings::default()
    })
    .await
    .unwrap();

    let summary = measure(LoadSettings {
        kind: CallKind::Plain,
        preload: false,
        ..settings(service.address())
    })
    .await;

    assert_eq!(summary.all.answered, 38);
    assert_eq!(summary.all.errors["ordered"], 2);
    assert_eq!(summary.all.text_mismatches, 0);
    assert_eq!(service.counters().calls, 40);
}

/// Guards against a comparison that mixes up its sides or reports a sign the wrong way round.
#[tokio::test]
async fn a_comparison_reports_the_added_latency() {
    let fast = PlainStandin::start(PlainSettings::default()).await.unwrap();
    let slow = PlainStandin::start(PlainSettings {
        delay: Duration::from_millis(200),
        ..PlainSettings::default()
    })
    .await
    .unwrap();
    let run = LoadRun::new(LoadSettings {
        kind: CallKind::Plain,
        preload: false,
        ..settings(slow.address())
    })
    .unwrap();

    let summary = run.compare(fast.address()).await.unwrap();

    assert_eq!(fast.counters().calls, 40);
    assert_eq!(slow.counters().calls, 40);
    assert!(summary.node.all.end_us.p50 >= 199_000);
    let (node, direct) = (summary.node.all.end_us, summary.direct.all.end_us);
    assert_eq!(
        summary.added_end_us.p50,
        node.p50.cast_signed() - direct.p50.cast_signed()
    );
    assert_eq!(
        summary.added_end_us.p99,
        node.p99.cast_signed() - direct.p99.cast_signed()
    );
}
