//! Executors that fail what they start for some seconds get no start any more while a task that lasts runs there.

use crate::Verdict;
use crate::http::Answer;
use crate::platform::{Platform, read_state, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const EXECUTORS: usize = 24;
/// Executors of the kind `b`. They fail what they start: 8.3%, and the pages let it be 8.5%.
const SPECIAL: usize = 2;
/// Time for which they do; the pages let it be 6.5 s.
const GREY: Duration = Duration::from_millis(6000);
/// Time after the end of the traffic at which jobs have to be done: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

const LASTING: &str = r#"{"spec":"work 0","phases":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":1000,"requiredLabel":"b","antiAffinity":1}],"longRunning":true}"#;
const SHORT: &str =
    r#"{"spec":"work 200","phases":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":200,"requiredLabel":"b"}]}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, false)?;
    platform.add_executors(EXECUTORS, SPECIAL, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = platform.fronts();
    if submit(world, fronts[0], "3000000000000001", LASTING, 1500).status() != 200 {
        return Err("the job that lasts is not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let special: Vec<_> = platform.executors.iter().filter(|executor| executor.labels[0] == "b").collect();
    if special.iter().any(|executor| executor.running() != 1) {
        return Err("the tasks that last do not run on the executors of the kind b".to_owned());
    }
    let set_grey = |grey: bool| {
        for executor in &special {
            executor.conduct.lock().unwrap().fail_after = grey.then_some(Duration::from_millis(50));
            world.log(&format!("{} {}", executor.id, if grey { "fails what it starts" } else { "is sound" }));
        }
    };
    if trouble {
        set_grey(true);
    }
    let mut accepted = Vec::new();
    for number in 0..20_u64 {
        // Half of the jobs come while the executors fail, half when they are sound again.
        if number == 10 && trouble {
            set_grey(false);
        }
        let id = format!("{:016x}", 0x4000_0000_0000_0000 + number);
        let answer = submit(world, fronts[number as usize % fronts.len()], &id, SHORT, 1500);
        if number >= 10 && answer.status() == 200 {
            accepted.push(id);
        }
        thread::sleep(GREY / 10);
    }
    thread::sleep(FINISH);
    let mut lost = false;
    for id in &accepted {
        let answer = read_state(world, fronts[1], id);
        let begun = world.runs_of(id).len();
        if !matches!(&answer, Answer::Status(200, body) if body.contains("completed")) {
            lost = true;
            world.log(&format!("LOST {id}: accepted when its executors were sound again, {answer:?}, {begun} runs"));
        }
    }
    for executor in &special {
        world.log(&format!("{} runs {} tasks and has room for 15 more", executor.id, executor.running()));
    }
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}
