//! Targets of a host: any host accepts announcements, and the owner of a target passes them to its dispatch core.

use crate::effect::{Caller, Lease, Refused, Reply};
use crate::host::Host;
use crate::message::Message;
use mangogw_cluster::Output;
use mangogw_cluster::grants::{Answer, Echo, Event, LEASE_DURATION, Target};
use mangogw_model::{Announcement, Code, Incarnation, Time};

impl Host {
    pub(crate) fn announce(&mut self, now: Time, caller: Caller, announcement: Announcement, echo: Option<Echo>) {
        let request_id = self.grants.on_heartbeat(now, announcement, echo);
        self.target_calls.insert(request_id, caller);
    }

    pub(crate) fn leave(&mut self, now: Time, caller: Caller, target: Target, incarnation: Option<Incarnation>) {
        let request_id = self.grants.on_target_leave(now, target, incarnation);
        self.target_calls.insert(request_id, caller);
    }

    /// Processes the outputs of the grants. Returns true if there were none.
    pub(crate) fn process_grants_outputs(&mut self, now: Time) -> bool {
        let outputs = self.grants.drain();
        let quiet = outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Grants(message)),
                Output::Event(event) => self.on_grant_event(now, event),
            }
        }
        quiet
    }

    fn on_grant_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Answered { request_id, answer } => {
                if let Some(caller) = self.target_calls.swap_remove(&request_id) {
                    self.answer_target(caller, &answer);
                }
            }
            Event::Granted { announcement, leaving } => {
                self.install_target(now, &announcement);
                if leaving {
                    self.release_target(now, &Target::from_announcement(&announcement));
                }
            }
            Event::Changed(announcement) => self.install_target(now, &announcement),
            Event::Leaving(target) | Event::Ended { target, .. } => self.release_target(now, &target),
            Event::Usage { target, usage } => {
                // The target may have been released a moment ago; its usage is then not needed.
                _ = self.dispatch.record_usage(now, &target.name, &usage);
            }
            Event::RunningTasks { .. } => {}
        }
    }

    fn answer_target(&mut self, caller: Caller, answer: &Answer) {
        match answer.valid {
            true => {
                let lease = Lease { heartbeat: answer.interval, duration: LEASE_DURATION, grant: answer.grant };
                self.reply(caller, Reply::Lease(lease));
            }
            false => {
                self.refuse(caller, Refused::new(Code::StaleIncarnation, "a later incarnation has announced itself"));
            }
        }
    }

    fn install_target(&mut self, now: Time, announcement: &Announcement) {
        // The error is ignored: the grants already reject stale incarnations.
        _ = self.dispatch.announce(now, announcement);
        self.mark_dirty(announcement);
    }

    fn release_target(&mut self, now: Time, target: &Target) {
        _ = self.dispatch.leave(now, &target.name);
        self.dirty.extend(self.dispatch.entry_keys());
    }

    /// Renews the dispatch core's lease on every target that this host still owns.
    pub(crate) fn renew_targets(&mut self, now: Time) {
        let owned_targets: Vec<_> = self
            .grants
            .owned_targets(now)
            .map(|announcement| (announcement.name.clone(), announcement.incarnation))
            .collect();
        for (name, incarnation) in owned_targets {
            _ = self.dispatch.heartbeat(now, &name, incarnation);
        }
        self.dirty.extend(self.dispatch.entry_keys());
    }

    fn mark_dirty(&mut self, announcement: &Announcement) {
        let entries: Vec<_> = announcement.entries.iter().filter_map(|name| self.dispatch.entry_key(name)).collect();
        self.dirty.extend(entries);
    }
}
