use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use comfreychute::id::DomainId;
use comfreychute::table::StoreRow;

use crate::fixtures::LONGEST_USE;
use crate::fleet_event::{EventKind, FleetEvent};
use crate::fleet_member::FleetMember;

/// Time between two actions of an instance.
const TICK: Duration = Duration::from_millis(50);

/// Time that a heartbeat takes, including the wait for the next one.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// A fleet of instances with their views of each other, in virtual time.
pub struct Fleet {
    row: StoreRow,
    members: Vec<FleetMember>,
    domains: Vec<usize>,
    now: Duration,
    cuts: BTreeSet<(usize, usize)>,
    /// The recent heartbeats of each instance.
    beats: Vec<VecDeque<SentBeat>>,
    is_prompt: bool,
    salts: u64,
    /// Times of all grants.
    pub grants: Vec<Duration>,
    open: Vec<OpenLoad>,
    /// The largest number of loads in flight.
    pub most_in_flight: usize,
}

/// When a heartbeat was sent, and the domains that its sender reached.
type SentBeat = (Duration, BTreeSet<DomainId>);

struct OpenLoad {
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
            cuts: BTreeSet::new(),
            beats: vec![VecDeque::new(); domains.len()],
            is_prompt: true,
            salts: 100,
            grants: Vec::new(),
            open: Vec::new(),
            most_in_flight: 0,
        }
    }

    /// Runs a calm start and all events.
    pub fn run(&mut self, events: &[FleetEvent]) {
        self.advance(Duration::from_secs(15));
        for event in events {
            self.apply(&event.kind);
            self.advance(event.pause);
        }
        self.advance(Duration::from_secs(15));
    }

    fn apply(&mut self, kind: &EventKind) {
        match *kind {
            EventKind::Pause { member, length } => self.stop(member, length, false),
            EventKind::Replace { member, length } => self.stop(member, length, true),
            EventKind::Cut { left, right } => {
                self.cuts.insert((left.min(right), left.max(right)));
            }
            EventKind::Isolate { domain } => {
                for other in self.domains.clone() {
                    self.cuts.insert((domain.min(other), domain.max(other)));
                }
            }
            EventKind::Heal => self.cuts.clear(),
            EventKind::Report { is_prompt } => self.is_prompt = is_prompt,
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
            self.salts += 1;
            self.members[index] = FleetMember::new(self.domains[index], self.salts, &self.row, now);
        }
        // The role follows from what was known before this moment, so that an instance that goes
        // on after a pause acts once on its old view.
        for grant in self.members[index].act(index, &self.domains, now) {
            self.grants.push(now);
            self.open.push(OpenLoad {
                member: index,
                permit: grant.permit,
                is_prompt: self.is_prompt,
                granted_at: now,
            });
        }
        self.most_in_flight = self.most_in_flight.max(self.open.len());
        let reachable = self.members[index].reachable(&self.domains, now);
        let beats = &mut self.beats[index];
        beats.push_back((now, reachable));
        // The latest heartbeat that has arrived is among the last few.
        if beats.len() > 16 {
            beats.pop_front();
        }
        self.receive(index);
    }

    fn receive(&mut self, index: usize) {
        let arrived = self.now.saturating_sub(HEARTBEAT_DELAY);
        let own = self.domains[index];
        for (from, beats) in self.beats.iter().enumerate() {
            let other = self.domains[from];
            let is_cut = self.cuts.contains(&(own.min(other), own.max(other))) && own != other;
            let latest = beats.iter().rev().find(|beat| beat.0 <= arrived);
            if let Some(beat) = latest
                && from != index
                && !is_cut
            {
                self.members[index].heard.insert(from, beat.clone());
            }
        }
    }

    /// Reports the loads that end promptly; the others end without a report.
    fn end_loads(&mut self) {
        let now = self.now;
        let prompt = self.row.load_time;
        let (ended, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition::<Vec<_>, _>(|load| {
                let length = if load.is_prompt { prompt } else { LONGEST_USE };
                load.granted_at + length <= now
            });
        self.open = open;
        for load in ended {
            let member = &mut self.members[load.member];
            if load.is_prompt && member.stopped_until <= now {
                member.holder.release("weights", load.permit, now);
            }
        }
    }
}
