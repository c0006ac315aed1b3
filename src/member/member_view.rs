use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::member_state::{LinkState, ListState, MemberState};
use super::rendezvous::{rendezvous_pick, rendezvous_score};
use crate::id::{DomainId, InstanceId};
use crate::peer::{LivePeer, PeerChange};
use crate::platform_client::ListedInstance;

/// The live instances of the fleet, from the platform's list and the state of the links.
///
/// The list is delayed and may be unavailable, so the state of a link takes precedence: an instance
/// is live while a link to it works, or while it is listed and has not been silent for longer than
/// the timeout. This instance itself is always live.
#[derive(Debug, Clone)]
pub struct MemberView {
    own: InstanceId,
    own_domain: DomainId,
    is_draining: bool,
    timeout: Duration,
    members: BTreeMap<InstanceId, MemberState>,
    has_list: bool,
}

impl MemberView {
    /// Creates a view that contains only this instance.
    #[must_use]
    pub const fn new(own: InstanceId, own_domain: DomainId, timeout: Duration) -> Self {
        Self {
            own,
            own_domain,
            is_draining: false,
            timeout,
            members: BTreeMap::new(),
            has_list: false,
        }
    }

    /// Applies a list read from the platform; while the platform is unavailable the last list stays
    /// valid.
    pub fn apply_list(&mut self, list: &[ListedInstance], now: Duration) {
        self.has_list = true;
        let listed: BTreeMap<&InstanceId, &ListedInstance> = list
            .iter()
            .map(|instance| (&instance.id, instance))
            .collect();
        for (id, state) in &mut self.members {
            // The list is delayed: an instance that is missing from it stays listed while a link to
            // it works, so that the mesh does not close the link.
            let is_unlisted = state.is_listed() && !listed.contains_key(id);
            if is_unlisted && state.link != LinkState::Up {
                state.listing = ListState::Removed;
            }
        }
        for (id, instance) in listed {
            if *id == self.own {
                continue;
            }
            let state = self.member(id, &instance.domain);
            let since = match state.listing {
                ListState::Listed { address, since, .. } if address == instance.peer_address => {
                    since
                }
                ListState::Listed { .. } => {
                    // The refusal applies to the former address.
                    if state.link == LinkState::Refused {
                        state.link = LinkState::Down;
                    }
                    now
                }
                _ => now,
            };
            state.listing = ListState::Listed {
                address: instance.peer_address,
                since,
                is_leaving: instance.is_leaving,
            };
        }
        self.evict_dead(now);
    }

    /// Applies the current state of the links.
    pub fn apply_peers(&mut self, peers: &[LivePeer], now: Duration) {
        for state in self.members.values_mut() {
            if state.link == LinkState::Up {
                state.link = LinkState::Down;
            }
        }
        let timeout = self.timeout;
        for peer in peers {
            let state = self.member(&peer.id, &peer.domain);
            let is_new = state.incarnation.replace(peer.incarnation) != Some(peer.incarnation);
            state.is_draining = peer.is_draining || state.is_draining && !is_new;
            if peer.is_linked {
                state.link = LinkState::Up;
            }
            // The mesh reports a peer only until it declares it dead, and extends that time after
            // this process itself was paused.
            let silent = peer.silent_for.min(timeout);
            state.last_received_at = state.last_received_at.max(Some(now.saturating_sub(silent)));
        }
        self.evict_dead(now);
    }

    /// Sets the instances to which the mesh keeps persistent links; others count as live while they
    /// are listed and not refused.
    pub fn set_persistent_peers(&mut self, persistent: &BTreeSet<InstanceId>) {
        for (id, state) in &mut self.members {
            state.is_persistent = persistent.contains(id);
        }
    }

    /// Applies a change of a peer immediately, without waiting for the next [`Self::apply_peers`].
    pub fn apply_change(&mut self, change: &PeerChange, now: Duration) {
        match change {
            PeerChange::Joined(peer) | PeerChange::Replaced { now: peer, .. } => {
                let state = self.member(&peer.instance, &peer.domain);
                if state.incarnation.replace(peer.incarnation) != Some(peer.incarnation) {
                    state.is_draining = false;
                }
                state.link = LinkState::Up;
                state.last_received_at = Some(now);
            }
            PeerChange::Refused(id) => self.set_link(id, LinkState::Refused),
            PeerChange::Silent(id) => self.set_link(id, LinkState::Down),
            PeerChange::Draining(id) => {
                if let Some(state) = self.members.get_mut(id) {
                    state.is_draining = true;
                }
            }
        }
    }

    /// Sets whether this instance is shutting down; if so, it is not a candidate for ownership.
    pub const fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Returns whether an instance is live; always `true` for this instance.
    #[must_use]
    pub fn is_live(&self, id: &InstanceId, now: Duration) -> bool {
        *id == self.own
            || self
                .members
                .get(id)
                .is_some_and(|state| state.is_live(now, self.timeout))
    }

    /// Returns whether the process that `is_match` selects has certainly ended.
    ///
    /// A process is identified by instance and incarnation, `instance#incarnation`. It has ended if
    /// its address refuses connections, if the platform no longer lists it, or if none of the
    /// processes that may still run matches. While an instance is listed whose process is not
    /// known, or before the first list, no process is certain to have ended.
    #[must_use]
    pub fn has_ended(&self, is_match: impl Fn(&str) -> bool) -> bool {
        let mut is_certain = self.has_list;
        for (id, state) in &self.members {
            let is_ended = state.has_ended();
            match state.incarnation {
                Some(incarnation) if is_match(&format!("{id}#{incarnation}")) => return is_ended,
                Some(_) => {}
                None => is_certain &= is_ended,
            }
        }
        is_certain
    }

    /// Returns the live instances of a failure domain, including those that are shutting down.
    #[must_use]
    pub fn live_instances(&self, domain: &DomainId, now: Duration) -> BTreeSet<InstanceId> {
        self.live(now)
            .filter(|(_, member_domain)| *member_domain == domain)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the failure domains with a live instance.
    #[must_use]
    pub fn reachable_domains(&self, now: Duration) -> BTreeSet<DomainId> {
        self.live(now).map(|(_, domain)| domain.clone()).collect()
    }

    /// Returns the instances that may become owners, by failure domain.
    ///
    /// Refused, leaving and draining instances are excluded, and so are failure domains without any
    /// candidate.
    #[must_use]
    pub fn candidates(&self, now: Duration) -> BTreeMap<DomainId, BTreeSet<InstanceId>> {
        let mut candidates: BTreeMap<DomainId, BTreeSet<InstanceId>> = BTreeMap::new();
        for (id, domain) in self.candidate_pairs(now) {
            candidates
                .entry(domain.clone())
                .or_default()
                .insert(id.clone());
        }
        candidates
    }

    /// Returns up to `count` instances of a failure domain, which are to watch the configuration.
    ///
    /// A second watcher covers the time until the loss of the first is detected.
    #[must_use]
    pub fn watchers(&self, domain: &DomainId, count: u32, now: Duration) -> Vec<InstanceId> {
        let key = format!("watch/{domain}");
        let mut scores: Vec<_> = self
            .candidate_pairs(now)
            .filter(|(_, member_domain)| *member_domain == domain)
            .map(|(id, _)| (rendezvous_score(&key, id.as_str()), id))
            .collect();
        scores.sort_unstable_by(|left, right| right.cmp(left));
        scores
            .into_iter()
            .take(count as usize)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// Returns the failure domain of an instance, or `None` if the instance is unknown.
    #[must_use]
    pub fn domain(&self, id: &InstanceId) -> Option<&DomainId> {
        if *id == self.own {
            return Some(&self.own_domain);
        }
        self.members.get(id).map(|state| &state.domain)
    }

    /// Returns the instance that grants load permits of a weight store, or `None` if all reachable
    /// instances are shutting down.
    #[must_use]
    pub fn permit_holder(&self, store: &str, now: Duration) -> Option<InstanceId> {
        let ids: Vec<_> = self.candidate_pairs(now).map(|(id, _)| id).collect();
        rendezvous_pick(&format!("permit/{store}"), ids, InstanceId::as_str).cloned()
    }

    /// Returns the listed instances, for the mesh to dial.
    #[must_use]
    pub fn listed(&self) -> Vec<ListedInstance> {
        self.members
            .iter()
            .filter_map(|(id, state)| match state.listing {
                ListState::Listed {
                    address,
                    is_leaving,
                    ..
                } => Some(ListedInstance {
                    id: id.clone(),
                    domain: state.domain.clone(),
                    peer_address: address,
                    is_leaving,
                }),
                _ => None,
            })
            .collect()
    }

    fn live(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &DomainId)> {
        std::iter::once((&self.own, &self.own_domain)).chain(
            self.members
                .iter()
                .filter(move |(_, state)| state.is_live(now, self.timeout))
                .map(|(id, state)| (id, &state.domain)),
        )
    }

    fn candidate_pairs(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &DomainId)> {
        let own = (!self.is_draining).then_some((&self.own, &self.own_domain));
        own.into_iter().chain(
            self.members
                .iter()
                .filter(move |(_, state)| state.is_candidate(now, self.timeout))
                .map(|(id, state)| (id, &state.domain)),
        )
    }

    /// Removes instances that are neither listed nor live, which bounds the memory.
    fn evict_dead(&mut self, now: Duration) {
        let timeout = self.timeout;
        self.members
            .retain(|_, state| state.is_listed() || state.is_live(now, timeout));
    }

    fn member(&mut self, id: &InstanceId, domain: &DomainId) -> &mut MemberState {
        let state = self
            .members
            .entry(id.clone())
            .or_insert_with(|| MemberState::new(domain.clone()));
        state.domain.clone_from(domain);
        state
    }

    fn set_link(&mut self, id: &InstanceId, link: LinkState) {
        if let Some(state) = self.members.get_mut(id) {
            state.link = link;
        }
    }
}
