//! A job that can never be done has ejected executors; a gang that comes later is started in part, again and again.

use crate::Verdict;
use crate::http::Answer;
use crate::platform::{Platform, read_state, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const EXECUTORS: usize = 8;
/// Jobs that come in 3 s, of which the last can never be done: 5%, and the pages let it be 5% for 3 s.
const JOBS: u64 = 20;
const BETWEEN: Duration = Duration::from_millis(150);
/// Time from the hopeless job to the gang.
const QUIET: Duration = Duration::from_secs(5);
/// Time after which the job is asked for: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

const SMALL: &str = r#"{"spec":"work 60","phases":[{"count":8,"cpu":6800,"memMb":64,"estimateMs":60}]}"#;
const HOPELESS: &str = r#"{"spec":"fail 60","phases":[{"count":8,"cpu":6800,"memMb":64,"estimateMs":60}]}"#;
/// Two members fit on an executor, so this gang needs all executors.
const GANG: &str =
    r#"{"spec":"gang 16 500","phases":[{"count":16,"cpu":6800,"memMb":64,"estimateMs":500,"gang":true}]}"#;
const GANG_ID: &str = "8000000000000001";

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, false)?;
    platform.add_executors(EXECUTORS, 0, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = platform.fronts();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x4000_0000_0000_0000 + number);
        let job = if trouble && number == JOBS - 1 { HOPELESS } else { SMALL };
        if submit(world, fronts[number as usize % fronts.len()], &id, job, 1500).status() != 200 {
            return Err(format!("job {id} is not accepted"));
        }
        thread::sleep(BETWEEN);
    }
    thread::sleep(QUIET);
    if submit(world, fronts[0], GANG_ID, GANG, 1500).status() != 200 {
        return Err("the gang is not accepted".to_owned());
    }
    thread::sleep(FINISH);
    let answer = read_state(world, fronts[1], GANG_ID);
    let runs = world.runs_of(GANG_ID);
    let alone = runs.iter().filter(|run| run.how == "alone").count();
    world.log(&format!("{} runs of the gang, of which {alone} ended alone; {answer:?}", runs.len()));
    let completed = matches!(&answer, Answer::Status(200, body) if body.contains("completed"));
    if !completed {
        world.log(&format!("LOST {GANG_ID}: not done 14 s after it was accepted, nothing else runs"));
    }
    if alone > 0 {
        world.log(&format!("GANG {GANG_ID}: {alone} runs ended alone"));
    }
    Ok(if alone > 0 { Verdict::Broken } else { Verdict::Held })
}
