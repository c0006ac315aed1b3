use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use comfreychute::claim::{ClaimDocument, ClaimState, ClaimStorage};
use comfreychute::id::InstanceId;
use comfreychute::platform_client::{StoredObject, WriteOutcome};
use comfreychute::{Error, ErrorKind, Result};
use futures_util::FutureExt;
use tokio::sync::oneshot;

use crate::fixtures::instance_of;

/// How a pending call is resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResolution {
    /// The call takes effect and its reply is delivered.
    Succeed,
    /// The call takes effect and its reply is lost.
    LoseReply,
    /// The call fails without taking effect.
    Fail,
    /// The call fails for the caller and takes effect later, if its condition still holds.
    Delay,
    /// A read returns the version before the current one; a write succeeds.
    StaleRead,
}

/// An in-memory object store with versions and conditional writes.
#[derive(Debug, Clone, Default)]
pub struct FakeStore {
    state: Arc<Mutex<FakeState>>,
}

#[derive(Debug, Default)]
struct FakeState {
    objects: BTreeMap<String, StoredObject>,
    /// The versions before the current ones.
    previous: BTreeMap<String, StoredObject>,
    calls: Vec<PendingCall>,
    delayed: Vec<WriteRequest>,
    is_immediate: bool,
    violations: Vec<String>,
}

#[derive(Debug)]
struct PendingCall {
    entry: usize,
    kind: CallKind,
}

#[derive(Debug)]
enum CallKind {
    Read(String, oneshot::Sender<Result<Option<StoredObject>>>),
    Write(WriteRequest, oneshot::Sender<Result<WriteOutcome>>),
}

#[derive(Debug)]
struct WriteRequest {
    entry: usize,
    key: String,
    value: Vec<u8>,
    expected: Option<u64>,
}

impl FakeStore {
    /// Creates the storage of one entry instance.
    pub fn storage(&self, entry: usize) -> ClaimStorage {
        let (reader, writer) = (self.clone(), self.clone());
        ClaimStorage::new(
            move |key| {
                let (sender, receiver) = oneshot::channel();
                reader.push(entry, CallKind::Read(key, sender));
                async { receiver.await.unwrap_or_else(|_| Err(outage())) }.boxed()
            },
            move |key, value, expected| {
                let (sender, receiver) = oneshot::channel();
                let request = WriteRequest {
                    entry,
                    key,
                    value,
                    expected,
                };
                writer.push(entry, CallKind::Write(request, sender));
                async { receiver.await.unwrap_or_else(|_| Err(outage())) }.boxed()
            },
        )
    }

    /// Sets whether calls succeed immediately or stay pending; resolves pending calls if so.
    pub fn set_immediate(&self, is_immediate: bool) {
        self.with(|state| state.is_immediate = is_immediate);
        if is_immediate {
            while self.resolve(|_| true, 0, CallResolution::Succeed) {}
        }
    }

    /// Resolves one of the pending calls of the entries that `predicate` accepts.
    ///
    /// Returns false if there is no such call.
    pub fn resolve(
        &self,
        predicate: impl Fn(usize) -> bool,
        pick: usize,
        resolution: CallResolution,
    ) -> bool {
        self.with(|state| {
            let positions = (0..state.calls.len())
                .filter(|index| predicate(state.calls[*index].entry))
                .collect::<Vec<_>>();
            let Some(position) = positions.get(pick % positions.len().max(1)) else {
                return false;
            };
            let call = state.calls.remove(*position);
            state.resolve(call, resolution);
            true
        })
    }

    /// Executes one of the delayed writes, which takes effect if its condition still holds.
    pub fn run_delayed(&self, pick: usize) {
        self.with(|state| {
            if !state.delayed.is_empty() {
                let position = pick % state.delayed.len();
                let request = state.delayed.remove(position);
                state.write(&request);
            }
        });
    }

    /// Returns the number of delayed writes that may still take effect.
    pub fn delayed(&self) -> usize {
        self.with(|state| state.delayed.len())
    }

    /// Returns the claims of an object.
    pub fn document(&self, key: &str) -> ClaimDocument {
        self.with(|state| {
            state
                .objects
                .get(key)
                .map_or_else(ClaimDocument::default, |stored| {
                    ClaimDocument::decode(&stored.value).expect("stored claims are readable")
                })
        })
    }

    /// Replaces an object without any check.
    pub fn replace(&self, key: &str, value: Vec<u8>) {
        self.with(|state| {
            let version = state.objects.get(key).map_or(0, |stored| stored.version) + 1;
            let stored = StoredObject {
                key: key.to_owned(),
                value: value.into(),
                version,
            };
            state.objects.insert(key.to_owned(), stored);
        });
    }

    /// Removes an object without any check.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.objects.remove(key));
    }

    /// Returns the raw content of an object.
    pub fn raw(&self, key: &str) -> Option<Vec<u8>> {
        self.with(|state| state.objects.get(key).map(|stored| stored.value.to_vec()))
    }

    /// Returns the forbidden changes that writes have made.
    pub fn violations(&self) -> Vec<String> {
        self.with(|state| state.violations.clone())
    }

    fn push(&self, entry: usize, kind: CallKind) {
        self.with(|state| {
            let call = PendingCall { entry, kind };
            if state.is_immediate {
                state.resolve(call, CallResolution::Succeed);
            } else {
                state.calls.push(call);
            }
        });
    }

    fn with<T>(&self, work: impl FnOnce(&mut FakeState) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl FakeState {
    fn resolve(&mut self, call: PendingCall, resolution: CallResolution) {
        match call.kind {
            CallKind::Read(key, reply) => {
                let result = match resolution {
                    CallResolution::Succeed => Ok(self.objects.get(&key).cloned()),
                    CallResolution::StaleRead => Ok(self.previous.get(&key).cloned()),
                    _ => Err(outage()),
                };
                drop(reply.send(result));
            }
            CallKind::Write(request, reply) => {
                let result = match resolution {
                    CallResolution::Succeed | CallResolution::StaleRead => Ok(self.write(&request)),
                    CallResolution::LoseReply => {
                        self.write(&request);
                        Err(outage())
                    }
                    CallResolution::Fail => Err(outage()),
                    CallResolution::Delay => {
                        self.delayed.push(request);
                        Err(outage())
                    }
                };
                drop(reply.send(result));
            }
        }
    }

    fn write(&mut self, request: &WriteRequest) -> WriteOutcome {
        let present = self.objects.get(&request.key);
        if present.map(|stored| stored.version) != request.expected {
            return WriteOutcome::Conflict(present.cloned());
        }
        if let Some(stored) = present {
            let writer = instance_of(request.entry);
            let violation = find_violation(&stored.value, &request.value, &writer);
            self.violations.extend(violation);
        }
        let version = request.expected.unwrap_or(0) + 1;
        let stored = StoredObject {
            key: request.key.clone(),
            value: request.value.clone().into(),
            version,
        };
        if let Some(previous) = self.objects.insert(request.key.clone(), stored) {
            self.previous.insert(request.key.clone(), previous);
        }
        WriteOutcome::Written(version)
    }
}

/// Finds a claim that a write passes to another attempt, or whose final state it reverts.
///
/// The holder may mark its claim as not run and claim the key for the next attempt in one write.
fn find_violation(old: &[u8], new: &[u8], writer: &InstanceId) -> Option<String> {
    let old = ClaimDocument::decode(old).expect("stored claims are readable");
    let new = ClaimDocument::decode(new).expect("written claims are readable");
    for (digest, before) in old.records() {
        let Some(after) = new.record(*digest) else {
            return Some(format!("claim {digest:x} was dropped before it expired"));
        };
        let is_same = before.request == after.request && before.attempt == after.attempt;
        let is_allowed = match (before.state(), after.state()) {
            (ClaimState::NotRun, ClaimState::Pending) => !is_same,
            (ClaimState::Pending, ClaimState::Pending) => {
                is_same || before.instance == writer.as_str()
            }
            (ClaimState::Pending, _) => is_same,
            (from, to) => is_same && from == to,
        };
        if !is_allowed {
            return Some(format!(
                "claim {digest:x} changed from {before:?} to {after:?}"
            ));
        }
    }
    None
}

fn outage() -> Error {
    Error::new(ErrorKind::Platform, "the fake store does not answer")
}
