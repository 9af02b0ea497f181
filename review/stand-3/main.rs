//! Stand-ins for clients, executors and the platform, and the scripts of the cases 11 to 15.
//!
//! `stand CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
//! the disruption is left out.

mod cases;
mod check;
mod executor;
mod hosts;
mod http;
mod json;
mod proxy;
mod record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let (Some(case), Some(record)) = (words.get(1), words.get(2)) else { hosts::cannot_run("stand CASE RECORD") };
    // Ends a script that hangs.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(118));
        hosts::kill_all();
        hosts::cannot_run("118 s are over");
    });
    let Ok(broken) = std::panic::catch_unwind(|| cases::run(case, record, !trouble)) else {
        hosts::kill_all();
        hosts::cannot_run("a fault of the script");
    };
    std::process::exit(i32::from(broken));
}
