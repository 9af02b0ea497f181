//! A voter that restarts, and calls of operators that come before it has read its log.

use bytes::Bytes;
use mangogw_catalogue::{Action, Role, Token};
use mangogw_host::{Call, CallKind, Caller, ControlQuery, Effect, Host, HostRequest, OperatorReply, Reply, Settings};
use mangogw_model::{Code, HostId, Incarnation, Time};
use mangogw_store::{DurableState, FolderId, GroupId, Members, Op, WriteId};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// One voter and its data folder.
#[derive(Debug)]
struct Voter {
    host: Host,
    now: Time,
    unsynced: Vec<WriteId>,
    replies: Vec<Reply>,
}

impl Voter {
    fn open(stored: &DurableState, incarnation: u64, now: Time) -> Self {
        let settings = Settings { incarnation: Incarnation(incarnation), single_host: true, ..Settings::default() };
        let host = Host::open(settings, Some(stored.clone()), now);
        Self { host, now, unsynced: Vec::new(), replies: Vec::new() }
    }

    fn carry_out(&mut self, kept: &mut DurableState) {
        for effect in self.host.drain() {
            match effect {
                Effect::Write(write) => {
                    self.unsynced.push(write.id);
                    for op in write.ops {
                        match op {
                            Op::State(state) => kept.hard_state = state,
                            Op::Append(entries) => kept.entries.extend(entries),
                            other => panic!("not expected of a lone voter: {other:?}"),
                        }
                    }
                }
                Effect::Reply { reply, .. } => self.replies.push(reply),
                _ => {}
            }
        }
    }

    fn tick(&mut self, kept: &mut DurableState) {
        self.now += TICK;
        self.host.on_tick(self.now);
        self.carry_out(kept);
    }

    /// Syncs the oldest write, if there is one.
    fn sync_one(&mut self, kept: &mut DurableState) {
        if !self.unsynced.is_empty() {
            let id = self.unsynced.remove(0);
            self.host.on_synced(self.now, id);
            self.carry_out(kept);
        }
    }

    fn sync(&mut self, kept: &mut DurableState) {
        while !self.unsynced.is_empty() {
            self.sync_one(kept);
        }
    }

    fn ask(&mut self, kept: &mut DurableState, token: &Token) -> Option<Reply> {
        let kind = CallKind::Read(ControlQuery::Shift);
        let call = Call { token: token.to_text(), client_address: String::new(), kind };
        self.host.on_request(self.now, Caller(1), HostRequest::Operate(call));
        self.carry_out(kept);
        self.replies.pop()
    }

    fn leads(&self) -> bool {
        self.host.status_view(self.now).role.as_deref() == Some("leader")
    }
}

/// Cause: a leader judged tokens by the state of its last snapshot until its log was applied: valid ones were refused, and
/// revoked ones would have been taken.
#[test]
fn a_new_leader_judges_no_token_before_it_has_read_its_log() {
    let (id, birth) = (HostId(1), FolderId(9));
    let mut kept = DurableState::bootstrap(id, birth, GroupId(7), Members::from_voters([(id, birth)]), Bytes::new());
    let commit = kept.hard_state.commit;
    let token = Token::from_random(1, [7; 32]);
    let issue = Action::Issue {
        id: token.id(),
        hash: token.hash(),
        name: "admin".to_owned(),
        role: Role::Administrator,
        expires_ms: 1 << 50,
    };
    let mut first = Voter::open(&kept, 1, Time::from_millis(1));
    first.host.set_bootstrap_actions(vec![issue]);
    for _ in 0..200 {
        first.tick(&mut kept);
        first.sync(&mut kept);
    }
    assert!(matches!(first.ask(&mut kept, &token), Some(Reply::Operator(OperatorReply::Read { .. }))));

    // What is known to be committed may be old after a crash.
    kept.hard_state.commit = commit;
    let mut second = Voter::open(&kept.clone(), 2, Time::from_millis(5_000));
    while !second.leads() {
        second.tick(&mut kept);
        second.sync_one(&mut kept);
    }
    let early = second.ask(&mut kept, &token);
    assert!(matches!(&early, Some(Reply::Refused(no)) if no.code == Code::NoLeader), "{early:?}");
    second.sync(&mut kept);
    let late = second.ask(&mut kept, &token);
    assert!(matches!(late, Some(Reply::Operator(OperatorReply::Read { .. }))), "{late:?}");
}
