//! An executor crashes and starts again under its id; the next start that it gets runs there and elsewhere at once.

use crate::Verdict;
use crate::platform::{Platform, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Executors, of which one crashes: 12.5%, and the pages let up to 14% crash.
const EXECUTORS: usize = 8;
/// Time for which the executor is down; the pages let it be 4.5 s.
const DOWN: Duration = Duration::from_millis(1000);
/// Time from the start of the new life to its first beat; beats come about every 1.5 s.
const FIRST_BEAT: Duration = Duration::from_millis(750);

const SHORT_JOB: &str =
    r#"{"spec":"work 200","phases":[{"count":1,"cpu":6800,"memMb":64,"estimateMs":200}],"bestEffort":true}"#;
const JOB: &str =
    r#"{"spec":"work 900","phases":[{"count":15,"cpu":6800,"memMb":64,"estimateMs":900}],"bestEffort":true}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, false)?;
    platform.add_executors(EXECUTORS, 0, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = platform.fronts();
    for round in 0..5_u64 {
        // The executor that the system prefers now is the one that crashes while nothing runs.
        let first = format!("{:016x}", 0x5c0e_7a21_d94b_0000 + 2 * round);
        if submit(world, fronts[0], &first, SHORT_JOB, 1500).status() != 200 {
            return Err("the first job got no 200".to_owned());
        }
        let runs = world.runs_of(&first);
        let chosen = runs.last().ok_or("the first job has not run")?.executor.clone();
        let executor = platform.executors.iter().find(|executor| executor.id == chosen).ok_or("no such executor")?;
        thread::sleep(Duration::from_millis(1000));
        if trouble {
            executor.crash();
            thread::sleep(DOWN);
            executor.start(FIRST_BEAT);
        }
        thread::sleep(Duration::from_millis(300));
        let second = format!("{:016x}", 0x5c0e_7a21_d94b_0001 + 2 * round);
        submit(world, fronts[1], &second, JOB, 1500);
        thread::sleep(Duration::from_millis(3000));
    }
    let overlaps = world.overlaps(0.02);
    for (one, other, shared) in &overlaps {
        world.log(&format!(
            "TWICE {}: run {} on {} and run {} on {} for {:.0} ms at the same time",
            one.task, one.run, one.executor, other.run, other.executor, shared * 1000.0
        ));
    }
    Ok(if overlaps.is_empty() { Verdict::Held } else { Verdict::Broken })
}
