//! Connects the membership to the other components of a host.

use crate::effect::Effect;
use crate::host::Host;
use crate::message::Message;
use mangogw_cluster::members::Output;
use mangogw_cluster::ownership::Peer;
use mangogw_model::Time;

impl Host {
    /// Processes the outputs of the membership. Returns true if there were none.
    pub(crate) fn process_members_outputs(&mut self, now: Time) -> bool {
        let outputs = self.members.drain();
        let quiet = outputs.is_empty();
        let mut changed = false;
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, Message::Members(message)),
                Output::Dial { address, message } => {
                    self.effects.push(Effect::Send { to: address, message: Message::Members(message) });
                }
                Output::Reconnect { to } => {
                    let address = self.members.host(to).map(|host| host.address);
                    self.effects.extend(address.map(|to| Effect::Reconnect { to }));
                }
                Output::Up(_) | Output::Down { .. } | Output::ZoneUnreachable(_) | Output::ZoneReachable(_) => {
                    changed = true;
                }
                Output::Superseded => {
                    self.effects.push(Effect::Halt { reason: "a later incarnation of this host exists" });
                }
            }
        }
        if changed {
            self.refresh_hosts(now);
        }
        quiet
    }

    /// Refreshes the view of the other hosts and passes it to the components.
    pub(crate) fn refresh_hosts(&mut self, now: Time) {
        self.hosts_refreshed = Some(now);
        let member_slots = self.members.member_infos();
        if member_slots != self.member_slots {
            self.member_slots = member_slots;
            self.grants.set_hosts(now, self.member_slots.clone());
            self.route.set_hosts(now, &self.member_slots);
            self.shares.set_hosts(now, &self.member_slots);
            let peers = self.peers();
            self.records.on_peers(now, &peers);
        }
        self.renew_targets(now);
        self.reassign_orphans(now);
    }

    /// Returns the reachable members, with their leaving state, for the ownership table and the records.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        let usable = self.member_slots.iter().filter(|slot| slot.usable);
        let mut peers: Vec<Peer> = usable.map(|slot| Peer::new(slot.id, slot.incarnation, slot.zone.clone())).collect();
        for peer in &mut peers {
            peer.leaving = self.is_leaving(peer.holder.host, peer.holder.incarnation);
        }
        peers
    }
}
