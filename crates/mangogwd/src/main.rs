//! The binary `mangogwd`: parses the settings and runs the daemon until SIGTERM or SIGINT.

use mangogwd::flags;
use mangogwd::logs;
use mangogwd::server::Daemon;
use mangogwd::settings::{CliAction, FLAGS, Settings};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code after a wrong flag, value, address or file.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let settings = match Settings::parse(args, &|name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => return usage_error(&error),
    };
    match settings.action {
        Some(CliAction::Help) => print!("{}", help()),
        Some(CliAction::Version) => println!("mangogwd {}", env!("CARGO_PKG_VERSION")),
        Some(CliAction::Check) => println!("the settings are valid"),
        None => return run(&settings),
    }
    ExitCode::SUCCESS
}

fn help() -> String {
    format!(
        "Usage: mangogwd [flags]\n\nOne entry host of mangogw. Every flag has an environment variable: --zone is MANGOGW_ZONE.\n{}\nExample\n  mangogwd --zone regina-a --listen 127.0.0.1:7070 --catalogue examples/candle-desk/catalogue.toml\n",
        flags::help(FLAGS)
    )
}

fn run(settings: &Settings) -> ExitCode {
    logs::open(&settings.log, settings.format);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return usage_error(&error),
    };
    runtime.block_on(async {
        match Daemon::bind(settings).await {
            Ok(daemon) => serve(daemon).await,
            Err(error) => usage_error(&error),
        }
    })
}

async fn serve(daemon: Daemon) -> ExitCode {
    let (mut term, mut int) = match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(term), Ok(int)) => (term, int),
        (Err(error), _) | (_, Err(error)) => return usage_error(&error),
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

fn usage_error(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("mangogwd: {error}");
    ExitCode::from(USAGE_ERROR)
}
