//! Calls of operators to a voter that has restarted or opened its data folder again.

use bytes::Bytes;
use mangogw_catalogue::{Action, Role, Token};
use mangogw_host::{Call, CallKind, Caller, ControlQuery, Effect, Host, HostRequest, OperatorReply, Reply, Settings};
use mangogw_model::{Code, HostId, Incarnation, Time};
use mangogw_store::{DurableState, FolderId, GroupId, Members, Op, WriteId};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(10);

/// A single voter; its data folder is the [`DurableState`] that the methods take.
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

    fn carry_out(&mut self, stored: &mut DurableState) {
        for effect in self.host.drain() {
            match effect {
                Effect::Write(write) => {
                    self.unsynced.push(write.id);
                    for op in write.ops {
                        match op {
                            Op::State(state) => stored.hard_state = state,
                            Op::Append(entries) => stored.entries.extend(entries),
                            other => panic!("a single voter writes only its state and entries, got {other:?}"),
                        }
                    }
                }
                Effect::Reply { reply, .. } => self.replies.push(reply),
                _ => {}
            }
        }
    }

    fn tick(&mut self, stored: &mut DurableState) {
        self.now += TICK;
        self.host.on_tick(self.now);
        self.carry_out(stored);
    }

    /// Syncs the oldest write if there is one.
    fn sync_one(&mut self, stored: &mut DurableState) {
        if !self.unsynced.is_empty() {
            let id = self.unsynced.remove(0);
            self.host.on_synced(self.now, id);
            self.carry_out(stored);
        }
    }

    fn sync(&mut self, stored: &mut DurableState) {
        while !self.unsynced.is_empty() {
            self.sync_one(stored);
        }
    }

    fn read_shift(&mut self, stored: &mut DurableState, token: &Token) -> Option<Reply> {
        let kind = CallKind::Read(ControlQuery::Shift);
        let call = Call { token: token.to_text(), client_address: String::new(), kind };
        self.host.on_request(self.now, Caller(1), HostRequest::Operate(call));
        self.carry_out(stored);
        self.replies.pop()
    }

    fn is_leader(&self) -> bool {
        self.host.status_view(self.now).role.as_deref() == Some("leader")
    }
}

/// Founds a group of one voter, and waits until it has issued an administrator's token.
fn found_group() -> (Voter, DurableState, Token) {
    let (id, folder_id) = (HostId(1), FolderId(9));
    let mut stored =
        DurableState::bootstrap(id, folder_id, GroupId(7), Members::from_voters([(id, folder_id)]), Bytes::new());
    let token = Token::from_random(1, [7; 32]);
    let issue = Action::Issue {
        id: token.id(),
        hash: token.hash(),
        name: "admin".to_owned(),
        role: Role::Administrator,
        expires_ms: 1 << 50,
    };
    let mut voter = Voter::open(&stored, 1, Time::from_millis(1));
    voter.host.set_bootstrap_actions(vec![issue]);
    for _ in 0..200 {
        voter.tick(&mut stored);
        voter.sync(&mut stored);
    }
    assert!(matches!(voter.read_shift(&mut stored, &token), Some(Reply::Operator(OperatorReply::Read { .. }))));
    (voter, stored, token)
}

/// Guards against a new leader that checks tokens against its last snapshot before its log is applied: it refused valid
/// tokens and would have accepted revoked ones.
#[test]
fn a_new_leader_checks_no_token_before_it_has_applied_its_log() {
    let (_, mut stored, token) = found_group();

    // After a crash, the stored commit index may be outdated.
    stored.hard_state.commit = stored.base().index;
    let mut second = Voter::open(&stored.clone(), 2, Time::from_millis(5_000));
    while !second.is_leader() {
        second.tick(&mut stored);
        second.sync_one(&mut stored);
    }
    let early = second.read_shift(&mut stored, &token);
    assert!(matches!(&early, Some(Reply::Refused(no)) if no.code == Code::NoLeader), "{early:?}");
    second.sync(&mut stored);
    let late = second.read_shift(&mut stored, &token);
    assert!(matches!(late, Some(Reply::Operator(OperatorReply::Read { .. }))), "{late:?}");
}

/// Guards against a voter that takes no part in its group for good after one failed write.
#[test]
fn a_voter_takes_part_again_when_its_folder_is_open_again() {
    let (mut voter, mut stored, token) = found_group();
    for round in 0..2 {
        voter.host.on_write_failed(voter.now);
        voter.carry_out(&mut stored);
        assert!(!voter.is_leader());
        let failed = voter.read_shift(&mut stored, &token);
        assert!(!matches!(failed, Some(Reply::Operator(OperatorReply::Read { .. }))), "round {round}: {failed:?}");
        let foreign = DurableState { folder_id: FolderId(10), ..stored.clone() };
        voter.host.on_reopened(voter.now, foreign);
        voter.tick(&mut stored);
        assert!(!voter.is_leader(), "a folder of another host is not taken");
        voter.unsynced.clear();
        voter.host.on_reopened(voter.now, stored.clone());
        for _ in 0..200 {
            voter.tick(&mut stored);
            voter.sync(&mut stored);
        }
        let read = voter.read_shift(&mut stored, &token);
        assert!(matches!(read, Some(Reply::Operator(OperatorReply::Read { .. }))), "round {round}: {read:?}");
    }
}
