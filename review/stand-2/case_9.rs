//! A zone is cut off just after an edge machine was killed: a job that its client sends again starts beside a run that
//! the earlier leader still holds.

use crate::Verdict;
use crate::http::Answer;
use crate::platform::{Platform, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const EXECUTORS: usize = 9;
/// Time from the kill to the cut.
const KILL_TO_CUT: Duration = Duration::from_millis(550);
/// Time after which a process that was killed runs again.
const RESTART: Duration = Duration::from_millis(300);
/// Time after a broken channel at which a client sends its job again: `resendMs` of the settings.
const RESEND: Duration = Duration::from_millis(1300);
/// Length of the cut; the pages let it be 6.4 s.
const CUT: Duration = Duration::from_millis(5500);

const JOB: &str =
    r#"{"spec":"work 2500","phases":[{"count":13,"cpu":6800,"memMb":64,"estimateMs":2500}],"bestEffort":true}"#;
const ID: &str = "6000000000000001";

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, true)?;
    platform.add_executors(EXECUTORS, 0, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let leader = platform.leader().ok_or("no leader is known")?;
    let zone = platform.nodes[leader].zone;
    world.log(&format!("{} leads; its zone is {zone}", platform.nodes[leader].name));
    // Two edge machines outside that zone.
    let edges: Vec<usize> =
        (0..platform.nodes.len()).filter(|at| !platform.nodes[*at].core && platform.nodes[*at].zone != zone).collect();
    let (first, second) = (platform.nodes[edges[0]].front(), platform.nodes[edges[1]].front());

    let client = {
        let world = Arc::clone(world);
        thread::spawn(move || {
            let mut answer = submit(&world, first, ID, JOB, 6000);
            // Only a 503 says that the job never runs.
            while matches!(answer, Answer::None | Answer::Status(502 | 504, _)) {
                thread::sleep(RESEND);
                answer = submit(&world, second, ID, JOB, 6000);
            }
        })
    };
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let token = world.runs_of(ID).iter().map(|run| run.token).max().ok_or("the job has not started")?;
        let proxy = Arc::clone(platform.proxy.as_ref().ok_or("there is no proxy")?);
        let executors = platform.executors.clone();
        let controls: Vec<_> = platform.nodes.iter().filter(|node| node.core).map(|node| (node.zone, node.control())).collect();
        let own = Arc::clone(world);
        let cut = thread::spawn(move || {
            thread::sleep(KILL_TO_CUT);
            own.log(&format!("zone {zone} is cut off"));
            proxy.cut(Some(zone));
            // Tokens up to this one are those of the leader in the zone and of a leader of the cut zone.
            let last = token | 0xff;
            for executor in &executors {
                let inside = executor.zone == zone;
                executor.conduct.lock().unwrap().reachable = Some(if inside { (0, last) } else { (last + 1, u64::MAX) });
                let reached = controls.iter().filter(|(other, _)| (*other == zone) == inside);
                *executor.controls.lock().unwrap() = reached.map(|(_, address)| *address).collect();
            }
            thread::sleep(CUT);
            for executor in &executors {
                executor.conduct.lock().unwrap().reachable = None;
                *executor.controls.lock().unwrap() = controls.iter().map(|(_, address)| *address).collect();
            }
            proxy.cut(None);
            own.log(&format!("zone {zone} is joined again"));
        });
        platform.kill_and_restart(edges[0], RESTART);
        cut.join().map_err(|_| "the cut failed")?;
    }
    client.join().map_err(|_| "the client failed")?;
    thread::sleep(Duration::from_secs(2));
    let overlaps = world.overlaps(0.02);
    for (one, other, shared) in &overlaps {
        world.log(&format!(
            "TWICE {}: run {} (token {}) on {} and run {} (token {}) on {} for {:.0} ms at the same time",
            one.task, one.run, one.token, one.executor, other.run, other.token, other.executor, shared * 1000.0
        ));
    }
    Ok(if overlaps.is_empty() { Verdict::Held } else { Verdict::Broken })
}
