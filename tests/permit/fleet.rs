use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use comfreychute::id::DomainId;
use comfreychute::table::StoreRow;

use crate::fixtures::LONGEST_USE;
use crate::fleet_event::{EventKind, FleetEvent};
use crate::fleet_member::FleetMember;

/// Time between two actions of an instance.
const TICK: Duration = Duration::from_millis(50);

/// Delay with which heartbeats are received: their transit time and the heartbeat interval.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// Simulates a fleet of instances and their views of each other in virtual time.
pub struct Fleet {
    row: StoreRow,
    members: Vec<FleetMember>,
    domains: Vec<usize>,
    now: Duration,
    partitions: BTreeSet<(usize, usize)>,
    /// The recent heartbeats of each instance.
    heartbeats: Vec<VecDeque<SentHeartbeat>>,
    /// Whether loads granted from now on end after the normal load time and are released.
    is_prompt: bool,
    last_salt: u64,
    /// The times of all grants.
    pub grants: Vec<Duration>,
    running: Vec<RunningLoad>,
    /// The peak number of loads in flight.
    pub peak_in_flight: usize,
}

/// When a heartbeat was sent, and the domains that its sender reached.
type SentHeartbeat = (Duration, BTreeSet<DomainId>);

struct RunningLoad {
    member: usize,
    permit: u64,
    is_prompt: bool,
    granted_at: Duration,
}

impl Fleet {
    /// Creates a fleet with an instance in each of the given domains.
    pub fn new(row: &StoreRow, domains: &[usize]) -> Self {
        let members = domains
            .iter()
            .zip(0..)
            .map(|(domain, salt)| FleetMember::new(*domain, salt, row, Duration::ZERO))
            .collect();
        Self {
            row: row.clone(),
            members,
            domains: domains.to_vec(),
            now: Duration::ZERO,
            partitions: BTreeSet::new(),
            heartbeats: vec![VecDeque::new(); domains.len()],
            is_prompt: true,
            last_salt: 100,
            grants: Vec::new(),
            running: Vec::new(),
            peak_in_flight: 0,
        }
    }

    /// Runs 15 seconds without events, then all events, then 15 seconds more.
    pub fn run(&mut self, events: &[FleetEvent]) {
        self.advance(Duration::from_secs(15));
        for event in events {
            self.apply(&event.kind);
            self.advance(event.quiet_time);
        }
        self.advance(Duration::from_secs(15));
    }

    fn apply(&mut self, kind: &EventKind) {
        match *kind {
            EventKind::Pause { member, length } => self.stop(member, length, false),
            EventKind::Replace { member, length } => self.stop(member, length, true),
            EventKind::Partition { left, right } => {
                self.partitions.insert((left.min(right), left.max(right)));
            }
            EventKind::Isolate { domain } => {
                for other in self.domains.clone() {
                    self.partitions
                        .insert((domain.min(other), domain.max(other)));
                }
            }
            EventKind::Heal => self.partitions.clear(),
            EventKind::SetLoadEnd { is_prompt } => self.is_prompt = is_prompt,
        }
    }

    fn stop(&mut self, member: usize, length: Duration, is_replaced: bool) {
        let count = self.members.len();
        let member = &mut self.members[member % count];
        member.stopped_until = member.stopped_until.max(self.now + length);
        member.is_replaced |= is_replaced;
    }

    fn advance(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            self.end_loads();
            for index in 0..self.members.len() {
                if self.members[index].stopped_until <= self.now {
                    self.act(index);
                }
            }
        }
    }

    fn act(&mut self, index: usize) {
        let now = self.now;
        if self.members[index].is_replaced {
            self.last_salt += 1;
            self.members[index] =
                FleetMember::new(self.domains[index], self.last_salt, &self.row, now);
        }
        // The instance acts before it receives heartbeats, so that one that resumes after a pause
        // acts once on its outdated view.
        for grant in self.members[index].act(index, &self.domains, now) {
            self.grants.push(now);
            self.running.push(RunningLoad {
                member: index,
                permit: grant.permit,
                is_prompt: self.is_prompt,
                granted_at: now,
            });
        }
        self.peak_in_flight = self.peak_in_flight.max(self.running.len());
        let reachable = self.members[index].reachable(&self.domains, now);
        let heartbeats = &mut self.heartbeats[index];
        heartbeats.push_back((now, reachable));
        // 16 heartbeats of one tick each span more than `HEARTBEAT_DELAY`.
        if heartbeats.len() > 16 {
            heartbeats.pop_front();
        }
        self.receive(index);
    }

    fn receive(&mut self, index: usize) {
        let arrived = self.now.saturating_sub(HEARTBEAT_DELAY);
        let own = self.domains[index];
        for (from, heartbeats) in self.heartbeats.iter().enumerate() {
            let other = self.domains[from];
            let is_partitioned =
                self.partitions.contains(&(own.min(other), own.max(other))) && own != other;
            let latest = heartbeats
                .iter()
                .rev()
                .find(|heartbeat| heartbeat.0 <= arrived);
            if let Some(heartbeat) = latest
                && from != index
                && !is_partitioned
            {
                self.members[index].latest.insert(from, heartbeat.clone());
            }
        }
    }

    /// Ends the loads whose time has passed. Only the prompt ones are released at the holder, and
    /// only if it is running.
    fn end_loads(&mut self) {
        let now = self.now;
        let prompt = self.row.load_time;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|load| {
                let length = if load.is_prompt { prompt } else { LONGEST_USE };
                load.granted_at + length <= now
            });
        self.running = running;
        for load in ended {
            let member = &mut self.members[load.member];
            if load.is_prompt && member.stopped_until <= now {
                member.holder.release("weights", load.permit, now);
            }
        }
    }
}
