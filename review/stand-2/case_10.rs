//! A task that lasts fails while the service is full, and waits behind every job that came after it.

use crate::Verdict;
use crate::platform::{Platform, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const EXECUTORS: usize = 8;
const LASTING_ID: &str = "7000000000000001";
const LASTING: &str =
    r#"{"spec":"work 0","phases":[{"count":1,"cpu":6800,"memMb":64,"estimateMs":900}],"longRunning":true}"#;
/// Two tasks of 6.8 cores fit on an executor, so one of these jobs in 1.8 s is what the service can do.
const WIDE: &str = r#"{"spec":"work 3600","phases":[{"count":8,"cpu":6800,"memMb":64,"estimateMs":3600}]}"#;
/// Jobs that come together, and jobs that come one after the other behind them.
const JOBS_AT_ONCE: u64 = 6;
const JOBS_LATER: u64 = 16;
const BETWEEN: Duration = Duration::from_millis(1800);
/// Seconds after its last run from which on a task that lasts may not be without a run for another 3 s.
const LIMIT: f64 = 6.0 + 3.0;

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, false)?;
    platform.add_executors(EXECUTORS, 0, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = platform.fronts();
    if submit(world, fronts[0], LASTING_ID, LASTING, 1500).status() != 200 {
        return Err("the job that lasts is not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let hand_in = |number: u64| {
        let id = format!("{:016x}", 0x4000_0000_0000_0000 + number);
        match submit(world, fronts[number as usize % fronts.len()], &id, WIDE, 1500).status() {
            200 => Ok(()),
            _ => Err(format!("job {id} is not accepted")),
        }
    };
    (0..JOBS_AT_ONCE).try_for_each(hand_in)?;
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let run = world.runs_of(LASTING_ID).last().cloned().ok_or("the task that lasts has not begun")?;
        let executor = platform.executors.iter().find(|executor| executor.id == run.executor);
        executor.ok_or("no such executor")?.fail_run(&run.task);
    }
    for number in 0..JOBS_LATER {
        hand_in(JOBS_AT_ONCE + number)?;
        thread::sleep(BETWEEN);
    }
    thread::sleep(Duration::from_secs(14));
    let runs = world.runs_of(LASTING_ID);
    let mut broken = false;
    for (at, run) in runs.iter().enumerate() {
        let Some(ended) = run.ended else { continue };
        let next = runs.get(at + 1).map_or(world.now(), |next| next.begun);
        let others = world.runs.lock().unwrap().iter().filter(|run| run.begun > ended && run.begun < next).count();
        world.log(&format!(
            "{} run {}: {} at {ended:.3}, without a run for {:.1} s, in which {others} other tasks were started",
            run.task, run.run, run.how, next - ended
        ));
        if next - ended > LIMIT {
            broken = true;
            world.log(&format!("LOST {}: nothing running for more than {LIMIT} s", run.task));
        }
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}
