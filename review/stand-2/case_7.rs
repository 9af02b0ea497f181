//! Hopeless jobs fill the part of the queue that a pass looks at, and accepted jobs behind them never run.

use crate::Verdict;
use crate::platform::{Platform, read_state, submit};
use crate::world::World;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const EXECUTORS: usize = 8;
/// Jobs a second: those of the kind `wick-tally` at the site lantern-walk.
const RATE: u64 = 100;
/// Waves of hopeless jobs. In each, one job in twenty is hopeless for 3 s, as the pages let it be.
const WAVES: u64 = 9;
const WAVE_SECONDS: u64 = 3;
const HOPELESS_IN: u64 = 20;
/// Time after the end of the traffic at which jobs have to be done: `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

const SMALL: &str = r#"{"spec":"work 40","phases":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":40}]}"#;
/// More processor than any executor has.
const HOPELESS: &str = r#"{"spec":"work 40","phases":[{"count":1,"cpu":40000,"memMb":64,"estimateMs":40}]}"#;
/// Two steps of which the first takes longer than declared.
const TWO_STEPS: &str = r#"{"spec":"work 3000,200","phases":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":200},{"count":1,"cpu":1000,"memMb":64,"estimateMs":200,"dependsOn":[0]}]}"#;

pub fn play(world: &Arc<World>, trouble: bool) -> Result<Verdict, String> {
    let mut platform = Platform::start(world, false)?;
    platform.add_executors(EXECUTORS, 0, 16_000);
    platform.wait_until_ready(2)?;
    thread::sleep(Duration::from_secs(3));
    let fronts = platform.fronts();

    let begin = Instant::now();
    let total = RATE * WAVES * (WAVE_SECONDS + 1);
    let mut clients = Vec::new();
    for client in 0..20_u64 {
        let (world, fronts) = (Arc::clone(world), fronts.clone());
        clients.push(thread::spawn(move || {
            let mut hopeless = 0;
            for number in (client..total).step_by(20) {
                let at = Duration::from_millis(number * 1000 / RATE);
                thread::sleep(at.saturating_sub(begin.elapsed()));
                let in_wave = number / RATE % (WAVE_SECONDS + 1) < WAVE_SECONDS;
                // Client 0 hands in one job of twenty.
                let is_hopeless = trouble && in_wave && number % HOPELESS_IN == 0;
                let id = format!("{:016x}", 0x1000_0000_0000_0000 + number);
                let job = if is_hopeless { HOPELESS } else { SMALL };
                let answer = submit(&world, fronts[number as usize % fronts.len()], &id, job, 1500);
                hopeless += u64::from(is_hopeless && answer.status() == 200);
            }
            hopeless
        }));
    }
    let mut hopeless = 0;
    for client in clients {
        hopeless += client.join().map_err(|_| "a client failed")?;
    }
    world.log(&format!("{hopeless} hopeless jobs are accepted among {total}"));

    let due = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?.as_millis() + 3000;
    let scheduled = format!(
        r#"{{"spec":"work 200","phases":[{{"count":1,"cpu":1000,"memMb":64,"estimateMs":200}}],"times":1,"initialDelayMs":{due},"intervalMs":1000}}"#
    );
    let jobs = [("2000000000000001", scheduled.as_str()), ("2000000000000002", TWO_STEPS)];
    for (id, job) in jobs {
        if submit(world, fronts[0], id, job, 1500).status() != 200 {
            return Err(format!("job {id} is not accepted"));
        }
    }
    // Both need little over 3 s.
    thread::sleep(Duration::from_secs(4) + FINISH);
    let mut lost = false;
    for (id, _) in jobs {
        let answer = read_state(world, fronts[1], id);
        let running = platform.executors.iter().map(|executor| executor.running()).sum::<usize>();
        let last = world.runs_of(id).iter().filter_map(|run| run.ended).fold(0.0, f64::max);
        let completed = matches!(&answer, crate::http::Answer::Status(200, body) if body.contains("completed"));
        if !completed && running == 0 {
            lost = true;
            world.log(&format!(
                "LOST {id}: accepted, not done 18 s later ({answer:?}); its last run ended at {last:.3}; \
                 nothing runs on any executor"
            ));
        }
    }
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}
