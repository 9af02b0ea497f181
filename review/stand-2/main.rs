//! Stand-ins for clients, executors and the platform, and the cases of the second review that need them.
//!
//! `cases N` plays case N, writes `review/N/record.txt` and exits with 1 if the rule was broken, with 0 if it held, and
//! with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod case_10;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod executor;
mod http;
mod platform;
mod proxy;
mod world;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use world::World;

/// What a case has seen.
pub enum Verdict {
    Broken,
    Held,
}

/// No case may run for longer.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let number = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = format!("review/{number}/record.txt");
    let world = match World::create(Path::new(&path)) {
        Ok(world) => Arc::new(world),
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    world.log(&format!("case {number}, disruption {}", if trouble { "on" } else { "off" }));
    let case = match number.as_str() {
        "6" => case_6::play,
        "7" => case_7::play,
        "8" => case_8::play,
        "9" => case_9::play,
        "10" => case_10::play,
        _ => {
            eprintln!("there is no case {number}");
            exit(2);
        }
    };
    let own = Arc::clone(&world);
    let played = thread::spawn(move || case(&own, trouble));
    let end = std::time::Instant::now() + TIME_LIMIT;
    while !played.is_finished() && std::time::Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    if !played.is_finished() {
        world.log("the case took too long");
        world.kill_children();
        exit(2);
    }
    let code = match played.join() {
        Ok(Ok(Verdict::Broken)) => 1,
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Err(why)) => {
            world.log(&format!("the case couldn't run: {why}"));
            2
        }
        Err(_) => {
            world.log("the case couldn't run: a stand-in failed");
            2
        }
    };
    world.kill_children();
    world.log(&format!("exit code {code}"));
    println!("case {number}: exit code {code}, see {path}");
    exit(code);
}
