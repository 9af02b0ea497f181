//! One promise of the records at a time, on a host alone and on the table.

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

/// A host alone: its records, and the table of a control group that accepts everything.
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

    /// Restarts the process; its memory is gone.
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

    fn submit(&mut self, tag: u64, key: &str, work: &Arc<SubmissionSpec>) {
        let submission = Submission { key: key.into(), spec: Arc::clone(work), deadline: self.now + WAIT };
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

fn work(tasks: usize, body: &'static str) -> Arc<SubmissionSpec> {
    let task = Task { body: body.into(), ..Task::default() };
    let mut work = SubmissionSpec { entry: "scan".into(), tasks: vec![task; tasks], ..SubmissionSpec::default() };
    work.digest.0[0] = body.len() as u8;
    Arc::new(work)
}

fn answered(body: &'static str) -> TaskEnd {
    TaskEnd::Answered { status: 200, body: body.into() }
}

fn failed(code: Code, culprit: Option<u32>) -> Reply {
    Reply::Ended(Arc::new(SubmissionEnd::Failed { code, failed_task: culprit.map(TaskIndex) }))
}

#[test]
fn a_resubmit_gets_the_first_answer_and_another_body_is_refused() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &work(2, "one"));
    for task in [0, 1].map(TaskIndex) {
        assert!(single.records.try_start(single.now, &key, task));
        single.records.on_task_end(single.now, &key, task, answered("yes"));
    }
    single.collect();
    single.submit(2, "k", &work(2, "one"));
    single.submit(3, "k", &work(2, "other"));
    let whole = Reply::Ended(Arc::new(SubmissionEnd::Complete(vec![(200, "yes".into()); 2])));
    assert_eq!(single.reply(1), Some(&whole));
    assert_eq!(single.reply(2), Some(&whole));
    assert_eq!(single.reply(3), Some(&Reply::Refused(Code::KeyReused)));
    let runs = single.outputs.iter().filter(|output| matches!(output, Output::Run { .. })).count();
    assert_eq!(runs, 1);
}

#[test]
fn one_task_without_an_answer_fails_the_job_and_stops_the_rest() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &work(3, "one"));
    assert!(single.records.try_start(single.now, &key, TaskIndex(1)));
    single.records.on_task_end(single.now, &key, TaskIndex(1), TaskEnd::Failed(Code::TargetFailed));
    single.collect();
    assert_eq!(single.reply(1), Some(&failed(Code::TargetFailed, Some(1))));
    assert!(!single.records.try_start(single.now, &key, TaskIndex(0)));
    assert!(single.outputs.contains(&Output::Stop { key }));
}

#[test]
fn what_never_started_ends_as_not_run_and_what_may_have_as_unknown() {
    let mut single = SingleHost::open(|_| {});
    for (tag, key) in [(1, "late"), (2, "ran"), (3, "cancelled"), (4, "stopped"), (5, "refused")] {
        single.submit(tag, key, &work(1, "one"));
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
fn a_task_that_its_target_did_not_start_runs_once_after_all() {
    let mut single = SingleHost::open(|_| {});
    let key: Key = "k".into();
    single.submit(1, "k", &work(1, "one"));
    assert!(single.records.try_start(single.now, &key, TaskIndex(0)));
    single.records.on_task_end(single.now, &key, TaskIndex(0), TaskEnd::NotStarted);
    assert!(single.records.try_start(single.now, &key, TaskIndex(0)));
    assert!(!single.records.try_start(single.now, &key, TaskIndex(0)));
}

#[test]
fn a_host_alone_that_restarts_vouches_for_no_unseen_key_until_all_it_lost_has_ended() {
    let short = |settings: &mut Settings| {
        settings.max_deadline = Duration::from_secs(1);
        settings.retention = Duration::from_secs(1);
    };
    let mut single = SingleHost::open(short);
    single.submit(1, "k", &work(1, "one"));
    assert!(single.records.try_start(single.now, &"k".into(), TaskIndex(0)));
    single.restart(2, short);
    single.submit(2, "k", &work(1, "one"));
    assert_eq!(single.reply(2), Some(&Reply::Refused(Code::HomeUnknown)));
    single.records.read(single.now, Tag(3), "k".into(), Duration::ZERO);
    single.collect();
    assert_eq!(single.reply(3), Some(&Reply::Refused(Code::HomeUnknown)));
    // A key it minted just now can't have been seen.
    let deadline = single.now + WAIT;
    let minted = single.records.submit_unkeyed(single.now, Tag(4), work(1, "new"), deadline, WAIT);
    assert!(single.records.try_start(single.now, &minted, TaskIndex(0)));
    single.advance(Duration::from_millis(2_300));
    single.submit(5, "k2", &work(1, "one"));
    assert!(single.records.try_start(single.now, &"k2".into(), TaskIndex(0)));
}

#[test]
fn memory_is_bounded_and_a_full_host_refuses_truly() {
    let mut single = SingleHost::open(|settings| {
        settings.max_bytes = 10_000;
        settings.retention = Duration::from_secs(1);
    });
    let mut full = 0;
    for tag in 0..50 {
        let key = format!("k{tag}");
        single.submit(tag, &key, &work(1, "one"));
        let started = single.records.try_start(single.now, &key.as_str().into(), TaskIndex(0));
        let refused = single.reply(tag) == Some(&Reply::Refused(Code::Overloaded));
        assert_ne!(started, refused);
        full += u64::from(refused);
        single.records.on_task_end(single.now, &key.as_str().into(), TaskIndex(0), answered("yes"));
        single.collect();
    }
    assert!(full > 20, "{full}");
    assert!(single.records.record_bytes() <= 10_000, "{}", single.records.record_bytes());
    for _ in 0..200 {
        single.advance(Duration::from_millis(10));
    }
    assert_eq!(single.records.record_count(), 0, "records end with their retention");
    assert_eq!(single.records.record_bytes(), 0);
}

#[test]
fn a_command_for_an_epoch_that_is_over_changes_nothing() {
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
    assert_eq!(table.plan(&peers), Vec::new(), "the plan comes to rest");
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

/// A message of a host in its first life to another in its first.
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
fn a_follower_that_sealed_helps_the_former_owner_no_more() {
    let range = RangeId(0);
    let (owner, follower) = (HostId(1), HostId(2));
    let holders: Vec<Holder> = [owner, follower].map(|host| Holder::new(host, Incarnation(1))).into();
    let mut now = Time::from_millis(1);
    let mut records = Records::open(Settings::new(follower, Incarnation(1), "a".into()), now);
    let page = Page::default();
    records.on_message(now, owner, message(Body::Sync { range, epoch: 1, holders, page }));
    let renew = |sent: Time| message(Body::Renew { sent, ranges: vec![(range, 1)] });
    let open = |key: &str| {
        let step = Step::Open { spec: work(1, "one"), time_left: WAIT, window_end: 1 };
        message(Body::Step(ReplicatedStep { range, epoch: 1, key: key.into(), serial: 1, step }))
    };
    records.on_message(now, owner, renew(now));
    records.on_message(now, owner, open("before"));
    let helped = sent(&mut records);
    assert!(helped.contains(&Body::RenewAck { sent: now, ranges: vec![(range, 1)] }), "{helped:?}");
    assert!(helped.iter().any(|body| matches!(body, Body::StepAck { .. })), "{helped:?}");
    // The new owner is put off until the lease is over, but the follower stops its help at once.
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
    let handed = sent(&mut records);
    let whole = |page: &Page| page.snapshots.iter().map(|image| image.key.as_str()).eq(["before"]);
    assert!(matches!(&*handed, [Body::SealReply { page, .. }] if whole(page)), "{handed:?}");
}

#[test]
fn a_range_whose_holders_never_come_back_waits_for_the_operator_and_then_starts_blind() {
    let mut single = SingleHost::open(|_| {});
    let range = single.table.locate(&"k".into()).unwrap();
    let epoch = single.table.range(range).unwrap().epoch;
    let gone = Holder::new(HostId(9), Incarnation(1));
    let apply = |single: &mut SingleHost, command: &Command| {
        single.index += 1;
        single.table.apply(single.index, command);
        single.records.install_table(single.now, &single.table);
        single.advance(Duration::from_millis(400));
    };
    apply(&mut single, &Command::Assign { range, epoch, holders: vec![gone] });
    apply(&mut single, &Command::MarkReady { range, epoch: epoch + 1 });
    apply(&mut single, &Command::Assign { range, epoch: epoch + 1, holders: vec![peer(1).holder] });
    let ready = Command::MarkReady { range, epoch: epoch + 2 };
    assert!(!single.outputs.contains(&Output::Propose(ready.clone())), "nobody has the records");
    apply(&mut single, &Command::ForgetPrior { range, epoch: epoch + 2 });
    assert!(single.outputs.contains(&Output::Propose(ready.clone())));
    apply(&mut single, &ready);
    single.submit(1, "k", &work(1, "one"));
    assert_eq!(single.reply(1), Some(&Reply::Refused(Code::HomeUnknown)));
}

/// A follower of host 1 that granted it a lease just now and is named the owner in its place.
fn promoted() -> (Time, Ownership, Records) {
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
    let step = Step::Open { spec: work(1, "one"), time_left: WAIT * 9, window_end: 1 };
    let change = ReplicatedStep { range, epoch: 1, key: "k".into(), serial: 1, step };
    records.on_message(now, owner, message(Body::Step(change)));
    records.on_message(now, owner, message(Body::Renew { sent: now, ranges: vec![(range, 1)] }));
    table.apply(4, &Command::Assign { range, epoch: 1, holders: holders[1..].to_vec() });
    records.install_table(now, &table);
    (now, table, records)
}

fn proposes(records: &mut Records) -> bool {
    records.drain().iter().any(|output| matches!(output, Output::Propose(Command::MarkReady { epoch: 2, .. })))
}

#[test]
fn a_promoted_follower_waits_until_the_former_owner_may_no_longer_act() {
    let (now, _, mut records) = promoted();
    records.on_tick(now + Duration::from_millis(1_099));
    assert!(!proposes(&mut records));
    records.on_tick(now + Duration::from_millis(1_100));
    assert!(proposes(&mut records));
}

#[test]
fn a_promoted_follower_goes_on_at_once_when_the_former_owner_hands_over_or_restarts() {
    let (now, _, mut records) = promoted();
    let state = Body::SealReply { range: RangeId(0), epoch: 2, page: Page { from_owner: true, ..Page::default() } };
    records.on_message(now, HostId(1), message(state));
    assert!(proposes(&mut records));
    let (now, _, mut records) = promoted();
    records.on_peers(now, &[Peer::new(HostId(1), Incarnation(2), "a".into())]);
    assert!(proposes(&mut records));
}

/// A submission of one task by the entry host 2.
fn asked(request_id: u64, floor: u64, key: &str) -> RecordMessage {
    let request = RecordRequest::Submit { spec: work(1, "one"), time_left: WAIT, wait: WAIT, first_attempt: false };
    message(Body::Request { request_id, floor, key: key.into(), request })
}

/// An owner that refused request 1, for the key "k", and has room again.
fn refused() -> SingleHost {
    let mut single = SingleHost::open(|settings| {
        settings.max_bytes = 1_000;
        settings.retention = Duration::from_secs(1);
    });
    single.submit(1, "first", &work(1, "one"));
    single.records.on_message(single.now, HostId(2), asked(1, 1, "k"));
    let told = Body::Reply { request_id: 1, reply: OwnerReply::Refused(Code::Overloaded) };
    assert!(sent(&mut single.records).contains(&told));
    single.records.cancel(single.now, Tag(2), "first".into());
    for _ in 0..300 {
        single.advance(Duration::from_millis(10));
    }
    assert_eq!(single.records.record_bytes(), 0);
    single
}

fn runs(records: &mut Records) -> usize {
    records.drain().iter().filter(|output| matches!(output, Output::Run { .. })).count()
}

#[test]
fn a_doubled_request_that_was_refused_does_not_start_later() {
    let mut single = refused();
    single.records.on_message(single.now, HostId(2), asked(1, 1, "k"));
    assert_eq!(runs(&mut single.records), 0);
    single.records.on_message(single.now, HostId(2), asked(2, 2, "other"));
    assert_eq!(runs(&mut single.records), 1);
}

#[test]
fn an_old_copy_of_a_settled_request_does_not_start_later() {
    let mut single = refused();
    let read = Body::Request {
        request_id: 2,
        floor: 2,
        key: "x".into(),
        request: RecordRequest::Read { wait: Duration::ZERO },
    };
    single.records.on_message(single.now, HostId(2), message(read));
    single.records.on_message(single.now, HostId(2), asked(1, 1, "k"));
    assert_eq!(runs(&mut single.records), 0);
}

#[test]
fn a_refusal_is_not_run_only_if_everyone_who_got_the_request_refused_it() {
    let mut single = SingleHost::open(|_| {});
    let range = single.table.locate(&"k".into()).unwrap();
    let give = |single: &mut SingleHost, host: u64| {
        let epoch = single.table.range(range).unwrap().epoch;
        let holders = vec![Holder::new(HostId(host), Incarnation(1))];
        for command in [Command::Assign { range, epoch, holders }, Command::MarkReady { range, epoch: epoch + 1 }] {
            single.index += 1;
            single.table.apply(single.index, &command);
        }
        single.records.install_table(single.now, &single.table);
    };
    let told = || message(Body::Reply { request_id: 1, reply: OwnerReply::Refused(Code::Overloaded) });
    give(&mut single, 8);
    single.submit(1, "k", &work(1, "one"));
    give(&mut single, 9);
    single.advance(Duration::from_millis(200));
    single.records.on_message(single.now, HostId(9), told());
    single.collect();
    assert_eq!(single.reply(1), None, "host 8 may have recorded it");
    single.records.on_message(single.now, HostId(8), told());
    single.collect();
    assert_eq!(single.reply(1), Some(&Reply::Refused(Code::Overloaded)));
}

#[test]
fn a_later_owner_frees_no_task_by_the_word_of_one_that_did_not_start_it() {
    let (now, mut table, mut records) = promoted();
    let later = now + Duration::from_secs(2);
    records.on_tick(later);
    table.apply(5, &Command::MarkReady { range: RangeId(0), epoch: 2 });
    records.install_table(later, &table);
    assert_eq!(runs(&mut records), 0, "the former owner may have started it");
    let late = |end: TaskEnd| {
        let assignment = Some((Holder::new(HostId(1), Incarnation(1)), 1));
        message(Body::ReportEnd { key: "k".into(), task: TaskIndex(0), assignment, end })
    };
    // The former owner may have placed it anew after host 3 said so.
    records.on_message(later, HostId(3), late(TaskEnd::NotStarted));
    assert_eq!(runs(&mut records), 0);
    records.read(later, Tag(1), "k".into(), WAIT);
    records.on_message(later, HostId(3), late(answered("yes")));
    let whole = Reply::Ended(Arc::new(SubmissionEnd::Complete(vec![(200, "yes".into())])));
    assert!(records.drain().contains(&Output::Reply { tag: Tag(1), reply: whole }));
}
