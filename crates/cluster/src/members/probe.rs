//! Failure detection: pings, retries on new connections, probes through other hosts, suspicion.

use super::{
    Body, DIRECT_TIMEOUT, ENDED_RETENTION, INDIRECT_PROBES, INDIRECT_TIMEOUT, JOIN_INTERVAL, MemberRecord, Members,
    Message, Output, PING_INTERVAL, RECONNECT_TIMEOUT, RELAY_PING_INTERVAL, REVIVE_INTERVAL, SUSPICION_TIMEOUT, Status,
    UNREACHABLE_DURATION, ZONE_TIMEOUT,
};
use mangogw_model::{HostId, Incarnation, Time};
use rand::seq::{IndexedRandom, SliceRandom};

/// Stage of the probe of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Pinged on the open connection.
    Direct,
    /// Pinged on a new connection.
    Reconnect,
    /// Pinged through other hosts.
    Indirect,
}

/// An unanswered ping.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    to: HostId,
    incarnation: Incarnation,
    start: Time,
    until: Time,
    stage: Stage,
}

/// An unanswered ping on behalf of another host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndirectProbe {
    requester: HostId,
    subject: HostId,
    serial: u64,
    until: Time,
}

impl Members {
    /// Pings the next peer of the zone.
    pub(super) fn probe_peers(&mut self, now: Time) {
        if now < self.due.probe {
            return;
        }
        self.due.probe = now + PING_INTERVAL;
        match self.next_peer() {
            Some(to) if !self.probes.values().any(|probe| probe.to == to) => self.ping(now, to),
            Some(_) | None => {}
        }
    }

    /// Returns the next peer of the zone, in rounds of shuffled order.
    fn next_peer(&mut self) -> Option<HostId> {
        let me = self.me.host.id;
        if self.probe_order.is_empty() {
            let zone = self.me.host.zone.clone();
            self.probe_order = self.table.members(&zone).map(|host| host.id).filter(|&id| id != me).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        while let Some(id) = self.probe_order.pop() {
            if self.table.get(id).is_some_and(|peer| peer.record.is_member()) {
                return Some(id);
            }
        }
        None
    }

    pub(super) fn ping(&mut self, now: Time, to: HostId) {
        let Some(incarnation) = self.table.get(to).map(|peer| peer.record.host.incarnation) else { return };
        self.serial += 1;
        let probe = Probe { to, incarnation, start: now, until: now + DIRECT_TIMEOUT, stage: Stage::Direct };
        self.probes.insert(self.serial, probe);
        let gossip = self.next_gossip(now, to);
        self.send(to, Body::Ping { serial: self.serial, gossip });
    }

    /// Moves probes that timed out to their next stage.
    pub(super) fn check_probes(&mut self, now: Time) {
        self.indirect_probes.retain(|_, indirect| indirect.until > now);
        let timed_out: Vec<(u64, Probe)> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.until <= now)
            .map(|(&serial, &probe)| (serial, probe))
            .collect();
        for (serial, probe) in timed_out {
            match probe.stage {
                Stage::Direct => self.probe_reconnected(now, serial, probe),
                Stage::Reconnect => self.probe_indirectly(now, serial, probe),
                Stage::Indirect => self.fail_probe(now, serial, probe),
            }
        }
    }

    /// Pings again on a new connection.
    fn probe_reconnected(&mut self, now: Time, serial: u64, probe: Probe) {
        self.out.push(Output::Reconnect { to: probe.to });
        self.probes.insert(serial, Probe { until: now + RECONNECT_TIMEOUT, stage: Stage::Reconnect, ..probe });
        self.send(probe.to, Body::Join { record: self.me.clone(), want_all: false });
        let gossip = self.next_gossip(now, probe.to);
        self.send(probe.to, Body::Ping { serial, gossip });
    }

    /// Marks the host as unreachable and asks other hosts to ping it.
    fn probe_indirectly(&mut self, now: Time, serial: u64, probe: Probe) {
        if let Some(peer) = self.table.get_mut(probe.to) {
            peer.unreachable_until = now + UNREACHABLE_DURATION;
        }
        self.probes.insert(serial, Probe { until: now + INDIRECT_TIMEOUT, stage: Stage::Indirect, ..probe });
        for helper in self.helpers(probe.to) {
            self.send(helper, Body::Probe { serial, subject: probe.to });
        }
    }

    /// Returns hosts that may reach `about`: hosts of this zone first, and one of another zone.
    fn helpers(&mut self, about: HostId) -> Vec<HostId> {
        let zone = self.me.host.zone.clone();
        let excluded = [about, self.me.host.id];
        let all: Vec<(HostId, bool)> =
            self.alive().filter(|host| !excluded.contains(&host.id)).map(|host| (host.id, host.zone == zone)).collect();
        let usable = |near: bool| -> Vec<HostId> {
            all.iter().filter(|&&(id, same)| same == near && self.reachable(id)).map(|&(id, _)| id).collect()
        };
        let (mut near, mut far) = (usable(true), usable(false));
        near.shuffle(&mut self.rng);
        far.shuffle(&mut self.rng);
        near.truncate(INDIRECT_PROBES - 1);
        far.truncate(INDIRECT_PROBES - near.len());
        near.extend(far);
        near
    }

    /// Ends a probe that was not answered at any stage, and suspects the host if it had no other contact.
    fn fail_probe(&mut self, now: Time, serial: u64, probe: Probe) {
        self.probes.swap_remove(&serial);
        let Some(peer) = self.table.get(probe.to) else { return };
        let silent = peer.last_contact.is_none_or(|at| at < probe.start);
        let same = peer.record.host.incarnation == probe.incarnation && peer.record.host.zone == self.me.host.zone;
        if silent && same && peer.record.status == Status::Alive {
            let record = MemberRecord { status: Status::Suspect, ..peer.record.clone() };
            self.apply_record(now, &record);
        }
    }

    /// Marks suspects of this zone as dead that did not refute in time, and removes hosts that ended long ago.
    pub(super) fn mark_dead(&mut self, now: Time) {
        for id in self.table.with_status(Status::Suspect) {
            let Some(peer) = self.table.get(id) else { continue };
            let contact = peer.last_contact.is_some_and(|at| at > peer.status_since && now - at < SUSPICION_TIMEOUT);
            let expired = now - peer.status_since >= SUSPICION_TIMEOUT && peer.record.host.zone == self.me.host.zone;
            match expired {
                true if contact => self.repeat_suspicion(now, id),
                true => {
                    let record = MemberRecord { status: Status::Dead, ..peer.record.clone() };
                    self.apply_record(now, &record);
                }
                false => {}
            }
        }
        let limit = Time::ZERO + (now - Time::ZERO).saturating_sub(ENDED_RETENTION);
        self.table.remove_ended(limit);
    }

    /// Keeps a suspect that was in contact, and notifies it again so that it refutes the suspicion.
    fn repeat_suspicion(&mut self, now: Time, id: HostId) {
        if let Some(peer) = self.table.get_mut(id) {
            peer.status_since = now;
        }
        self.table.queue_gossip(id);
        self.ping(now, id);
    }

    /// Pings a relay of each other zone, if this host is a relay.
    pub(super) fn ping_zones(&mut self, now: Time) {
        if now < self.due.relay {
            return;
        }
        self.due.relay = now + RELAY_PING_INTERVAL;
        let own = self.me.host.zone.clone();
        if !self.relays(&own).contains(&self.me.host.id) {
            return;
        }
        for zone in self.zones() {
            let relays = self.relays(&zone);
            match relays.choose(&mut self.rng) {
                Some(&to) if zone != own => self.ping(now, to),
                Some(_) | None => {}
            }
        }
    }

    /// Reports zones that became unreachable or reachable.
    pub(super) fn check_zones(&mut self, now: Time) {
        for (zone, contact) in &mut self.zones {
            let silent = now - contact.last_contact >= ZONE_TIMEOUT;
            match (contact.unreachable, silent) {
                (false, true) => self.out.push(Output::ZoneUnreachable(zone.clone())),
                (true, false) => self.out.push(Output::ZoneReachable(zone.clone())),
                _ => {}
            }
            contact.unreachable = silent;
        }
    }

    /// Dials the seeds until another host is known.
    pub(super) fn join(&mut self, now: Time) {
        if now < self.due.join || self.leaving {
            return;
        }
        self.due.join = now + JOIN_INTERVAL;
        if self.table.iter().count() > 1 {
            return;
        }
        for address in self.seeds.clone() {
            self.dial(address);
        }
    }

    /// Tries one dead host, and one seed whose address belongs to no member, so that separated parts of the cluster
    /// merge again.
    pub(super) fn revive(&mut self, now: Time) {
        if now < self.due.revive || self.leaving {
            return;
        }
        self.due.revive = now + REVIVE_INTERVAL;
        if let Some(&to) = self.table.with_status(Status::Dead).choose(&mut self.rng) {
            self.table.queue_gossip(to);
            let gossip = self.next_gossip(now, to);
            self.serial += 1;
            self.send(to, Body::Ping { serial: self.serial, gossip });
        }
        let unused = |seed: &&std::net::SocketAddr| !self.alive().any(|host| host.address == **seed);
        let seeds: Vec<_> = self.seeds.iter().filter(unused).copied().collect();
        if let Some(&address) = seeds.choose(&mut self.rng) {
            self.dial(address);
        }
    }

    fn dial(&mut self, address: std::net::SocketAddr) {
        let message = Message {
            incarnation: self.me.host.incarnation,
            body: Body::Join { record: self.me.clone(), want_all: true },
        };
        self.out.push(Output::Dial { address, message });
    }

    /// Ends the probe or indirect probe that `serial` answers.
    pub(super) fn on_ack(&mut self, from: HostId, incarnation: Incarnation, serial: u64) {
        if self.indirect_probes.get(&serial).is_some_and(|indirect| indirect.subject == from) {
            let Some(indirect) = self.indirect_probes.swap_remove(&serial) else { return };
            let probe_ack = Body::ProbeAck { serial: indirect.serial, subject: from, incarnation };
            self.send(indirect.requester, probe_ack);
            return;
        }
        if self.probes.get(&serial).is_some_and(|probe| probe.to == from) {
            self.probes.swap_remove(&serial);
        }
        match self.table.get_mut(from) {
            Some(peer) if peer.record.host.incarnation == incarnation => peer.unreachable_until = Time::ZERO,
            Some(_) | None => {}
        }
    }

    /// Pings `subject` on behalf of `requester`.
    pub(super) fn on_probe(&mut self, now: Time, requester: HostId, serial: u64, subject: HostId) {
        self.serial += 1;
        let until = now + INDIRECT_TIMEOUT;
        self.indirect_probes.insert(self.serial, IndirectProbe { requester, subject, serial, until });
        let gossip = self.next_gossip(now, subject);
        self.send(subject, Body::Ping { serial: self.serial, gossip });
    }

    /// Handles the report that another host reached `subject`.
    pub(super) fn on_probe_ack(&mut self, now: Time, serial: u64, subject: HostId, incarnation: Incarnation) {
        if self.probes.get(&serial).is_some_and(|probe| probe.to == subject) {
            self.probes.swap_remove(&serial);
        }
        match self.table.get_mut(subject) {
            Some(peer) if peer.record.host.incarnation == incarnation => peer.last_contact = Some(now),
            Some(_) | None => {}
        }
    }
}
