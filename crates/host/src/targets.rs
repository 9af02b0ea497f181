//! Targets inside a host: announcements come in anywhere, and the owner hands them to its dispatch core.

use crate::effect::{Caller, Lease, Refused, Reply};
use crate::host::Host;
use crate::message::Message;
use mangogw_cluster::Output;
use mangogw_cluster::grants::{Answer, Echo, Event, LEASE_DURATION, Target};
use mangogw_model::{Announcement, Code, Time};

impl Host {
    pub(crate) fn announce(&mut self, now: Time, caller: Caller, said: Announcement, echo: Option<Echo>) {
        let ticket = self.grants.on_heartbeat(now, said, echo);
        self.tickets.insert(ticket, caller);
    }

    pub(crate) fn leave(&mut self, now: Time, caller: Caller, target: Target) {
        let ticket = self.grants.on_target_leave(now, target, None);
        self.tickets.insert(ticket, caller);
    }

    /// Carries out what the grants want. True if there was nothing.
    pub(crate) fn settle_grants(&mut self, now: Time) -> bool {
        let outputs = self.grants.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Grants(message)),
                Output::Event(event) => self.on_grant(now, event),
            }
        }
        quiet
    }

    fn on_grant(&mut self, now: Time, event: Event) {
        match event {
            Event::Answered { request_id: ticket, answer } => {
                if let Some(caller) = self.tickets.swap_remove(&ticket) {
                    self.answer_target(caller, &answer);
                }
            }
            Event::Granted { announcement, leaving } => {
                self.take_target(now, &announcement);
                if leaving {
                    self.release_target(now, &Target::from_announcement(&announcement));
                }
            }
            Event::Changed(announcement) => self.take_target(now, &announcement),
            Event::Leaving(target) | Event::Ended { target, .. } => self.release_target(now, &target),
            Event::Usage { target, usage } => {
                // A report on a target that was released a moment ago says nothing that is needed.
                _ = self.dispatch.record_usage(now, &target.name, &usage);
            }
            Event::RunningTasks { .. } => {}
        }
    }

    fn answer_target(&mut self, caller: Caller, answer: &Answer) {
        match answer.valid {
            true => {
                let lease = Lease { heartbeat: answer.interval, lease: LEASE_DURATION, grant: answer.grant };
                self.reply(caller, Reply::Lease(lease));
            }
            false => {
                self.refuse(caller, Refused::new(Code::StaleIncarnation, "a later incarnation has announced itself"));
            }
        }
    }

    fn take_target(&mut self, now: Time, said: &Announcement) {
        // The grants refuse stale incarnations before the core could.
        _ = self.dispatch.announce(now, said);
        self.dirty_entries(said);
    }

    fn release_target(&mut self, now: Time, target: &Target) {
        _ = self.dispatch.leave(now, &target.name);
        self.dirty.extend(self.dispatch.entry_keys());
    }

    /// Renews the trust in every target that this host still owns.
    pub(crate) fn renew_targets(&mut self, now: Time) {
        let owned: Vec<_> = self.grants.owned_targets(now).map(|said| (said.name.clone(), said.incarnation)).collect();
        for (name, life) in owned {
            _ = self.dispatch.heartbeat(now, &name, life);
        }
        self.dirty.extend(self.dispatch.entry_keys());
    }

    fn dirty_entries(&mut self, said: &Announcement) {
        let entries: Vec<_> = said.entries.iter().filter_map(|name| self.dispatch.entry_key(name)).collect();
        self.dirty.extend(entries);
    }
}
