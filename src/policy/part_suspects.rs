use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::live_suspect::{LiveSuspect, REQUEST_CRASHES, REQUEST_POSITION};
use super::part_record::{CRASH_EXPIRY, PartCrash, PartRecord};
use super::{PartChange, PartRefusal, RefusedPart, SoundParts};

/// Parts of prompts that were in answers which their upstreams had just begun when they crashed, and
/// whole requests that were in flight.
///
/// A crash breaks all answers of its upstream, so that it is counted for every part of those that were
/// not sound yet. What tells the part that did it from the others is that no answer on it is ever sound:
/// a sound answer anywhere clears a part of all crashes before it. A crash counts for the strongest
/// suspect that was there. Instances exchange what they observe, so that each derives the same verdict.
/// A whole request counts like one more part, the last of its prompt.
#[derive(Debug)]
pub struct PartSuspects {
    limit: usize,
    records: BTreeMap<u64, PartRecord>,
    /// Parts with sound answers at this instance, suspect or not.
    sound: SoundParts,
    /// The number of the latest change that this instance has observed itself.
    changes: u64,
    /// The rank of this instance among those that may send a trial, and their number.
    place: (u32, u32),
}

/// Time after the start of an answer within which its end points to its own prompt: a deadly one ends its
/// upstream at its first events, while the other answers there have run for any time.
const EARLY_TIME: Duration = Duration::from_millis(300);

/// Time from the refusal to the first trial, and from the first trial to the second.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(20), Duration::from_secs(80)];

/// Time for which only one instance may send a trial. The others learn of it in the next one.
const TRIAL_SLOT: Duration = Duration::from_secs(5);

/// Time at the end of a slot in which no trial is sent, so that the next instance knows of it.
const SLOT_MARGIN: Duration = Duration::from_secs(1);

/// Time after which a refusal lapses.
const REFUSAL_EXPIRY: Duration = Duration::from_hours(1);

/// Time after a sound answer on a part in which a refusal from before it may still be told.
const CLEAR_TIME: Duration = Duration::from_secs(30);

/// Shortest time that callers of a refused part are told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest time that callers of a refused part are told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(5);

impl PartSuspects {
    /// Creates an empty list of at most `limit` suspect parts.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            records: BTreeMap::new(),
            sound: SoundParts::new(),
            changes: 0,
            place: (0, 1),
        }
    }

    /// Records that an upstream, given by its hash, broke off an answer that was not sound yet, `running`
    /// after its start, or after the request was sent if it had not begun; `parts` are those of its
    /// prompt in order.
    pub fn record_crash(&mut self, parts: &[u64], upstream: u64, running: Duration, now: Duration) {
        let crash = PartCrash {
            upstream,
            at: now,
            is_early: running < EARLY_TIME,
            is_local: true,
        };
        for (position, part) in (0..REQUEST_POSITION).zip(parts) {
            self.add_crash(*part, position, crash);
        }
    }

    /// Records that an upstream, given by its hash, crashed at `now` while it ran a request.
    pub fn record_request_crash(&mut self, request: u64, upstream: u64, now: Duration) {
        let crash = PartCrash {
            upstream,
            at: now,
            is_early: false,
            is_local: true,
        };
        self.add_crash(request, REQUEST_POSITION, crash);
    }

    fn add_crash(&mut self, part: u64, position: u32, crash: PartCrash) {
        let next = self.changes + 1;
        let record = self.record(part, crash.at);
        record.position = position;
        if record.add_crash(crash) {
            record.changed = next;
            record.updated_at = crash.at;
            self.changes = next;
        }
    }

    /// Records an answer on a prompt with these parts that was sound at `now`; returns the refused ones
    /// that it clears.
    pub fn record_sound(&mut self, parts: &[u64], now: Duration) -> Vec<u64> {
        let mut cleared = Vec::new();
        for part in parts {
            self.sound.record(*part, now);
            if self.forget_crashes(*part, now) {
                cleared.push(*part);
            }
        }
        cleared
    }

    /// Records an answer to a request that was whole at `now` and that its upstream survived; returns
    /// whether this ends a refusal of the request.
    pub fn record_request_sound(&mut self, request: u64, now: Duration) -> bool {
        self.forget_crashes(request, now)
    }

    /// Records a sound answer for a suspect; returns whether it was refused.
    fn forget_crashes(&mut self, part: u64, now: Duration) -> bool {
        let next = self.changes + 1;
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let was_refused = record.refused_at.is_some();
        if !was_refused && record.live_crashes(now).is_empty() {
            return false;
        }
        record.record_sound(now);
        record.changed = next;
        record.updated_at = now;
        self.changes = next;
        was_refused
    }

    /// Ends the refusal of a part and forgets its crashes; returns whether it was refused.
    pub fn clear(&mut self, part: u64, now: Duration) -> bool {
        !self.record_sound(&[part], now).is_empty()
    }

    /// Refuses the parts whose crashes suffice, and returns them.
    ///
    /// Those without any sound answer come first, then those with more crashes, then those that come
    /// later in the prompts, which fewer requests share.
    pub fn evaluate(&mut self, now: Duration) -> Vec<u64> {
        let live = self.records.iter().map(|(part, record)| LiveSuspect {
            part: *part,
            was_sound: record.sound_at.is_some(),
            position: record.position,
            is_refused: record.refused_at.is_some(),
            crashes: record.live_crashes(now),
        });
        let mut suspects: Vec<LiveSuspect> =
            live.filter(|suspect| !suspect.crashes.is_empty()).collect();
        suspects.sort_by_key(|suspect| {
            let order = Reverse((suspect.crashes.len(), suspect.position));
            (suspect.was_sound, order, suspect.part)
        });
        let mut refused = Vec::new();
        for index in 0..suspects.len() {
            let suspect = &suspects[index];
            if suspect.is_refused || !suspect.suffices(&suspects, now) {
                continue;
            }
            let part = suspect.part;
            suspects[index].is_refused = true;
            let next = self.changes + 1;
            if let Some(record) = self.records.get_mut(&part) {
                record.refused_at = Some(now);
                record.updated_at = now;
                // Peers that observed none of the crashes derive it themselves, unless they have started
                // since; and those that did may have ended.
                record.changed = next;
                self.changes = next;
            }
            refused.push(part);
        }
        refused
    }

    /// Returns the first refused one among the parts of a prompt.
    #[must_use]
    pub fn refused_part(&self, parts: &[u64], now: Duration) -> Option<RefusedPart> {
        parts.iter().find_map(|part| {
            let record = self.records.get(part)?;
            let refused_at = record.refused_at?;
            if now.saturating_sub(refused_at) >= REFUSAL_EXPIRY {
                return None;
            }
            let lapses_at = refused_at + REFUSAL_EXPIRY;
            let until = next_trial(record).unwrap_or(lapses_at);
            let retry_after = until
                .saturating_sub(now)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            Some(RefusedPart {
                part: *part,
                retry_after,
            })
        })
    }

    /// Returns whether a request with the refused part may be sent as a trial, and records it if so.
    ///
    /// The instances take turns, so that one request at a time is tried, and a few at most.
    pub fn begin_trial(&mut self, part: u64, now: Duration) -> bool {
        let next = self.changes + 1;
        let (rank, count) = self.place;
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let Some(refused_at) = record.refused_at else {
            return false;
        };
        let since = now.saturating_sub(refused_at);
        let slot = since.as_secs() / TRIAL_SLOT.as_secs();
        let slot_end = Duration::from_secs((slot + 1) * TRIAL_SLOT.as_secs());
        let is_turn =
            slot % u64::from(count.max(1)) == u64::from(rank) && since + SLOT_MARGIN <= slot_end;
        if !is_turn || next_trial(record).is_none_or(|due| now < due) {
            return false;
        }
        record.trials += 1;
        record.trial_at = Some(now);
        record.changed = next;
        record.updated_at = now;
        self.changes = next;
        true
    }

    /// Sets the rank of this instance among those that take turns with trials, and their number.
    pub const fn set_place(&mut self, rank: u32, count: u32) {
        self.place = (rank, count);
    }

    /// Returns the number of the latest change that this instance has observed itself.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns up to `limit` changes that a peer which knows those up to `known` lacks, with the number
    /// of the last one. A peer that knows none gets the refusals that others have told, too.
    #[must_use]
    pub fn changes_after(&self, known: u64, limit: usize, now: Duration) -> (Vec<PartChange>, u64) {
        let is_due = |record: &&PartRecord| {
            record.changed > known || known == 0 && record.refused_at.is_some()
        };
        let records = self.records.iter().filter(|(_, record)| is_due(record));
        let mut due: Vec<_> = records.collect();
        due.sort_by_key(|(_, record)| record.changed);
        let is_cut = due.len() > limit;
        due.truncate(limit);
        let last = due.last().map_or(known, |(_, record)| record.changed);
        let number = if is_cut { last } else { self.changes };
        let changes = due.into_iter();
        let changes = changes.map(|(part, record)| record.to_change(*part, now));
        (changes.collect(), number)
    }

    /// Merges what a peer has told; returns the refused parts that it clears.
    pub fn merge(&mut self, changes: &[PartChange], now: Duration) -> Vec<u64> {
        let mut cleared = Vec::new();
        for change in changes {
            let record = self.record(change.part, now);
            let was_refused = record.refused_at.is_some();
            record.merge(change, now);
            record.updated_at = now;
            if was_refused && record.refused_at.is_none() {
                cleared.push(change.part);
            }
        }
        cleared
    }

    /// Returns the number of upstream crashes that count for a part, and of the upstreams.
    #[must_use]
    pub fn crash_count(&self, part: u64, now: Duration) -> (usize, usize) {
        let record = self.records.get(&part);
        let crashes = record.map_or_else(Vec::new, |record| record.live_crashes(now));
        let upstreams: BTreeSet<u64> = crashes.iter().map(|crash| crash.upstream).collect();
        (crashes.len(), upstreams.len())
    }

    /// Returns whether any of these parts, or the request, has crashes since its last sound answer, or is
    /// refused.
    #[must_use]
    pub fn has_suspect(&self, parts: &[u64], request: u64, now: Duration) -> bool {
        let mut keys = parts.iter().chain(std::iter::once(&request));
        keys.any(|key| {
            let record = self.records.get(key);
            record.is_some_and(|it| it.refused_at.is_some() || !it.live_crashes(now).is_empty())
        })
    }

    /// Returns whether one more crash refuses a request.
    #[must_use]
    pub fn is_nearly_refused(&self, request: u64, now: Duration) -> bool {
        self.crash_count(request, now).0 + 1 >= REQUEST_CRASHES
    }

    /// Returns the refused parts.
    #[must_use]
    pub fn refusals(&self, now: Duration) -> Vec<PartRefusal> {
        let to_refusal = |(part, record): (&u64, &PartRecord)| {
            Some(PartRefusal {
                part: *part,
                age: now.saturating_sub(record.refused_at?),
                is_observed: record.crashes.iter().any(|crash| crash.is_local),
            })
        };
        self.records.iter().filter_map(to_refusal).collect()
    }

    /// Refuses a part as another process has, unless it was cleared here a short time ago; returns
    /// whether it was not refused before.
    pub fn adopt_refusal(&mut self, part: u64, now: Duration) -> bool {
        let record = self.record(part, now);
        let is_cleared = record
            .sound_at
            .is_some_and(|sound| now.saturating_sub(sound) < CLEAR_TIME);
        if record.refused_at.is_some() || is_cleared {
            return false;
        }
        record.refused_at = Some(now);
        record.updated_at = now;
        true
    }

    /// Returns the number of suspect parts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no part is suspect.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes what has expired.
    pub fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| {
            let age = now.saturating_sub(record.updated_at);
            match record.refused_at {
                Some(refused_at) => now.saturating_sub(refused_at) < REFUSAL_EXPIRY,
                None => age < CRASH_EXPIRY,
            }
        });
    }

    /// Finds or adds the record of a part; a full list loses the one with the fewest crashes that is not
    /// refused, and of these the oldest.
    fn record(&mut self, part: u64, now: Duration) -> &mut PartRecord {
        if !self.records.contains_key(&part) && self.records.len() >= self.limit {
            self.remove_expired(now);
            let evicted = self.records.iter().min_by_key(|(_, record)| {
                let crashes = record.live_crashes(now).len();
                (record.refused_at.is_some(), crashes, record.updated_at)
            });
            let evicted = evicted.map(|(part, _)| *part);
            if let Some(evicted) = evicted.filter(|_| self.records.len() >= self.limit) {
                self.records.remove(&evicted);
            }
        }
        let sound_at = self.sound.last(part);
        self.records.entry(part).or_insert_with(|| PartRecord {
            sound_at,
            updated_at: now,
            ..PartRecord::default()
        })
    }
}

/// Returns when the next trial of a refused part is due, or `None` if there is none.
fn next_trial(record: &PartRecord) -> Option<Duration> {
    let trials = usize::try_from(record.trials).unwrap_or(usize::MAX);
    let pause = *TRIAL_PAUSES.get(trials)?;
    Some(record.trial_at.or(record.refused_at)? + pause)
}
