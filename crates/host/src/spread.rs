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
pub const ASK_PERIOD: Duration = Duration::from_secs(1);
/// Between two questions of a host that is not current yet.
pub const EAGER_PERIOD: Duration = Duration::from_millis(100);
/// A child that was not heard from for so long is told nothing.
pub const CHILD_TIME: Duration = Duration::from_secs(4);
/// A host that starts and hears of no control group for so long takes the newest that its zone has.
pub const CUT_TIME: Duration = Duration::from_secs(3);

/// How sure a host is of its catalogue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It has not heard anything since it started.
    Blank,
    /// The newest that its zone's hosts have, without word from the control group.
    Zone,
    /// Read from the control group after it started.
    Current,
}

/// The versions that a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Of the catalogue.
    pub catalogue: Version,
    /// The log index of the ownership table.
    pub table: u64,
}

/// A message of the spread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// What the sender has; it asks for what is newer.
    Have {
        /// Its versions.
        have: Have,
        /// True if it needs an answer that is known to be current.
        fresh: bool,
    },
    /// What the sender has that the receiver had not.
    News(Box<News>),
}

/// What leads from a child's versions to its parent's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Of the catalogue; none if the child has it.
    pub delta: Option<Delta>,
    /// The ownership table; none if the child has it.
    pub table: Option<Vec<u8>>,
    /// The versions of the parent.
    pub have: Have,
    /// How sure the parent is.
    pub standing: Standing,
}

/// Where a host stands in the spread.
#[derive(Debug)]
pub struct Spread {
    id: HostId,
    zone: Zone,
    opened: Time,
    standing: Standing,
    parent: Option<HostId>,
    asked: Option<Time>,
    answered: Time,
    turn: usize,
    children: IndexMap<HostId, Child>,
}

#[derive(Debug, Clone, Copy)]
struct Child {
    have: Have,
    heard: Time,
}

impl Spread {
    /// A host that has just started.
    pub fn open(id: HostId, zone: Zone, now: Time) -> Self {
        Self {
            id,
            zone,
            opened: now,
            standing: Standing::Blank,
            parent: None,
            asked: None,
            answered: now,
            turn: 0,
            children: IndexMap::new(),
        }
    }

    /// How sure this host is of its catalogue.
    pub const fn standing(&self) -> Standing {
        self.standing
    }

    /// The host it asks.
    pub const fn parent(&self) -> Option<HostId> {
        self.parent
    }

    /// The host to ask now, if a question is due. `group` are members of the control group, `relays` those of this
    /// zone.
    pub fn ask(&mut self, now: Time, seats: &[MemberInfo], group: &[HostId], relays: &[HostId]) -> Option<HostId> {
        let period = if self.standing == Standing::Current { ASK_PERIOD } else { EAGER_PERIOD };
        let due = self.asked.is_none_or(|asked| now - asked >= period);
        if !due {
            return None;
        }
        let silent = now - self.answered > period * 3;
        if self.parent.is_none_or(|parent| silent || !is_usable(seats, parent)) {
            self.parent = self.choose(now, seats, group, relays);
            self.answered = now;
        }
        self.asked = Some(now);
        self.parent
    }

    /// Takes what a parent said of itself. The news themselves are installed by the host; `holds` is true if the host
    /// has any catalogue, since an empty one is never the newest of a zone.
    pub fn on_news(&mut self, now: Time, from: HostId, standing: Standing, holds: bool) {
        if Some(from) == self.parent {
            self.answered = now;
        }
        let alone = now - self.opened >= CUT_TIME;
        if self.standing == Standing::Blank && standing != Standing::Current {
            // Another one may be able to confirm.
            self.parent = None;
        }
        self.standing = match (self.standing, standing) {
            (Standing::Current, _) | (_, Standing::Current) => Standing::Current,
            (Standing::Blank, Standing::Zone | Standing::Blank) if alone && holds => Standing::Zone,
            (standing, _) => standing,
        };
    }

    /// Says that this host has read the state of the control group itself.
    pub fn set_current(&mut self) {
        self.standing = Standing::Current;
    }

    /// Says that there is nobody to ask; after a while the host serves what it has, if it has anything.
    pub fn settle(&mut self, now: Time, holds: bool) {
        if self.standing == Standing::Blank && holds && now - self.opened >= CUT_TIME {
            self.standing = Standing::Zone;
        }
    }

    /// Takes what a child has.
    pub fn on_have(&mut self, now: Time, from: HostId, have: Have) {
        self.children.insert(from, Child { have, heard: now });
    }

    /// The children that are behind `have`, which then count as told.
    pub fn behind(&mut self, now: Time, have: Have) -> Vec<(HostId, Have)> {
        self.children.retain(|_, child| now - child.heard < CHILD_TIME);
        let older = |child: &Child| child.have.catalogue < have.catalogue || child.have.table < have.table;
        let late = self.children.iter_mut().filter(|(_, child)| older(child));
        late.map(|(&host, child)| (host, std::mem::replace(&mut child.have, have))).collect()
    }

    /// The versions that children were last known to have.
    pub fn children(&self) -> impl Iterator<Item = (HostId, Have)> {
        self.children.iter().map(|(&host, child)| (host, child.have))
    }

    /// The next parent: relays ask the control group, other hosts a relay. A host that just started asks the group
    /// itself, and anyone of its zone where nobody of the group can be reached.
    fn choose(&mut self, now: Time, seats: &[MemberInfo], group: &[HostId], relays: &[HostId]) -> Option<HostId> {
        let others = |hosts: &[HostId]| -> Vec<HostId> {
            hosts.iter().copied().filter(|&host| host != self.id && is_usable(seats, host)).collect()
        };
        let (group, relays) = (others(group), others(relays));
        let alone = now - self.opened >= CUT_TIME;
        let direct = self.standing != Standing::Current && !alone;
        let relay = relays.is_empty() || self.is_relay(&relays, seats);
        let near = seats.iter().filter(|seat| seat.zone == self.zone && seat.id != self.id && seat.usable);
        let near: Vec<HostId> = near.map(|seat| seat.id).collect();
        self.turn += 1;
        let from = match () {
            () if !group.is_empty() && (direct || relay || self.turn.is_multiple_of(3)) => group,
            () if !relays.is_empty() => relays,
            () => near,
        };
        from.get(self.turn % from.len().max(1)).copied()
    }

    /// True if this host is a relay: fewer relays than the zone could have are others.
    fn is_relay(&self, others: &[HostId], seats: &[MemberInfo]) -> bool {
        let near = seats.iter().filter(|seat| seat.zone == self.zone).count();
        others.len() < mangogw_cluster::members::RELAYS_PER_ZONE.min(near)
    }
}

fn is_usable(seats: &[MemberInfo], host: HostId) -> bool {
    seats.iter().any(|seat| seat.id == host && seat.usable)
}
