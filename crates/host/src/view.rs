//! The views of a host that operators read as JSON.

use crate::host::Host;
use crate::spread::CatalogueState;
use indexmap::IndexMap;
use mangogw_cluster::grants::Target;
use mangogw_model::{HostId, Incarnation, Kind, Rack, TargetName, Time, Version, Zone};
use serde::Serialize;
use std::net::SocketAddr;

/// A host as seen by another host.
#[derive(Debug, Clone, Serialize)]
pub struct HostView {
    /// Id of the host.
    pub id: HostId,
    /// The incarnation of the host.
    pub incarnation: Incarnation,
    /// The zone of the host.
    pub zone: Zone,
    /// Address at which hosts reach it.
    pub address: SocketAddr,
    /// Address at which callers reach it.
    pub http: SocketAddr,
    /// True if the host has a data folder.
    pub voter: bool,
    /// True if the host is reachable from this one.
    pub reachable: bool,
    /// The catalogue version that the host last reported to this one; `None` if it reported none.
    pub catalogue: Option<Version>,
}

/// A target that this host owns.
#[derive(Debug, Clone, Serialize)]
pub struct TargetView {
    /// The name of the target.
    pub name: TargetName,
    /// The zone of the target.
    pub zone: Zone,
    /// The rack of the target.
    pub rack: Rack,
    /// The kind of the target.
    pub kind: Kind,
    /// Address to which tasks are sent.
    pub address: SocketAddr,
    /// The state of the target.
    pub state: &'static str,
    /// Time in that state, in milliseconds.
    pub since_ms: u64,
    /// Number of tasks that the target runs.
    pub running: u32,
    /// Number of tasks that the target may run now.
    pub limit: u32,
    /// Number of slots of the target.
    pub slots: u32,
    /// Speed relative to the average target; 2 is twice as fast.
    pub speed: f32,
    /// Number of failures since the last answer.
    pub strikes: u32,
    /// Time left of this host's lease on the target, in milliseconds.
    pub lease_ms: u64,
}

/// State and counters of a host.
#[derive(Debug, Clone, Serialize)]
pub struct StatusView {
    /// Id of the host.
    pub host: HostId,
    /// The zone of the host.
    pub zone: Zone,
    /// True if the host accepts work.
    pub ready: bool,
    /// How current the host's catalogue is known to be.
    pub standing: CatalogueState,
    /// The version of the host's catalogue.
    pub catalogue: Version,
    /// The log index of the host's ownership table.
    pub table: u64,
    /// The host that is polled for changes; `None` if there is none.
    pub parent: Option<HostId>,
    /// Number of member hosts.
    pub hosts: usize,
    /// Number of reachable hosts.
    pub reachable: usize,
    /// Number of targets that the host owns.
    pub targets: usize,
    /// Number of tasks that wait or run here.
    pub tasks: usize,
    /// Number of requests relayed to other hosts.
    pub relayed: usize,
    /// Number of submission records.
    pub records: usize,
    /// Size of the submission records, in bytes.
    pub record_bytes: usize,
    /// Number of messages to targets beyond one start for each task, since the start of the process.
    pub wasted: u64,
    /// Role in the control group; `None` if the host does not belong to it.
    pub role: Option<String>,
    /// The hosts whose catalogue was older than this host's when they last polled it.
    pub behind: Vec<HostId>,
}

impl Host {
    /// Returns the views of all hosts that this one knows.
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

    /// Returns the views of the targets that this host owns.
    pub fn target_views(&self, now: Time) -> Vec<TargetView> {
        let views_by_name = self.dispatch.target_views(now).filter_map(|view| {
            let announcement = self.dispatch.announcement(view.key)?;
            Some((&announcement.name, view))
        });
        let dispatch_views: IndexMap<_, _> = views_by_name.collect();
        let owned = self.grants.owned_targets(now);
        let views = owned.filter_map(|announcement| {
            let view = dispatch_views.get(&announcement.name)?;
            let lease_end = self.grants.lease_end(now, &Target::from_announcement(announcement)).unwrap_or(now);
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
                lease_ms: (lease_end - now).as_millis() as u64,
            })
        });
        views.collect()
    }

    /// Returns the number of voters of the control group; 0 if this host does not belong to it.
    pub fn voters(&self) -> usize {
        self.group.as_ref().map_or(0, |group| group.status().members.voters.len())
    }

    /// Returns the state and counters of this host.
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
