//! Faults that the simulation injects, drawn from the fuzzer's bytes.

use super::{US_PER_MS, World};
use arbitrary::{Arbitrary, Unstructured};
use rand::RngExt;

/// A fault; each number picks a host, an owner or a zone, modulo their count.
#[derive(Debug, Clone, Copy, Arbitrary)]
pub enum Fault {
    Crash(u8),
    CrashPair(u8),
    CrashOwner(u8),
    Freeze(u8),
    CutOne(u8, u8),
    CutBoth(u8, u8),
    CutZone(u8),
    CutControl(u8),
    Heal,
    Leave(u8),
}

/// Faults with their times in microseconds.
#[derive(Debug, Clone)]
pub struct FaultSchedule(pub Vec<(u64, Fault)>);

impl<'a> Arbitrary<'a> for FaultSchedule {
    fn arbitrary(u: &mut Unstructured<'a>) -> arbitrary::Result<Self> {
        let count = u.int_in_range(0..=24)?;
        let mut faults = Vec::new();
        let mut time = 400 * US_PER_MS;
        for _ in 0..count {
            time += u.int_in_range(5..=500)? * US_PER_MS;
            faults.push((time, u.arbitrary()?));
        }
        Ok(Self(faults))
    }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        let hosts = self.hosts.len() - 1;
        let pick = |at: u8| 1 + at as usize % hosts;
        match fault {
            Fault::Crash(at) => {
                let downtime_us = self.rng.random_range(10 * US_PER_MS..900 * US_PER_MS);
                self.crash(pick(at), downtime_us);
            }
            Fault::CrashPair(at) => {
                // The second host crashes soon after the first, about when the repair ends.
                let downtime_us = self.rng.random_range(10 * US_PER_MS..900 * US_PER_MS);
                self.crash(pick(at), downtime_us);
                let after = self.rng.random_range(10 * US_PER_MS..500 * US_PER_MS);
                self.schedule(after, Fault::Crash(at.wrapping_add(1)));
            }
            Fault::CrashOwner(at) => {
                let ranges: Vec<_> = self.table.ranges().filter_map(|(_, range)| range.owner()).collect();
                if let Some(owner) = ranges.get(at as usize % ranges.len().max(1)) {
                    let downtime_us = self.rng.random_range(10 * US_PER_MS..900 * US_PER_MS);
                    self.crash(owner.host.0 as usize, downtime_us);
                }
            }
            Fault::Freeze(at) => {
                self.hosts[pick(at)].frozen = self.now + self.rng.random_range(50 * US_PER_MS..900 * US_PER_MS);
            }
            Fault::CutOne(from, to) => {
                self.cuts.insert((pick(from), pick(to)));
            }
            Fault::CutBoth(from, to) => {
                self.cuts.insert((pick(from), pick(to)));
                self.cuts.insert((pick(to), pick(from)));
            }
            Fault::CutZone(zone) => {
                let zone = zone as usize % 3;
                for inside in self.ids() {
                    for outside in 0..self.hosts.len() {
                        if self.hosts[inside].zone == zone && (outside == 0 || self.hosts[outside].zone != zone) {
                            self.cuts.insert((inside, outside));
                            self.cuts.insert((outside, inside));
                        }
                    }
                }
            }
            Fault::CutControl(at) => {
                self.cuts.insert((0, pick(at)));
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Leave(at) => self.hosts[pick(at)].leaving = true,
        }
    }

    /// Ends every fault.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
        self.noisy = false;
        for at in self.ids() {
            self.hosts[at].frozen = self.hosts[at].frozen.min(self.now);
            self.hosts[at].leaving = false;
        }
    }
}
