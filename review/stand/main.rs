//! Stand-ins and scripts of the review: `stand CASE RECORD` plays one case against the project's own programs.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the case couldn't run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod cases;
mod http;
mod json;
mod rules;
mod system;
mod world;

use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, process, thread};
use system::System;

/// Time after which a case counts as unable to run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand CASE RECORD");
        process::exit(2);
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        // The processes of the system end with this one.
        process::exit(2);
    });
    let program = PathBuf::from("target/release/mangogw-platform");
    let code = System::start(&program).and_then(|mut system| match cases::play(case, &mut system) {
        Ok(()) => system.finish(Path::new(record)),
        Err(error) => {
            system.abandon();
            Err(error)
        }
    });
    system::flush();
    match code {
        Ok(code) => process::exit(code),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            process::exit(2);
        }
    }
}
