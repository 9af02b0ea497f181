//! Guards against a lost majority that the log of a survivor does not show, and against a line for each of its attempts.

use bytes::Bytes;
use mangogw_model::{HostId, Time};
use mangogw_store::{Body, DurableState, FolderId, GroupId, Members, Message, Raft, Settings};
use std::fmt::Write as _;
use std::sync::Mutex;

/// Logger that keeps the lines on failed elections.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        struct Pairs(String);
        impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
            fn visit_pair(
                &mut self,
                key: log::kv::Key<'kvs>,
                value: log::kv::Value<'kvs>,
            ) -> Result<(), log::kv::Error> {
                write!(self.0, " {key}={value}").map_err(log::kv::Error::boxed)
            }
        }
        let mut pairs = Pairs(record.args().to_string());
        record.key_values().visit(&mut pairs).expect("key-value pairs can be written to a string");
        if pairs.0.contains("election ended") {
            self.0.lock().unwrap().push(pairs.0);
        }
    }

    fn flush(&self) {}
}

#[test]
fn elections_without_a_quorum_are_logged_with_their_voters_and_bounded() {
    log::set_logger(&LINES).expect("no other logger is set");
    log::set_max_level(log::LevelFilter::Info);
    let folder_id = |host: u64| FolderId(host + 10);
    let members = Members::from_voters([1, 2, 3].map(|host| (HostId(host), folder_id(host))));
    let stored = DurableState::bootstrap(HostId(1), folder_id(1), GroupId(77), members, Bytes::default());
    let term = stored.hard_state.term;
    let mut raft = Raft::open(Settings::default(), stored, Time::ZERO);
    let mut run = |millis: std::ops::Range<u64>, refusing: Option<u64>| {
        for now in millis.step_by(10).map(Time::from_millis) {
            raft.on_tick(now);
            raft.drain();
            if let Some(host) = refusing {
                let body = Body::PreVoteAnswer { granted: false };
                let message = Message { group: GroupId(77), folder_id: folder_id(host), to: HostId(1), term, body };
                raft.on_message(now, HostId(host), message);
            }
        }
        (raft.failed_elections(), std::mem::take(&mut *LINES.0.lock().unwrap()))
    };

    let (failed, lines) = run(0..4_900, None);
    assert!(failed >= 4, "{failed} failed elections");
    let [line] = &*lines else { panic!("one line in the first five seconds, not {lines:#?}") };
    for field in ["granted=1", "refused= ", "silent=2,3", "needed=2", "role=PreCandidate"] {
        assert!(line.contains(field), "{field} in {line}");
    }

    let (_, lines) = run(4_900..30_000, None);
    assert!((4..=5).contains(&lines.len()), "one line every five seconds, not {lines:#?}");

    let (_, lines) = run(30_000..32_500, Some(3));
    assert!(lines[0].contains("refused=3 silent=2"), "a new refusal is logged at once: {lines:#?}");
    assert_eq!(lines.len(), 1, "{lines:#?}");
}
