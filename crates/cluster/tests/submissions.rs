//! Tests of one guarantee of the submission records each, on a single host or on the ownership table alone.

use mangogw_cluster::ownership::{Command, Holder, Ownership, Peer, RangeId};
use mangogw_cluster::records::{
    Body, Output, OwnerReply, Page, RecordMessage, RecordRequest, Records, ReplicatedStep, Reply, Settings, Step,
    Submission, SubmissionEnd, SubmissionSpec, Tag, Task, TaskEnd,
};
use mangogw_model::{Code, HostId, Incarnation, Key, TaskIndex, Time};
use std::sync::Arc;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(1);

fn peer(incarnation: u64) -> Peer {
    Peer::new(HostId(1), Incarnation(incarnation), "a".into())
}

/// A single host: its records, and the ownership table of a control group that accepts every command.
struct SingleHost {
    now: Time,
    table: Ownership,
    index: u64,
    records: Records,
    outputs: Vec<Output>,
}

impl SingleHost {
    fn open(change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings::new(HostId(1), Incarnation(1), "a".into());
        change(&mut settings);
        let now = Time::from_millis(1);
        let records = Records::open(settings, now);
        let mut single = Self { now, table: Ownership::default(), index: 0, records, outputs: Vec::new() };
        single.start_owning(1);
        single
    }

    /// Restarts the process with empty records.
    fn restart(&mut self, incarnation: u64, change: impl FnOnce(&mut Settings)) {
        let mut settings = Settings::new(HostId(1), Incarnation(incarnation), "a".into());
        change(&mut settings);
        self.records = Records::open(settings, self.now);
        self.start_owning(incarnation);
    }

    fn start_owning(&mut self, incarnation: u64) {
        for _ in 0..5 {
            let mut commands = self.table.plan(&[peer(incarnation)]);
            self.records.on_peers(self.now, &[peer(incarnation)]);
            commands.extend(self.records.drain().into_iter().filter_map(|output| match output {
                Output::Propose(command) => Some(command),
                _ => None,
            }));
            for command in commands {
                self.index += 1;
                self.table.apply(self.index, &command);
            }
            self.records.install_table(self.now, &self.table);
        }
        assert!(self.table.ranges().all(|(_, range)| range.ready), "all ranges are ready");
    }

    fn submit(&mut self, tag: u64, key: &str, spec: &Arc<SubmissionSpec>) {
        let submission = Submission { key: key.into(), spec: Arc::clone(spec), deadline: self.now + WAIT };
        self.records.submit(self.now, Tag(tag), submission, WAIT);
        self.collect();
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.records.on_tick(self.now);
        self.collect();
    }

    fn collect(&mut self) {
        self.outputs.extend(self.records.drain());
    }

    fn reply(&self, tag: u64) -> Option<&Reply> {
        self.outputs.iter().find_map(|output| match output {
            Output::Reply { tag: of, reply } if *of == Tag(tag) => Some(reply),
            _ => None,
        })
    }
}

fn spec(tasks: usize, body: &'static str) -> Arc<SubmissionSpec> {
    let task = Task { body: body.into(), ..Task::default() };
    let mut spec = SubmissionSpec { entry: "scan".into(), tasks: vec![task; tasks], ..SubmissionSpec::default() };
    spec.digest.0[0] = body.len() as u8;
    Arc::new(spec)
}

fn answered(body: &'static str) -> TaskEnd {
    TaskEnd::Answered { status: 200, body: body.into() }
}

fn failed(code: Code, failed_task: Option<u32>) -> Reply {
    Reply::Ended(Arc::new(SubmissionEnd::Failed { code, failed_task: failed_task.map(TaskIndex) }))
}

#[test]
fn a_resubmission_gets_the_first_answer_and_a_different_body_is_refused() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &spec(2, "one"));
    for task in [0, 1].map(TaskIndex) {
        assert!(single.records.try_start(single.now, &key, task));
        single.records.on_task_end(single.now, &key, task, answered("yes"));
    }
    single.collect();
    single.submit(2, "k", &spec(2, "one"));
    single.submit(3, "k", &spec(2, "other"));
    let complete = Reply::Ended(Arc::new(SubmissionEnd::Complete(vec![(200, "yes".into()); 2])));
    assert_eq!(single.reply(1), Some(&complete));
    assert_eq!(single.reply(2), Some(&complete));
    assert_eq!(single.reply(3), Some(&Reply::Refused(Code::KeyReused)));
    let runs = single.outputs.iter().filter(|output| matches!(output, Output::Run { .. })).count();
    assert_eq!(runs, 1);
}

#[test]
fn one_failed_task_fails_the_submission_and_stops_the_other_tasks() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &spec(3, "one"));
    assert!(single.records.try_start(single.now, &key, TaskIndex(1)));
    single.records.on_task_end(single.now, &key, TaskIndex(1), TaskEnd::Failed(Code::TargetFailed));
    single.collect();
    assert_eq!(single.reply(1), Some(&failed(Code::TargetFailed, Some(1))));
    assert!(!single.records.try_start(single.now, &key, TaskIndex(0)));
    assert!(single.outputs.contains(&Output::Stop { key }));
}

#[test]
fn tasks_that_never_started_end_as_not_run_and_those_that_may_have_started_as_unknown() {
    let mut single = SingleHost::open(|_| {});
    for (tag, key) in [(1, "late"), (2, "ran"), (3, "cancelled"), (4, "stopped"), (5, "refused")] {
        single.submit(tag, key, &spec(1, "one"));
    }
    let first = TaskIndex(0);
    assert!(single.records.try_start(single.now, &"ran".into(), first));
    assert!(single.records.try_start(single.now, &"stopped".into(), first));
    single.records.cancel(single.now, Tag(13), "cancelled".into());
    single.records.cancel(single.now, Tag(14), "stopped".into());
    single.records.on_task_end(single.now, &"refused".into(), first, TaskEnd::Refused(Code::NoCapacity));
    single.advance(Duration::from_secs(2));
    let codes = [Code::Expired, Code::DeadlinePassed, Code::Cancelled, Code::CancelledRunning];
    for (tag, code) in (1..).zip(codes) {
        assert_eq!(single.reply(tag), Some(&failed(code, None)));
    }
    assert_eq!(single.reply(5), Some(&failed(Code::NoCapacity, Some(0))));
    assert_eq!(single.reply(13), single.reply(3));
    assert_eq!(single.reply(14), single.reply(4));
}

#[test]
fn a_task_that_its_target_did_not_start_may_start_once_more() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &spec(1, "one"));
    assert!(single.records.try_start(single.now, &key, TaskIndex(0)));
    single.records.on_task_end(single.now, &key, TaskIndex(0), TaskEnd::NotStarted);
    assert!(single.records.try_start(single.now, &key, TaskIndex(0)));
    assert!(!single.records.try_start(single.now, &key, TaskIndex(0)));
}

#[test]
fn a_restarted_single_host_refuses_unknown_keys_until_all_lost_records_have_expired() {
    let short = |settings: &mut Settings| {
        settings.max_deadline = Duration::from_secs(1);
        settings.retention = Duration::from_secs(1);
    };
    let mut single = SingleHost::open(short);
    single.submit(1, "k", &spec(1, "one"));
    assert!(single.records.try_start(single.now, &"k".into(), TaskIndex(0)));
    single.restart(2, short);
    single.submit(2, "k", &spec(1, "one"));
    assert_eq!(single.reply(2), Some(&Reply::Refused(Code::HomeUnknown)));
    single.records.read(single.now, Tag(3), "k".into(), Duration::ZERO);
    single.collect();
    assert_eq!(single.reply(3), Some(&Reply::Refused(Code::HomeUnknown)));
    // A key that the host has just generated can't belong to a lost record.
    let deadline = single.now + WAIT;
    let minted = single.records.submit_unkeyed(single.now, Tag(4), spec(1, "new"), deadline, WAIT);
    assert!(single.records.try_start(single.now, &minted, TaskIndex(0)));
    single.advance(Duration::from_millis(2_300));
    single.submit(5, "k2", &spec(1, "one"));
    assert!(single.records.try_start(single.now, &"k2".into(), TaskIndex(0)));
}

#[test]
fn memory_is_bounded_and_a_full_host_refuses_without_starting() {
    let mut single = SingleHost::open(|settings| {
        settings.max_bytes = 10_000;
        settings.retention = Duration::from_secs(1);
    });
    let mut refusals = 0;
    for tag in 0..50 {
        let key = format!("k{tag}");
        single.submit(tag, &key, &spec(1, "one"));
        let started = single.records.try_start(single.now, &key.as_str().into(), TaskIndex(0));
        let refused = single.reply(tag) == Some(&Reply::Refused(Code::Overloaded));
        assert_ne!(started, refused);
        refusals += u64::from(refused);
        single.records.on_task_end(single.now, &key.as_str().into(), TaskIndex(0), answered("yes"));
        single.collect();
    }
    assert!(refusals > 20, "{refusals}");
    assert!(single.records.record_bytes() <= 10_000, "{}", single.records.record_bytes());
    for _ in 0..200 {
        single.advance(Duration::from_millis(10));
    }
    assert_eq!(single.records.record_count(), 0, "records expire with their retention");
    assert_eq!(single.records.record_bytes(), 0);
}

#[test]
fn a_command_for_another_epoch_changes_nothing() {
    let mut table = Ownership::default();
    table.apply(1, &Command::Initialize { hashed_ranges: 1, pinned_ranges: 1, zones: vec!["a".into()] });
    for index in 2..4 {
        for command in table.plan(&[peer(1)]) {
            table.apply(index, &command);
        }
    }
    let (range, before) = table.ranges().next().map(|(id, range)| (id, range.clone())).unwrap();
    for epoch in [before.epoch - 1, before.epoch + 1] {
        table.apply(9, &Command::MarkReady { range, epoch });
        table.apply(9, &Command::ForgetPrior { range, epoch });
        table.apply(9, &Command::Assign { range, epoch, holders: vec![peer(2).holder] });
        assert_eq!(table.range(range), Some(&before));
    }
}

#[test]
fn the_plan_keeps_pinned_ranges_in_their_zone_and_copies_in_two_zones() {
    let peers: Vec<Peer> =
        (1..=6).map(|at| Peer::new(HostId(at), Incarnation(1), format!("z{}", at % 3).as_str().into())).collect();
    let mut table = Ownership::default();
    for index in 1..80 {
        for command in table.plan(&peers) {
            table.apply(index, &command);
        }
        let ready: Vec<Command> =
            table.ranges().map(|(range, of)| Command::MarkReady { range, epoch: of.epoch }).collect();
        for command in ready {
            table.apply(index, &command);
        }
    }
    assert_eq!(table.plan(&peers), Vec::new(), "the plan converges");
    let zone_of = |host: HostId| peers.iter().find(|peer| peer.holder.host == host).map(|peer| &peer.zone);
    for (id, range) in table.ranges() {
        let zones: Vec<_> = range.holders.iter().map(|holder| zone_of(holder.host)).collect();
        assert_eq!(zones.len(), 2);
        match table.zone(id) {
            Some(zone) => assert_eq!(zones, vec![Some(zone); 2]),
            None => assert_ne!(zones[0], zones[1]),
        }
    }
}

/// Wraps `body` in a message between two hosts that are both in their first incarnation.
fn message(body: Body) -> RecordMessage {
    RecordMessage { from: Incarnation(1), to: Incarnation(1), body }
}

fn sent(records: &mut Records) -> Vec<Body> {
    let bodies = records.drain().into_iter().filter_map(|output| match output {
        Output::Send { message, .. } => Some(message.body),
        _ => None,
    });
    bodies.collect()
}

#[test]
fn a_sealed_follower_no_longer_acknowledges_the_former_owner() {
    let range = RangeId(0);
    let (owner, follower) = (HostId(1), HostId(2));
    let holders: Vec<Holder> = [owner, follower].map(|host| Holder::new(host, Incarnation(1))).into();
    let mut now = Time::from_millis(1);
    let mut records = Records::open(Settings::new(follower, Incarnation(1), "a".into()), now);
    let page = Page::default();
    records.on_message(now, owner, message(Body::Sync { range, epoch: 1, holders, page }));
    let renew = |sent: Time| message(Body::Renew { sent, ranges: vec![(range, 1)] });
    let open = |key: &str| {
        let step = Step::Open { spec: spec(1, "one"), time_left: WAIT, window_end: 1 };
        message(Body::Step(ReplicatedStep { range, epoch: 1, key: key.into(), serial: 1, step }))
    };
    records.on_message(now, owner, renew(now));
    records.on_message(now, owner, open("before"));
    let acks = sent(&mut records);
    assert!(acks.contains(&Body::RenewAck { sent: now, ranges: vec![(range, 1)] }), "{acks:?}");
    assert!(acks.iter().any(|body| matches!(body, Body::StepAck { .. })), "{acks:?}");
    // The new owner waits until the lease has expired, but the follower stops acknowledging the former owner at once.
    let seal = || message(Body::Seal { range, epoch: 2, cursor: 0 });
    records.on_message(now, HostId(3), seal());
    assert_eq!(sent(&mut records), Vec::new());
    now += Duration::from_millis(500);
    records.on_message(now, owner, renew(now));
    records.on_message(now, owner, open("after"));
    assert_eq!(sent(&mut records), vec![Body::RenewAck { sent: now, ranges: Vec::new() }]);
    now += Duration::from_millis(599);
    records.on_message(now, HostId(3), seal());
    assert_eq!(sent(&mut records), Vec::new());
    now += Duration::from_millis(1);
    records.on_message(now, HostId(3), seal());
    let replies = sent(&mut records);
    let has_key = |page: &Page| page.snapshots.iter().map(|snapshot| snapshot.key.as_str()).eq(["before"]);
    assert!(matches!(&*replies, [Body::SealReply { page, .. }] if has_key(page)), "{replies:?}");
}

#[test]
fn a_range_that_lost_all_holders_waits_for_the_operator_and_then_starts_without_records() {
    let mut single = SingleHost::open(|_| {});
    let range = single.table.locate(&"k".into()).unwrap();
    let epoch = single.table.range(range).unwrap().epoch;
    let lost = Holder::new(HostId(9), Incarnation(1));
    let apply = |single: &mut SingleHost, command: &Command| {
        single.index += 1;
        single.table.apply(single.index, command);
        single.records.install_table(single.now, &single.table);
        single.advance(Duration::from_millis(400));
    };
    apply(&mut single, &Command::Assign { range, epoch, holders: vec![lost] });
    apply(&mut single, &Command::MarkReady { range, epoch: epoch + 1 });
    apply(&mut single, &Command::Assign { range, epoch: epoch + 1, holders: vec![peer(1).holder] });
    let ready = Command::MarkReady { range, epoch: epoch + 2 };
    assert!(!single.outputs.contains(&Output::Propose(ready.clone())), "no host has the records of the range");
    apply(&mut single, &Command::ForgetPrior { range, epoch: epoch + 2 });
    assert!(single.outputs.contains(&Output::Propose(ready.clone())));
    apply(&mut single, &ready);
    single.submit(1, "k", &spec(1, "one"));
    assert_eq!(single.reply(1), Some(&Reply::Refused(Code::HomeUnknown)));
}

/// Returns host 2, a follower that has just granted host 1 a lease and is then assigned as owner in its place.
fn promoted_follower() -> (Time, Ownership, Records) {
    let (owner, follower) = (HostId(1), HostId(2));
    let holders: Vec<Holder> = [owner, follower].map(|host| Holder::new(host, Incarnation(1))).into();
    let (range, now) = (RangeId(0), Time::from_millis(1));
    let mut table = Ownership::default();
    table.apply(1, &Command::Initialize { hashed_ranges: 1, pinned_ranges: 1, zones: Vec::new() });
    table.apply(2, &Command::Assign { range, epoch: 0, holders: holders.clone() });
    table.apply(3, &Command::MarkReady { range, epoch: 1 });
    let mut records = Records::open(Settings::new(follower, Incarnation(1), "a".into()), now);
    let sync = Body::Sync { range, epoch: 1, holders: holders.clone(), page: Page::default() };
    records.on_message(now, owner, message(sync));
    records.install_table(now, &table);
    let step = Step::Open { spec: spec(1, "one"), time_left: WAIT * 9, window_end: 1 };
    let change = ReplicatedStep { range, epoch: 1, key: "k".into(), serial: 1, step };
    records.on_message(now, owner, message(Body::Step(change)));
    records.on_message(now, owner, message(Body::Renew { sent: now, ranges: vec![(range, 1)] }));
    table.apply(4, &Command::Assign { range, epoch: 1, holders: holders[1..].to_vec() });
    records.install_table(now, &table);
    (now, table, records)
}

fn proposes_ready(records: &mut Records) -> bool {
    records.drain().iter().any(|output| matches!(output, Output::Propose(Command::MarkReady { epoch: 2, .. })))
}

#[test]
fn a_promoted_follower_waits_until_the_lease_of_the_former_owner_has_expired() {
    let (now, _, mut records) = promoted_follower();
    records.on_tick(now + Duration::from_millis(1_099));
    assert!(!proposes_ready(&mut records));
    records.on_tick(now + Duration::from_millis(1_100));
    assert!(proposes_ready(&mut records));
}

#[test]
fn a_promoted_follower_takes_over_at_once_when_the_former_owner_hands_over_or_restarts() {
    let (now, _, mut records) = promoted_follower();
    let seal_reply =
        Body::SealReply { range: RangeId(0), epoch: 2, page: Page { from_owner: true, ..Page::default() } };
    records.on_message(now, HostId(1), message(seal_reply));
    assert!(proposes_ready(&mut records));
    let (now, _, mut records) = promoted_follower();
    records.on_peers(now, &[Peer::new(HostId(1), Incarnation(2), "a".into())]);
    assert!(proposes_ready(&mut records));
}

/// Returns a request from the entry host 2 that submits one task.
fn submit_request(request_id: u64, floor: u64, key: &str) -> RecordMessage {
    let request = RecordRequest::Submit { spec: spec(1, "one"), time_left: WAIT, wait: WAIT, first_attempt: false };
    message(Body::Request { request_id, floor, key: key.into(), request })
}

/// Returns an owner that refused request 1, for the key "k", as overloaded and has free memory again.
fn owner_after_refusal() -> SingleHost {
    let mut single = SingleHost::open(|settings| {
        settings.max_bytes = 1_000;
        settings.retention = Duration::from_secs(1);
    });
    single.submit(1, "first", &spec(1, "one"));
    single.records.on_message(single.now, HostId(2), submit_request(1, 1, "k"));
    let refusal = Body::Reply { request_id: 1, reply: OwnerReply::Refused(Code::Overloaded) };
    assert!(sent(&mut single.records).contains(&refusal));
    single.records.cancel(single.now, Tag(2), "first".into());
    for _ in 0..300 {
        single.advance(Duration::from_millis(10));
    }
    assert_eq!(single.records.record_bytes(), 0);
    single
}

fn count_runs(records: &mut Records) -> usize {
    records.drain().iter().filter(|output| matches!(output, Output::Run { .. })).count()
}

#[test]
fn a_duplicate_of_a_refused_request_does_not_start_later() {
    let mut single = owner_after_refusal();
    single.records.on_message(single.now, HostId(2), submit_request(1, 1, "k"));
    assert_eq!(count_runs(&mut single.records), 0);
    single.records.on_message(single.now, HostId(2), submit_request(2, 2, "other"));
    assert_eq!(count_runs(&mut single.records), 1);
}

#[test]
fn an_old_copy_of_a_finished_request_does_not_start_later() {
    let mut single = owner_after_refusal();
    let read = Body::Request {
        request_id: 2,
        floor: 2,
        key: "x".into(),
        request: RecordRequest::Read { wait: Duration::ZERO },
    };
    single.records.on_message(single.now, HostId(2), message(read));
    single.records.on_message(single.now, HostId(2), submit_request(1, 1, "k"));
    assert_eq!(count_runs(&mut single.records), 0);
}

#[test]
fn a_request_ends_as_not_run_only_if_every_host_that_got_it_refused_it() {
    let mut single = SingleHost::open(|_| {});
    let range = single.table.locate(&"k".into()).unwrap();
    let assign = |single: &mut SingleHost, host: u64| {
        let epoch = single.table.range(range).unwrap().epoch;
        let holders = vec![Holder::new(HostId(host), Incarnation(1))];
        for command in [Command::Assign { range, epoch, holders }, Command::MarkReady { range, epoch: epoch + 1 }] {
            single.index += 1;
            single.table.apply(single.index, &command);
        }
        single.records.install_table(single.now, &single.table);
    };
    let refusal = || message(Body::Reply { request_id: 1, reply: OwnerReply::Refused(Code::Overloaded) });
    assign(&mut single, 8);
    single.submit(1, "k", &spec(1, "one"));
    assign(&mut single, 9);
    single.advance(Duration::from_millis(200));
    single.records.on_message(single.now, HostId(9), refusal());
    single.collect();
    assert_eq!(single.reply(1), None, "host 8 may have recorded the request");
    single.records.on_message(single.now, HostId(8), refusal());
    single.collect();
    assert_eq!(single.reply(1), Some(&Reply::Refused(Code::Overloaded)));
}

#[test]
fn a_later_owner_does_not_restart_a_task_because_one_host_did_not_start_it() {
    let (now, mut table, mut records) = promoted_follower();
    let later = now + Duration::from_secs(2);
    records.on_tick(later);
    table.apply(5, &Command::MarkReady { range: RangeId(0), epoch: 2 });
    records.install_table(later, &table);
    assert_eq!(count_runs(&mut records), 0, "the former owner may have started the task");
    let late_report = |end: TaskEnd| {
        let assignment = Some((Holder::new(HostId(1), Incarnation(1)), 1));
        message(Body::ReportEnd { key: "k".into(), task: TaskIndex(0), assignment, end })
    };
    // The former owner may have assigned the task again after the report of host 3.
    records.on_message(later, HostId(3), late_report(TaskEnd::NotStarted));
    assert_eq!(count_runs(&mut records), 0);
    records.read(later, Tag(1), "k".into(), WAIT);
    records.on_message(later, HostId(3), late_report(answered("yes")));
    let complete = Reply::Ended(Arc::new(SubmissionEnd::Complete(vec![(200, "yes".into())])));
    assert!(records.drain().contains(&Output::Reply { tag: Tag(1), reply: complete }));
}
