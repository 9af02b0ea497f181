//! The spread of the catalogue and the ownership table from the control group to every host.
//!
//! A host asks one parent at a time: a relay of its zone, or, if it is a relay itself, a member of the control group.
//! It says which versions it has; a parent that has newer ones answers with what is missing, and tells its children at
//! once when it gets newer ones. A parent that does not answer is replaced by the next. Versions only go up.

use indexmap::IndexMap;
use mangogw_catalogue::Delta;
use mangogw_cluster::MemberInfo;
use mangogw_model::{HostId, Time, Version, Zone};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Between two questions to a parent that had nothing new.
pub const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Between two questions of a host that is not current yet.
pub const STARTUP_POLL_PERIOD: Duration = Duration::from_millis(100);
/// A child that was not heard from for so long is told nothing.
pub const CHILD_TIMEOUT: Duration = Duration::from_secs(4);
/// A host that starts and hears of no control group for so long takes the newest that its zone has.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// How sure a host is of its catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueState {
    /// It has not heard anything since it started.
    Blank,
    /// The newest that its zone's hosts have, without word from the control group.
    Zone,
    /// Read from the control group after it started.
    Current,
}

/// The versions that a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the catalogue.
    pub catalogue: Version,
    /// The log index of the ownership table.
    pub table: u64,
}

/// A message of the spread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// What the sender has; it asks for what is newer.
    Pull {
        /// Its versions.
        versions: Versions,
        /// True if it needs an answer that is known to be current.
        needs_current: bool,
    },
    /// What the sender has that the receiver had not.
    Update(Box<Update>),
}

/// What leads from a child's versions to its parent's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Of the catalogue; none if the child has it.
    pub delta: Option<Delta>,
    /// The ownership table; none if the child has it.
    pub table: Option<Vec<u8>>,
    /// The versions of the parent.
    pub versions: Versions,
    /// How sure the parent is.
    pub state: CatalogueState,
}

/// Where a host stands in the spread.
#[derive(Debug)]
pub struct Spread {
    id: HostId,
    zone: Zone,
    opened: Time,
    state: CatalogueState,
    parent: Option<HostId>,
    last_poll: Option<Time>,
    last_reply: Time,
    next_index: usize,
    children: IndexMap<HostId, Child>,
}

#[derive(Debug, Clone, Copy)]
struct Child {
    versions: Versions,
    last_contact: Time,
}

impl Spread {
    /// A host that has just started.
    pub fn open(id: HostId, zone: Zone, now: Time) -> Self {
        Self {
            id,
            zone,
            opened: now,
            state: CatalogueState::Blank,
            parent: None,
            last_poll: None,
            last_reply: now,
            next_index: 0,
            children: IndexMap::new(),
        }
    }

    /// How sure this host is of its catalogue.
    pub const fn state(&self) -> CatalogueState {
        self.state
    }

    /// The host it asks.
    pub const fn parent(&self) -> Option<HostId> {
        self.parent
    }

    /// The host to ask now, if a question is due. `group` are members of the control group, `relays` those of this
    /// zone.
    pub fn poll_parent(
        &mut self,
        now: Time,
        member_slots: &[MemberInfo],
        group: &[HostId],
        relays: &[HostId],
    ) -> Option<HostId> {
        let period = if self.state == CatalogueState::Current { POLL_PERIOD } else { STARTUP_POLL_PERIOD };
        let due = self.last_poll.is_none_or(|last_poll| now - last_poll >= period);
        if !due {
            return None;
        }
        let silent = now - self.last_reply > period * 3;
        if self.parent.is_none_or(|parent| silent || !is_usable(member_slots, parent)) {
            self.parent = self.choose_parent(now, member_slots, group, relays);
            self.last_reply = now;
        }
        self.last_poll = Some(now);
        self.parent
    }

    /// Takes what a parent said of itself. The news themselves are installed by the host; `holds` is true if the host
    /// has any catalogue, since an empty one is never the newest of a zone.
    pub fn on_update(&mut self, now: Time, from: HostId, state: CatalogueState, holds: bool) {
        if Some(from) == self.parent {
            self.last_reply = now;
        }
        let alone = now - self.opened >= ISOLATION_TIMEOUT;
        if self.state == CatalogueState::Blank && state != CatalogueState::Current {
            // Another one may be able to confirm.
            self.parent = None;
        }
        self.state = match (self.state, state) {
            (CatalogueState::Current, _) | (_, CatalogueState::Current) => CatalogueState::Current,
            (CatalogueState::Blank, CatalogueState::Zone | CatalogueState::Blank) if alone && holds => {
                CatalogueState::Zone
            }
            (state, _) => state,
        };
    }

    /// Says that this host has read the state of the control group itself.
    pub fn set_current(&mut self) {
        self.state = CatalogueState::Current;
    }

    /// Says that there is nobody to ask; after a while the host serves what it has, if it has anything.
    pub fn on_no_parent(&mut self, now: Time, holds: bool) {
        if self.state == CatalogueState::Blank && holds && now - self.opened >= ISOLATION_TIMEOUT {
            self.state = CatalogueState::Zone;
        }
    }

    /// Takes what a child has.
    pub fn on_versions(&mut self, now: Time, from: HostId, versions: Versions) {
        self.children.insert(from, Child { versions, last_contact: now });
    }

    /// The children that are behind `versions`, which then count as told.
    pub fn take_outdated(&mut self, now: Time, versions: Versions) -> Vec<(HostId, Versions)> {
        self.children.retain(|_, child| now - child.last_contact < CHILD_TIMEOUT);
        let older =
            |child: &Child| child.versions.catalogue < versions.catalogue || child.versions.table < versions.table;
        let late = self.children.iter_mut().filter(|(_, child)| older(child));
        late.map(|(&host, child)| (host, std::mem::replace(&mut child.versions, versions))).collect()
    }

    /// The versions that children were last known to have.
    pub fn children(&self) -> impl Iterator<Item = (HostId, Versions)> {
        self.children.iter().map(|(&host, child)| (host, child.versions))
    }

    /// The next parent: relays ask the control group, other hosts a relay. A host that just started asks the group
    /// itself, and anyone of its zone where nobody of the group can be reached.
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
        let alone = now - self.opened >= ISOLATION_TIMEOUT;
        let direct = self.state != CatalogueState::Current && !alone;
        let relay = relays.is_empty() || self.is_relay(&relays, member_slots);
        let near = member_slots.iter().filter(|slot| slot.zone == self.zone && slot.id != self.id && slot.usable);
        let near: Vec<HostId> = near.map(|slot| slot.id).collect();
        self.next_index += 1;
        let from = match () {
            () if !group.is_empty() && (direct || relay || self.next_index.is_multiple_of(3)) => group,
            () if !relays.is_empty() => relays,
            () => near,
        };
        from.get(self.next_index % from.len().max(1)).copied()
    }

    /// True if this host is a relay: fewer relays than the zone could have are others.
    fn is_relay(&self, others: &[HostId], member_slots: &[MemberInfo]) -> bool {
        let near = member_slots.iter().filter(|slot| slot.zone == self.zone).count();
        others.len() < mangogw_cluster::members::RELAYS_PER_ZONE.min(near)
    }
}

fn is_usable(member_slots: &[MemberInfo], host: HostId) -> bool {
    member_slots.iter().any(|slot| slot.id == host && slot.usable)
}
