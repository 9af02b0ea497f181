//! Distribution of the catalogue and the ownership table from the control group to every host.
//!
//! A host polls one parent at a time: a relay of its zone, or, if the host is a relay itself, a member of the control
//! group. The poll carries the host's versions; a parent with newer ones replies with the difference, and pushes later
//! changes to its children at once. A parent that does not reply is replaced by the next. Versions never decrease.

use indexmap::IndexMap;
use mangogw_catalogue::Delta;
use mangogw_cluster::MemberInfo;
use mangogw_model::{HostId, Time, Version, Zone};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Interval between polls of a host whose catalogue is current.
pub const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Interval between polls of a host whose catalogue is not known to be current yet.
pub const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(100);
/// Time after its last poll for which a child receives updates.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(4);
/// Age of the control group's state, as a host has it, from which it looks for another parent. Each hop between the group
/// and the host adds up to [`POLL_PERIOD`].
pub const MAX_AGE: Duration = Duration::from_secs(6);
/// Time after its start from which a host that cannot reach the control group accepts the newest catalogue of its zone.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// How current a host's catalogue is known to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueState {
    /// Not confirmed by any host since this one started.
    Blank,
    /// The newest catalogue known in the zone, not confirmed by the control group.
    Zone,
    /// Confirmed by the control group since this host started.
    Current,
}

/// The versions of the catalogue and the ownership table that a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the catalogue.
    pub catalogue: Version,
    /// The log index of the ownership table.
    pub table: u64,
}

/// A message that distributes the catalogue and the ownership table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// Asks for newer versions than those of the sender.
    Pull {
        /// The versions of the sender.
        versions: Versions,
        /// True if the sender needs a reply that is known to be current.
        needs_current: bool,
    },
    /// The changes that the receiver lacks.
    Update(Box<Update>),
}

/// The changes from a child's versions to those of its parent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The change of the catalogue; `None` if the child has the newest.
    pub delta: Option<Delta>,
    /// The encoded ownership table; `None` if the child has the newest.
    pub table: Option<Vec<u8>>,
    /// The versions of the parent.
    pub versions: Versions,
    /// Time since the parent's versions were the newest of the control group.
    pub age: Duration,
    /// How current the catalogue is known to be; `Current` only if the control group has confirmed it for this reply.
    pub state: CatalogueState,
}

/// One host's part in the distribution: its parent, its children and the state of its catalogue.
#[derive(Debug)]
pub struct Spread {
    id: HostId,
    zone: Zone,
    opened: Time,
    state: CatalogueState,
    parent: Option<HostId>,
    last_poll: Option<Time>,
    last_reply: Time,
    /// Time at which this host's versions were last the newest of the control group.
    group_seen: Time,
    /// Time at which the parent was chosen.
    parent_since: Time,
    next_index: usize,
    children: IndexMap<HostId, Child>,
}

#[derive(Debug, Clone, Copy)]
struct Child {
    versions: Versions,
    last_contact: Time,
}

impl Spread {
    /// Creates the state of a host that has just started.
    pub fn open(id: HostId, zone: Zone, now: Time) -> Self {
        Self {
            id,
            zone,
            opened: now,
            state: CatalogueState::Blank,
            parent: None,
            last_poll: None,
            last_reply: now,
            group_seen: now,
            parent_since: now,
            next_index: 0,
            children: IndexMap::new(),
        }
    }

    /// Returns how current this host's catalogue is known to be.
    pub const fn state(&self) -> CatalogueState {
        self.state
    }

    /// Returns the host that this one polls. `None` if there is none.
    pub const fn parent(&self) -> Option<HostId> {
        self.parent
    }

    /// Returns the host to poll now. `None` if no poll is due or no host can be polled. `group` are the members of the
    /// control group, `relays` the relays of this zone.
    pub fn poll_parent(
        &mut self,
        now: Time,
        member_slots: &[MemberInfo],
        group: &[HostId],
        relays: &[HostId],
    ) -> Option<HostId> {
        let period = if self.state == CatalogueState::Current { POLL_PERIOD } else { STARTUP_POLL_PERIOD };
        let due = self.last_poll.is_none_or(|at| now - at >= period);
        if !due {
            return None;
        }
        let silent = now - self.last_reply > period * 3;
        // A parent may itself hear nothing new, or only from this host, and answer all the same.
        let outdated = now - self.group_seen.max(self.parent_since) > MAX_AGE;
        if self.parent.is_none_or(|parent| silent || outdated || !is_usable(member_slots, parent)) {
            self.parent = self.choose_parent(now, member_slots, group, relays);
            (self.last_reply, self.parent_since) = (now, now);
        }
        self.last_poll = Some(now);
        self.parent
    }

    /// Returns the time since this host's versions were the newest of the control group.
    pub fn age(&self, now: Time) -> Duration {
        now - self.group_seen
    }

    /// Records that this host's versions were the newest of the control group `age` ago.
    pub fn on_group_state(&mut self, now: Time, age: Duration) {
        self.group_seen = self.group_seen.max(Time::ZERO + (now - Time::ZERO).saturating_sub(age));
    }

    /// Handles the catalogue state of a parent; the host installs the update itself. `has_catalogue` is true if the
    /// host has a catalogue that is not empty, since an empty one is never the newest of a zone.
    pub fn on_update(&mut self, now: Time, from: HostId, state: CatalogueState, has_catalogue: bool) {
        if Some(from) == self.parent {
            self.last_reply = now;
        }
        let isolated = now - self.opened >= ISOLATION_TIMEOUT;
        if self.state != CatalogueState::Current && state != CatalogueState::Current {
            // Another parent may be able to confirm the catalogue.
            self.parent = None;
        }
        self.state = match (self.state, state) {
            (CatalogueState::Current, _) | (_, CatalogueState::Current) => CatalogueState::Current,
            (CatalogueState::Blank, CatalogueState::Zone | CatalogueState::Blank) if isolated && has_catalogue => {
                CatalogueState::Zone
            }
            (state, _) => state,
        };
    }

    /// Marks the catalogue as current after this host has confirmed it with the control group itself.
    pub fn set_current(&mut self) {
        self.state = CatalogueState::Current;
    }

    /// Reports that there is no host to poll; after [`ISOLATION_TIMEOUT`] the host serves the catalogue it has, if any.
    pub fn on_no_parent(&mut self, now: Time, has_catalogue: bool) {
        if self.state == CatalogueState::Blank && has_catalogue && now - self.opened >= ISOLATION_TIMEOUT {
            self.state = CatalogueState::Zone;
        }
    }

    /// Records the versions of a child.
    pub fn on_versions(&mut self, now: Time, from: HostId, versions: Versions) {
        self.children.insert(from, Child { versions, last_contact: now });
    }

    /// Returns the children with older versions than `versions`, and marks them as updated.
    pub fn take_outdated(&mut self, now: Time, versions: Versions) -> Vec<(HostId, Versions)> {
        self.children.retain(|_, child| now - child.last_contact < CHILD_TIMEOUT);
        let is_outdated =
            |child: &Child| child.versions.catalogue < versions.catalogue || child.versions.table < versions.table;
        let outdated = self.children.iter_mut().filter(|(_, child)| is_outdated(child));
        outdated.map(|(&host, child)| (host, std::mem::replace(&mut child.versions, versions))).collect()
    }

    /// Returns the last known versions of the children.
    pub fn children(&self) -> impl Iterator<Item = (HostId, Versions)> {
        self.children.iter().map(|(&host, child)| (host, child.versions))
    }

    /// Chooses the next parent: relays poll the control group, other hosts poll a relay. A host that has just started
    /// polls the group itself, or any host of its zone if no member of the group is reachable.
    fn choose_parent(
        &mut self,
        now: Time,
        member_slots: &[MemberInfo],
        group: &[HostId],
        relays: &[HostId],
    ) -> Option<HostId> {
        let others = |hosts: &[HostId]| -> Vec<HostId> {
            hosts.iter().copied().filter(|&host| host != self.id && is_usable(member_slots, host)).collect()
        };
        let (group, relays) = (others(group), others(relays));
        let isolated = now - self.opened >= ISOLATION_TIMEOUT;
        let direct = self.state != CatalogueState::Current && !isolated;
        let relay = relays.is_empty() || self.is_relay(&relays, member_slots);
        let zone_slots = member_slots.iter().filter(|slot| slot.zone == self.zone && slot.id != self.id && slot.usable);
        let zone_hosts: Vec<HostId> = zone_slots.map(|slot| slot.id).collect();
        self.next_index += 1;
        let from = match () {
            () if !group.is_empty() && (direct || relay || self.next_index.is_multiple_of(3)) => group,
            () if !relays.is_empty() => relays,
            () => zone_hosts,
        };
        from.get(self.next_index % from.len().max(1)).copied()
    }

    /// Returns true if this host is a relay, that is, if the other relays are fewer than the zone has in all.
    fn is_relay(&self, others: &[HostId], member_slots: &[MemberInfo]) -> bool {
        let zone_size = member_slots.iter().filter(|slot| slot.zone == self.zone).count();
        others.len() < mangogw_cluster::members::RELAYS_PER_ZONE.min(zone_size)
    }
}

fn is_usable(member_slots: &[MemberInfo], host: HostId) -> bool {
    member_slots.iter().any(|slot| slot.id == host && slot.usable)
}
