//! Program `mangogw`: parses the command line and runs one command.

use mangogw::command;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code when a command ends with an error, such as a wrong flag, value, address or file.
const USAGE_EXIT_CODE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    mangogwd::logs::open("warn", mangogwd::logs::Format::Text);
    let args: Vec<String> = std::env::args().skip(1).collect();
    match command::run(&args, &|name| std::env::var(name).ok()).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mangogw: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
    }
}
