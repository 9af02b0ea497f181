//! Faults of the simulation and their repair.

use super::{Event, Faults, HOLD_MS, HOSTS, PendingCall, RESEND_DELAY, Simulation, ZONES, apply_op, ip};
use mangogw_control::{Caller, ControlHost, joining_state};
use mangogw_jobs::{JobId, OrderKind, TargetState};
use mangogw_model::Time;
use rand::RngExt;
use std::time::Duration;

impl Simulation {
    pub fn kill(&mut self, host: usize, power_loss: bool, down: u64) {
        let node = &mut self.nodes[host];
        if !power_loss {
            // The operating system still writes what the dead process had handed over.
            let writes = std::mem::take(&mut node.unsynced);
            if let Some(disk) = &mut node.disk {
                writes.into_iter().flat_map(|write| write.ops).for_each(|op| apply_op(disk, op));
            }
        }
        node.control_host = None;
        node.incarnation += 1;
        node.unsynced.clear();
        let lost: Vec<u64> =
            self.pending_calls.iter().filter(|(_, (at, ..))| *at == host).map(|(caller, _)| *caller).collect();
        for caller in lost {
            if let Some((_, _, PendingCall::Job { id })) = self.pending_calls.remove(&caller) {
                self.at(self.now + RESEND_DELAY, Event::SendJob(id));
            }
        }
        self.after(down, Event::Restart { host });
    }

    /// Kills a control host, which comes back with a new, empty disk.
    pub(super) fn wipe(&mut self, host: usize, down: u64) {
        self.kill(host, true, down);
        let random = self.rng.random();
        let stored = joining_state(ip(host), random);
        self.nodes[host].id = stored.host;
        self.nodes[host].disk = Some(stored);
    }

    /// Breaks the connections of all clients of a host, which send their jobs again.
    pub fn reset_connections(&mut self, host: usize) {
        let is_job = |pending: &PendingCall| matches!(pending, PendingCall::Job { .. });
        let broken = self.pending_calls.extract_if(.., |_, (at, _, pending)| *at == host && is_job(pending));
        for (caller, (.., pending)) in broken.collect::<Vec<_>>() {
            if let Some(control_host) = &mut self.nodes[host].control_host {
                control_host.on_disconnected(Caller(caller));
            }
            if let PendingCall::Job { id } = pending {
                self.at(self.now + RESEND_DELAY, Event::SendJob(id));
            }
        }
        self.process_effects(host);
    }

    /// Loses all orders of the hosts, and the answers to them, at the targets of a zone; or no more.
    pub fn cut_targets_of(&mut self, zone: usize, hosts: impl Iterator<Item = usize>, cut: bool) {
        for host in hosts {
            for target in (0..self.targets.len()).filter(|target| target % ZONES == zone) {
                for link in [(target, host, true), (target, host, false)] {
                    match cut {
                        true => drop(self.cut_targets.insert(link)),
                        false => drop(self.cut_targets.remove(&link)),
                    }
                }
            }
        }
    }

    /// Crashes a target for good.
    pub fn lose_target(&mut self, target: usize) {
        self.oracle.on_crash((target, self.targets[target].report.incarnation));
        self.targets[target].alive = false;
    }

    /// Ends the load: no new jobs come.
    pub fn stop_load(&mut self) {
        self.load_end = self.now;
    }

    /// Makes the disk of a control host refuse writes for a while.
    pub fn fill_disk(&mut self, host: usize, span: Duration) {
        self.nodes[host].full_until = self.now + span;
    }

    /// Returns the control host that leads the group, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leads = |host: &usize| self.nodes[*host].control_host.as_ref().is_some_and(ControlHost::is_leader);
        (0..self.size.control_hosts).find(leads)
    }

    /// Deregisters a target, which ends some seconds later and starts again under its id. The deregistration may arrive
    /// after that, and may not name its incarnation.
    fn deregister(&mut self, target: usize) {
        let incarnation = self.targets[target].report.incarnation;
        if self.rng.random_bool(0.5) {
            self.targets[target].report.state = TargetState::Draining;
        }
        let named = self.rng.random_bool(0.7);
        let (delay, down) = (self.rng.random_range(0..8000), self.rng.random_range(0..3000));
        self.after(delay, Event::Leave { target, incarnation: named.then_some(incarnation) });
        self.after(down, Event::Shutdown { target, incarnation });
    }

    /// Ends an incarnation of a target, unless it has ended before.
    pub(super) fn shut_down(&mut self, target: usize, incarnation: u64) {
        if self.targets[target].alive && self.targets[target].report.incarnation == incarnation {
            self.oracle.on_crash((target, incarnation));
            self.targets[target].alive = false;
            let pause = self.rng.random_range(300..1500);
            self.after(pause, Event::Rejoin(target));
        }
    }

    /// Restarts a target under its id, at times just after it is cut off.
    pub(super) fn restart_target(&mut self) {
        if !self.faults.misdelivery {
            return;
        }
        let pause = self.rng.random_range(150..500);
        self.after(pause, Event::RestartTarget);
        let target = self.rng.random_range(0..self.targets.len());
        if self.targets[target].alive && self.rng.random_bool(0.1) {
            self.cut_target(target);
        }
        let delay = self.rng.random_range(0..100);
        self.after(delay, Event::CrashTarget(target));
    }

    /// Crashes a target, which starts again after `darkness` milliseconds. At times the target is cut off within a second
    /// of that, or the leader is lost.
    pub(super) fn crash_target(&mut self, target: usize, darkness: u64) {
        if !self.targets[target].alive {
            return;
        }
        self.oracle.on_crash((target, self.targets[target].report.incarnation));
        self.targets[target].alive = false;
        self.after(darkness, Event::Rejoin(target));
        if self.rng.random_bool(0.4) {
            let moment = self.rng.random_range(0..1000);
            self.after(darkness + moment, Event::CutTarget(target));
        }
        if self.loses_leaders && self.rng.random_bool(0.1) {
            let moment = self.rng.random_range(0..1000);
            self.after(darkness + moment, Event::LoseLeader);
        }
    }

    /// Returns how long an order is on the way. With misdelivery some are held, and the target of some starts restarts
    /// meanwhile.
    pub(super) fn order_delay(&mut self, target: usize, kind: &OrderKind) -> u64 {
        if !self.faults.misdelivery {
            return 1;
        }
        if matches!(kind, OrderKind::Start { .. }) && self.targets[target].alive && self.rng.random_bool(0.03) {
            let darkness = self.rng.random_range(50..100);
            self.crash_target(target, darkness);
            return self.rng.random_range(darkness..HOLD_MS.end);
        }
        if self.rng.random_bool(0.1) { self.rng.random_range(HOLD_MS) } else { 1 }
    }

    /// Returns how long a new incarnation takes to report. Orders may meet it before.
    pub(super) fn first_report_delay(&mut self) -> u64 {
        match self.faults.misdelivery && self.rng.random_bool(0.4) {
            true => self.rng.random_range(5..1500),
            false => 5,
        }
    }

    /// Cuts a target off from all hosts, in both directions.
    pub(super) fn cut_target(&mut self, target: usize) {
        if !self.faults.misdelivery {
            return;
        }
        for host in 0..HOSTS {
            self.cut_targets.extend([(target, host, true), (target, host, false)]);
        }
        let span = self.rng.random_range(1000..4000);
        self.after(span, Event::JoinTarget(target));
    }

    pub(super) fn lose_leader(&mut self) {
        let all_up = self.nodes.iter().all(|node| node.control_host.is_some() && node.frozen_until <= self.now);
        let Some(leader) = self.leader().filter(|_| all_up && self.faults.misdelivery) else { return };
        match self.rng.random_bool(0.5) {
            true => self.kill(leader, false, 900),
            false => {
                let span = self.rng.random_range(300..4000);
                self.nodes[leader].frozen_until = self.now + Duration::from_millis(span);
            }
        }
    }

    pub(super) fn fault(&mut self) {
        if self.now >= self.load_end {
            self.heal(0);
            return;
        }
        self.after(2000, Event::Fault);
        let Faults { kills, power_loss, wipes, freezes, cuts, crashes, drains, .. } = self.faults;
        let all_up = self.nodes.iter().all(|node| node.control_host.is_some() && node.frozen_until <= self.now);
        let hosts = if self.faults.zones { HOSTS } else { self.connected_hosts() };
        let host = self.rng.random_range(0..hosts);
        let control = self.rng.random_range(0..self.size.control_hosts);
        let target = self.rng.random_range(0..self.targets.len());
        let kinds = if self.faults.zones { 11 } else { 9 };
        if self.faults.full_disks && self.rng.random_bool(0.5) {
            let span = self.rng.random_range(5..5000);
            return self.fill_disk(control, Duration::from_millis(span));
        }
        if self.faults.leaves && self.rng.random_bool(0.5) {
            return self.deregister(target);
        }
        match self.rng.random_range(0..kinds) {
            0 if kills && all_up => self.kill(host, false, 900),
            1 if power_loss && all_up => {
                (0..self.size.control_hosts).for_each(|host| self.kill(host, true, 1000 + host as u64 * 100));
            }
            2 if wipes && all_up && self.now - self.last_wipe > Duration::from_secs(8) => {
                self.last_wipe = self.now;
                self.wipe(control, 800);
            }
            3 if freezes && all_up => {
                let span = self.rng.random_range(300..4000);
                self.nodes[host].frozen_until = self.now + Duration::from_millis(span);
            }
            4 if cuts => {
                let other = self.rng.random_range(0..hosts);
                self.cut_links.insert((host, other));
                if self.rng.random_bool(0.6) {
                    self.cut_links.insert((other, host));
                }
                self.after(1500, Event::Heal(1));
            }
            5 | 6 if cuts => {
                for host in 0..HOSTS {
                    let orders = self.rng.random_bool(0.5);
                    self.cut_targets.insert((target, host, orders));
                }
                self.after(2500, Event::Heal(2));
            }
            7 if crashes && self.targets[target].alive => {
                let key = (target, self.targets[target].report.incarnation);
                self.oracle.on_crash(key);
                self.targets[target].alive = false;
                self.after(1500, Event::Rejoin(target));
            }
            9.. if self.isolated_zone.is_none() => {
                self.isolated_zone = Some(self.rng.random_range(0..ZONES));
                let span = self.rng.random_range(1500..7000);
                self.after(span, Event::Heal(3));
            }
            8 if drains => self.targets[target].report.state = TargetState::Draining,
            _ => {}
        }
    }

    /// Returns the entry host for a job. With zone faults, load balancers keep clients in their zone, also for resends.
    pub(super) fn entry_of(&mut self, id: JobId) -> usize {
        match self.faults.zones {
            false => self.rng.random_range(self.size.control_hosts..self.connected_hosts()),
            true => {
                id.0 as usize % ZONES + self.rng.random_range(self.size.control_hosts / ZONES..HOSTS / ZONES) * ZONES
            }
        }
    }

    /// Returns true if two hosts or targets are in zones that can't reach each other.
    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        self.isolated_zone.is_some_and(|zone| (one % ZONES == zone) != (other % ZONES == zone))
    }

    /// Cuts a zone off from the others, or with `None` connects all zones again.
    pub fn set_isolated(&mut self, zone: Option<usize>) {
        self.isolated_zone = zone;
    }

    /// Runs the simulation for a span of time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(super) fn heal(&mut self, kind: usize) {
        if kind < 2 {
            self.cut_links.clear();
        }
        if kind == 0 || kind == 2 {
            self.cut_targets.clear();
        }
        if kind == 0 || kind == 3 {
            self.isolated_zone = None;
        }
        if kind == 0 {
            self.nodes.iter_mut().for_each(|node| node.full_until = Time::ZERO);
            self.faults = Faults { fail: self.faults.fail, ..Faults::default() };
            self.targets.iter_mut().for_each(|target| target.report.state = TargetState::Ready);
        }
    }
}
