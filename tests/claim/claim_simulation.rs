use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfreychute::Result;
use comfreychute::claim::{ClaimHooks, ClaimOutcome, ClaimStore, StoredAnswer};
use comfreychute::id::AttemptId;
use tokio::task::JoinHandle;

use crate::fake_store::FakeStore;
use crate::fixtures::{answer_of, attempt_of, instance_of, key_of, quick_config};
use crate::simulation_step::SimulationStep;

/// Number of entry instances in a simulation.
const ENTRIES: usize = 3;

/// Entry instances that claim a few keys in one object store, and the violations they committed.
pub struct ClaimSimulation {
    pub store: FakeStore,
    wall_ms: Arc<AtomicU64>,
    paused: Arc<Mutex<BTreeSet<usize>>>,
    entries: Vec<ClaimStore>,
    pub claims: Vec<OpenClaim>,
    pub grants: Vec<HeldGrant>,
    pub finishes: Vec<OpenFinish>,
    abandons: Vec<JoinHandle<Result<()>>>,
    pub answers: BTreeMap<u8, StoredAnswer>,
    attempts: u32,
    pub violations: Vec<String>,
    /// Whether reads may be stale, so that a resend may receive an older state.
    pub has_stale_reads: bool,
}

pub struct OpenClaim {
    pub key: u8,
    pub body: u64,
    pub attempt: AttemptId,
    pub entry: usize,
    pub recorded_answer: Option<StoredAnswer>,
    pub task: JoinHandle<Result<ClaimOutcome>>,
}

pub struct HeldGrant {
    pub key: u8,
    pub body: u64,
    pub attempt: AttemptId,
    pub entry: usize,
    pub phase: GrantPhase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantPhase {
    Held,
    Dispatched,
    Finished,
    Abandoned,
}

pub struct OpenFinish {
    pub attempt: AttemptId,
    pub task: JoinHandle<Result<()>>,
}

impl ClaimSimulation {
    pub fn new(has_stale_reads: bool) -> Self {
        let store = FakeStore::default();
        let wall_ms = Arc::new(AtomicU64::new(1_000_000));
        let paused = Arc::new(Mutex::new(BTreeSet::new()));
        let entries = (0..ENTRIES)
            .map(|entry| {
                let (clock, paused) = (Arc::clone(&wall_ms), Arc::clone(&paused));
                let hooks = ClaimHooks::new(move |instance, _incarnation| {
                    let paused = paused.lock().expect("no panic under this lock");
                    !(0..ENTRIES)
                        .any(|other| paused.contains(&other) && instance_of(other) == *instance)
                })
                .with_clock(move || Duration::from_millis(clock.load(Ordering::Relaxed)));
                ClaimStore::new(store.storage(entry), quick_config(), hooks, entry as u64)
            })
            .collect();
        Self {
            store,
            wall_ms,
            paused,
            entries,
            claims: Vec::new(),
            grants: Vec::new(),
            finishes: Vec::new(),
            abandons: Vec::new(),
            answers: BTreeMap::new(),
            attempts: 0,
            violations: Vec::new(),
            has_stale_reads,
        }
    }

    /// Applies one step and collects the results that follow from it.
    pub async fn apply(&mut self, step: &SimulationStep) {
        match *step {
            SimulationStep::Claim { entry, key, body } => self.claim(entry % ENTRIES, key, body),
            SimulationStep::Disconnect { pick } => {
                if !self.claims.is_empty() {
                    let claim = self.claims.swap_remove(pick % self.claims.len());
                    claim.task.abort();
                }
            }
            SimulationStep::Resolve { pick, resolution } => {
                let paused = self.paused();
                self.store
                    .resolve(|entry| !paused.contains(&entry), pick, resolution);
            }
            SimulationStep::RunDelayed { pick } => self.store.run_delayed(pick),
            SimulationStep::Dispatch { pick } => {
                self.change_grant(pick, GrantPhase::Held, GrantPhase::Dispatched);
            }
            SimulationStep::Finish { pick } => self.finish(pick),
            SimulationStep::Abandon { pick } => self.abandon(pick),
            SimulationStep::Pause { entry } => {
                self.paused
                    .lock()
                    .expect("no panic under this lock")
                    .insert(entry % ENTRIES);
            }
            SimulationStep::Resume { entry } => {
                self.paused
                    .lock()
                    .expect("no panic under this lock")
                    .remove(&(entry % ENTRIES));
            }
            SimulationStep::Advance { millis } => self.advance(millis).await,
        }
        self.settle().await;
    }

    /// Ends all faults, lets all pending work complete, and returns the violations.
    pub async fn run_to_completion(mut self) -> Vec<String> {
        self.paused
            .lock()
            .expect("no panic under this lock")
            .clear();
        while self.store.delayed() > 0 {
            self.store.run_delayed(0);
        }
        self.store.set_immediate(true);
        for _ in 0..8 {
            self.advance(4_000).await;
            self.settle().await;
        }
        if !self.claims.is_empty() {
            self.violations
                .push(format!("{} claims never ended", self.claims.len()));
        }
        self.check_orphaned_claims();
        self.violations.extend(self.store.violations());
        self.violations
    }

    fn paused(&self) -> BTreeSet<usize> {
        self.paused
            .lock()
            .expect("no panic under this lock")
            .clone()
    }

    fn claim(&mut self, entry: usize, key: u8, body: u64) {
        if self.paused().contains(&entry) {
            return;
        }
        self.attempts += 1;
        let attempt = attempt_of(self.attempts);
        let store = self.entries[entry].clone();
        let task = tokio::spawn(async move {
            let time_left = Duration::from_secs(5);
            store
                .claim(&key_of(key), body, attempt, &instance_of(entry), time_left)
                .await
        });
        self.claims.push(OpenClaim {
            key,
            body,
            attempt,
            entry,
            recorded_answer: self.answers.get(&key).cloned(),
            task,
        });
    }

    fn change_grant(&mut self, pick: usize, from: GrantPhase, to: GrantPhase) -> Option<usize> {
        let paused = self.paused();
        let positions = (0..self.grants.len())
            .filter(|index| {
                let grant = &self.grants[*index];
                grant.phase == from && !paused.contains(&grant.entry)
            })
            .collect::<Vec<_>>();
        let position = *positions.get(pick % positions.len().max(1))?;
        self.grants[position].phase = to;
        Some(position)
    }

    fn finish(&mut self, pick: usize) {
        let phase = GrantPhase::Dispatched;
        if let Some(position) = self.change_grant(pick, phase, phase) {
            let grant = &self.grants[position];
            let (key, attempt) = (grant.key, grant.attempt);
            let store = self.entries[grant.entry].clone();
            let task = tokio::spawn(async move {
                store
                    .finish(&key_of(key), attempt, answer_of(attempt))
                    .await
            });
            self.finishes.push(OpenFinish { attempt, task });
        }
    }

    fn abandon(&mut self, pick: usize) {
        if let Some(position) = self.change_grant(pick, GrantPhase::Held, GrantPhase::Abandoned) {
            let grant = &self.grants[position];
            let (key, attempt) = (grant.key, grant.attempt);
            let store = self.entries[grant.entry].clone();
            self.abandons.push(tokio::spawn(async move {
                store.abandon(&key_of(key), attempt).await
            }));
        }
    }

    async fn advance(&self, millis: u64) {
        self.wall_ms.fetch_add(millis, Ordering::Relaxed);
        tokio::time::advance(Duration::from_millis(millis)).await;
    }

    /// Runs all tasks until they wait for the store, then collects their results.
    async fn settle(&mut self) {
        for _ in 0..3 {
            for _ in 0..8 {
                tokio::task::yield_now().await;
            }
            // Completes delays of length zero, which the timer rounds up.
            tokio::time::advance(Duration::from_millis(1)).await;
        }
        self.collect_claims();
        self.collect_finishes();
        self.abandons.retain(|task| !task.is_finished());
    }
}
