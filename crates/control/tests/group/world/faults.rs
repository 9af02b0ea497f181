//! What goes wrong in a world, and how it is mended.

use super::{Asked, CONTROL, Event, FEW, Faults, HOSTS, RESEND, World, ZONES, ip, keep};
use mangogw_control::joining_state;
use mangogw_jobs::{JobId, TargetState};
use rand::RngExt;
use std::time::Duration;

impl World {
    pub fn kill(&mut self, host: usize, power: bool, down: u64) {
        let node = &mut self.nodes[host];
        if !power {
            // The system writes on what the process had handed over.
            let writes = std::mem::take(&mut node.unsynced);
            if let Some(disk) = &mut node.disk {
                writes.into_iter().flat_map(|write| write.ops).for_each(|op| keep(disk, op));
            }
        }
        node.control_host = None;
        node.life += 1;
        node.unsynced.clear();
        let lost: Vec<u64> = self.asked.iter().filter(|(_, (at, ..))| *at == host).map(|(caller, _)| *caller).collect();
        for caller in lost {
            if let Some((_, _, Asked::Job { id })) = self.asked.remove(&caller) {
                self.at(self.now + RESEND, Event::Send(id));
            }
        }
        self.after(down, Event::Restart { host });
    }

    pub(super) fn fault(&mut self) {
        if self.now >= self.stop {
            self.heal(0);
            return;
        }
        self.after(2000, Event::Fault);
        let Faults { kills, power, wipes, freezes, cuts, crashes, drains, .. } = self.faults;
        let all_up = self.nodes.iter().all(|node| node.control_host.is_some() && node.frozen <= self.now);
        let hosts = if self.faults.zones { HOSTS } else { FEW };
        let host = self.rng.random_range(0..hosts);
        let control = self.rng.random_range(0..CONTROL);
        let worker = self.rng.random_range(0..self.workers.len());
        let kinds = if self.faults.zones { 11 } else { 9 };
        match self.rng.random_range(0..kinds) {
            0 if kills && all_up => self.kill(host, false, 900),
            1 if power && all_up => (0..CONTROL).for_each(|host| self.kill(host, true, 1000 + host as u64 * 100)),
            2 if wipes && all_up && self.now - self.wiped > Duration::from_secs(8) => {
                self.wiped = self.now;
                self.kill(control, true, 800);
                let drawn = self.rng.random();
                let stored = joining_state(ip(control), drawn);
                self.nodes[control].id = stored.host;
                self.nodes[control].disk = Some(stored);
            }
            3 if freezes && all_up => {
                let span = self.rng.random_range(300..4000);
                self.nodes[host].frozen = self.now + Duration::from_millis(span);
            }
            4 if cuts => {
                let other = self.rng.random_range(0..hosts);
                self.cut.insert((host, other));
                if self.rng.random_bool(0.6) {
                    self.cut.insert((other, host));
                }
                self.after(1500, Event::Heal(1));
            }
            5 | 6 if cuts => {
                for host in 0..HOSTS {
                    let way = self.rng.random_bool(0.5);
                    self.cut_workers.insert((worker, host, way));
                }
                self.after(2500, Event::Heal(2));
            }
            7 if crashes && self.workers[worker].alive => {
                let life = (worker, self.workers[worker].report.incarnation);
                self.oracle.died(life);
                self.workers[worker].alive = false;
                self.after(1500, Event::Rejoin(worker));
            }
            9.. if self.lone.is_none() => {
                self.lone = Some(self.rng.random_range(0..ZONES));
                let span = self.rng.random_range(1500..7000);
                self.after(span, Event::Heal(3));
            }
            8 if drains => self.workers[worker].report.state = TargetState::Draining,
            _ => {}
        }
    }

    /// Balancers keep clients in their zone, so they send again there.
    pub(super) fn entry_of(&mut self, id: JobId) -> usize {
        match self.faults.zones {
            false => self.rng.random_range(CONTROL..FEW),
            true => id.0 as usize % ZONES + self.rng.random_range(1..HOSTS / ZONES) * ZONES,
        }
    }

    /// True if two things, hosts or workers, are in zones that can't reach each other.
    pub(super) fn is_apart(&self, one: usize, other: usize) -> bool {
        self.lone.is_some_and(|zone| (one % ZONES == zone) != (other % ZONES == zone))
    }

    /// Cuts a zone off, or joins all again.
    pub fn set_lone(&mut self, zone: Option<usize>) {
        self.lone = zone;
    }

    /// Lets time pass.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(super) fn heal(&mut self, kind: usize) {
        if kind < 2 {
            self.cut.clear();
        }
        if kind == 0 || kind == 2 {
            self.cut_workers.clear();
        }
        if kind == 0 || kind == 3 {
            self.lone = None;
        }
        if kind == 0 {
            self.faults = Faults { fail: self.faults.fail, ..Faults::default() };
            self.workers.iter_mut().for_each(|worker| worker.report.state = TargetState::Ready);
        }
    }
}
