//! What operators see of a host.

use crate::host::Host;
use crate::spread::CatalogueState;
use indexmap::IndexMap;
use mangogw_cluster::grants::Target;
use mangogw_model::{HostId, Incarnation, Kind, Rack, TargetName, Time, Version, Zone};
use serde::Serialize;
use std::net::SocketAddr;

/// A host as another one sees it.
#[derive(Debug, Clone, Serialize)]
pub struct HostView {
    /// The host.
    pub id: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Where hosts reach it.
    pub address: SocketAddr,
    /// Where callers reach it.
    pub http: SocketAddr,
    /// True if it has a data folder.
    pub voter: bool,
    /// True if it can be reached from here.
    pub reachable: bool,
    /// The version of the catalogue it last told this host, if it did.
    pub catalogue: Option<Version>,
}

/// A target that this host owns.
#[derive(Debug, Clone, Serialize)]
pub struct TargetView {
    /// Its name.
    pub name: TargetName,
    /// Its zone.
    pub zone: Zone,
    /// Its rack.
    pub rack: Rack,
    /// Its kind.
    pub kind: Kind,
    /// Where tasks are sent.
    pub address: SocketAddr,
    /// Its state.
    pub state: &'static str,
    /// How long it has been in that state, in milliseconds.
    pub since_ms: u64,
    /// Tasks it runs.
    pub running: u32,
    /// Tasks it may run now.
    pub limit: u32,
    /// Its slots.
    pub slots: u32,
    /// How many times faster than the average it is.
    pub speed: f32,
    /// Failures since its last answer.
    pub strikes: u32,
    /// What is left of this host's lease on it, in milliseconds.
    pub lease_ms: u64,
}

/// A host in figures.
#[derive(Debug, Clone, Serialize)]
pub struct StatusView {
    /// The host.
    pub host: HostId,
    /// Its zone.
    pub zone: Zone,
    /// True if it takes traffic.
    pub ready: bool,
    /// How sure it is of its catalogue.
    pub standing: CatalogueState,
    /// The version of its catalogue.
    pub catalogue: Version,
    /// The log index of its ownership table.
    pub table: u64,
    /// The host it hears of changes from.
    pub parent: Option<HostId>,
    /// Hosts that are members.
    pub hosts: usize,
    /// Hosts that can be reached.
    pub reachable: usize,
    /// Targets that it owns.
    pub targets: usize,
    /// Tasks that wait or run here.
    pub tasks: usize,
    /// Requests that run on other hosts.
    pub relayed: usize,
    /// Records of submissions.
    pub records: usize,
    /// Bytes of them.
    pub record_bytes: usize,
    /// Messages beside one start for each task, since the start of the process.
    pub wasted: u64,
    /// Its role in the control group, if it belongs to it.
    pub role: Option<String>,
    /// The hosts that were behind when they last asked here.
    pub behind: Vec<HostId>,
}

impl Host {
    /// The hosts that this one knows.
    pub fn host_views(&self) -> Vec<HostView> {
        let version = |id| self.spread.children().find(|(host, _)| *host == id).map(|(_, versions)| versions.catalogue);
        let views = self.members.alive().map(|host| HostView {
            id: host.id,
            incarnation: host.incarnation,
            zone: host.zone.clone(),
            address: host.address,
            http: host.http_address,
            voter: host.voter,
            reachable: self.members.reachable(host.id),
            catalogue: if host.id == self.settings.host { Some(self.catalogue.version()) } else { version(host.id) },
        });
        views.collect()
    }

    /// The targets that this host owns.
    pub fn target_views(&self, now: Time) -> Vec<TargetView> {
        let named = self.dispatch.target_views(now).filter_map(|view| {
            let announcement = self.dispatch.announcement(view.key)?;
            Some((&announcement.name, view))
        });
        let known: IndexMap<_, _> = named.collect();
        let owned = self.grants.owned_targets(now);
        let views = owned.filter_map(|announcement| {
            let view = known.get(&announcement.name)?;
            let until = self.grants.lease_end(now, &Target::from_announcement(announcement)).unwrap_or(now);
            Some(TargetView {
                name: announcement.name.clone(),
                zone: announcement.zone.clone(),
                rack: announcement.rack.clone(),
                kind: announcement.kind,
                address: announcement.address,
                state: view.state.name(),
                since_ms: (now - view.state_since).as_millis() as u64,
                running: view.running,
                limit: view.limit,
                slots: announcement.capacity.slots,
                speed: view.speed,
                strikes: view.failures,
                lease_ms: (until - now).as_millis() as u64,
            })
        });
        views.collect()
    }

    /// The number of voters of the control group, as far as this host belongs to it.
    pub fn voters(&self) -> usize {
        self.group.as_ref().map_or(0, |group| group.status().members.voters.len())
    }

    /// The host in figures.
    pub fn status_view(&self, now: Time) -> StatusView {
        let versions = self.versions();
        let behind = self.spread.children().filter(|(_, theirs)| theirs.catalogue < versions.catalogue);
        StatusView {
            host: self.settings.host,
            zone: self.settings.zone.clone(),
            ready: self.is_ready(),
            standing: self.spread.state(),
            catalogue: versions.catalogue,
            table: versions.table,
            parent: self.spread.parent(),
            hosts: self.member_slots.len(),
            reachable: self.member_slots.iter().filter(|slot| slot.usable).count(),
            targets: self.grants.owned_targets(now).count(),
            tasks: self.tasks.len(),
            relayed: self.relay.len(),
            records: self.records.record_count(),
            record_bytes: self.records.record_bytes(),
            wasted: self.dispatch.waste().messages(),
            role: self.group.as_ref().map(|group| format!("{:?}", group.status().role).to_lowercase()),
            behind: behind.map(|(host, _)| host).collect(),
        }
    }
}
