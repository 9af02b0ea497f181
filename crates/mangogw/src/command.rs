//! The commands of the tool, as a table.

use crate::client::{BadCall, Client, Response};
use crate::operators;
use crate::target::{Fault, Settings as TargetSettings, Target};
use bytes::Bytes;
use http::Method;
use mangogw_model::{Capacity, EntryName, Kind};
use mangogw_wire::header;
use mangogwd::flags::{self, BadFlag, Flag, Given, between};
use snafu::{ResultExt, Snafu};
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;

/// One command.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// The word on the command line.
    pub name: &'static str,
    /// What it takes besides flags.
    pub args: &'static str,
    /// One line for people.
    pub help: &'static str,
    /// Its flags.
    pub flags: &'static [Flag],
}

/// Every command.
pub const COMMANDS: &[Command] = &[
    Command { name: "run", args: "ENTRY", help: "run one request; the payload comes from standard input", flags: CALL },
    Command { name: "submit", args: "FILE", help: "submit a job from a JSON file; - is standard input", flags: CALL },
    Command { name: "job", args: "KEY", help: "read a job", flags: CALL },
    Command { name: "cancel", args: "KEY", help: "cancel a job", flags: CALL },
    Command { name: "target", args: "", help: "run a stand-in target", flags: TARGET },
];

const HOST: Flag =
    Flag { group: "Host", name: "host", value: "IP:PORT", default: "127.0.0.1:7070", help: "entry host" };

const CALL: &[Flag] = &[
    HOST,
    Flag { group: "Request", name: "key", value: "KEY", default: "", help: "idempotency key" },
    Flag {
        group: "Request",
        name: "deadline-ms",
        value: "MS",
        default: "",
        help: "deadline; the entry's own if missing",
    },
    Flag {
        group: "Request",
        name: "wait-ms",
        value: "MS",
        default: "0",
        help: "how long to wait for the end of a job",
    },
];

const TARGET: &[Flag] = &[
    HOST,
    Flag { group: "Target", name: "name", value: "NAME", default: "target-1", help: "name to announce" },
    Flag { group: "Target", name: "zone", value: "ZONE", default: "zone-1", help: "zone to announce" },
    Flag { group: "Target", name: "listen", value: "IP:PORT", default: "127.0.0.1:0", help: "where tasks are taken" },
    Flag { group: "Target", name: "entries", value: "LIST", default: "", help: "entries to serve, joined by commas" },
    Flag { group: "Target", name: "slots", value: "N", default: "8", help: "tasks at once" },
    Flag { group: "Target", name: "speed", value: "FACTOR", default: "1", help: "how many times faster than speed 1" },
    Flag {
        group: "Target",
        name: "fault",
        value: "FAULT",
        default: "none",
        help: "none, stall, fail, cut, late, cross, silent or refuse",
    },
];

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum BadCommand {
    /// There is no such command.
    #[snafu(display("there is no command {name:?}; see mangogw help"))]
    Unknown {
        /// The word that was given.
        name: String,
    },
    /// A wrong flag or value.
    #[snafu(display("{source}"))]
    Flags {
        /// What is wrong.
        source: BadFlag,
    },
    /// An argument is missing.
    #[snafu(display("mangogw {command} needs {args}"))]
    Missing {
        /// The command.
        command: &'static str,
        /// What it takes.
        args: &'static str,
    },
    /// A file or standard input can't be read, or a socket can't be bound.
    #[snafu(display("{path}: {source}"))]
    File {
        /// What was read or bound.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// An operators' command failed.
    #[snafu(display("{source}"))]
    Operate {
        /// What is wrong.
        source: operators::BadOperation,
    },
    /// The host gave no answer.
    #[snafu(display("{source}"))]
    Call {
        /// What is wrong.
        source: BadCall,
    },
}

/// Runs the command that `args` name.
///
/// # Errors
/// [`BadCommand`], which says what is wrong and what to do.
pub async fn run(args: &[String], env: &dyn Fn(&str) -> Option<String>) -> Result<ExitCode, BadCommand> {
    let Some((name, rest)) = args.split_first() else { return Ok(print_help()) };
    if matches!(name.as_str(), "help" | "--help") {
        return Ok(print_help());
    }
    let command = COMMANDS.iter().chain(operators::COMMANDS).find(|command| command.name == name);
    let command = command.ok_or_else(|| BadCommand::Unknown { name: name.clone() })?;
    let given = flags::parse(command.flags, rest, env).context(FlagsSnafu)?;
    match command.name {
        name if operators::COMMANDS.iter().any(|command| command.name == name) => {
            operators::run(name, &given).await.context(OperateSnafu)
        }
        "target" => target(&given).await,
        _ => call(command, &given).await,
    }
}

fn print_help() -> ExitCode {
    println!("Usage: mangogw COMMAND [flags]\n");
    for command in COMMANDS.iter().chain(operators::COMMANDS) {
        println!("  {:<9} {:<6} {}", command.name, command.args, command.help);
    }
    ExitCode::SUCCESS
}

async fn call(command: &Command, given: &Given) -> Result<ExitCode, BadCommand> {
    let host = given.read("host", host).context(FlagsSnafu)?;
    let arg = given.free.first().ok_or(BadCommand::Missing { command: command.name, args: command.args })?;
    let wait = given.read("wait-ms", between(0, 60_000)).context(FlagsSnafu)?;
    let (method, path, body) = match command.name {
        "run" => (Method::POST, format!("/v1/run/{arg}"), read("-")?),
        "submit" => (Method::POST, "/v1/jobs".to_owned(), read(arg)?),
        "cancel" => (Method::DELETE, format!("/v1/jobs/{arg}"), Bytes::new()),
        _ => (Method::GET, format!("/v1/jobs/{arg}?wait_ms={wait}"), Bytes::new()),
    };
    let headers = [(header::KEY, given.text("key")), (header::DEADLINE, given.text("deadline-ms"))];
    let headers: Vec<_> = headers.into_iter().filter(|(_, value)| !value.is_empty()).collect();
    let response = Client::default().call(host, method, &path, &headers, body).await.context(CallSnafu)?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(exit(&response))
}

/// The exit code of an outcome: 0 answered, 3 failed, 4 not run, 5 unknown.
fn exit(response: &Response) -> ExitCode {
    let code = match response.outcome() {
        "answered" => 0,
        "failed" => 3,
        "not-run" => 4,
        _ => 5,
    };
    eprintln!("{} {} {}", response.outcome(), response.code(), response.submission());
    ExitCode::from(code)
}

fn read(path: &str) -> Result<Bytes, BadCommand> {
    let mut bytes = Vec::new();
    let done = match path {
        "-" => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        path => std::fs::read(path).map(|read| bytes = read),
    };
    done.context(FileSnafu { path })?;
    Ok(bytes.into())
}

fn host(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_bad| "give an IP number and a port, such as 127.0.0.1:7070".to_owned())
}

async fn target(given: &Given) -> Result<ExitCode, BadCommand> {
    let settings = target_settings(given).context(FlagsSnafu)?;
    let listen = given.read("listen", host).context(FlagsSnafu)?;
    let target = Target::bind(listen, settings).await;
    let target = target.context(FileSnafu { path: given.text("listen") })?;
    println!("listening on {}", target.address());
    // The interrupt ends the stand-in; a failed handler ends it at once.
    drop(tokio::signal::ctrl_c().await);
    target.kill();
    Ok(ExitCode::SUCCESS)
}

fn target_settings(given: &Given) -> Result<TargetSettings, BadFlag> {
    let entries = given.text("entries").split(',').filter(|name| !name.is_empty()).map(EntryName::from).collect();
    let slots = given.read("slots", between(1, 10_000))? as u32;
    Ok(TargetSettings {
        name: given.text("name").into(),
        zone: given.text("zone").into(),
        rack: "".into(),
        kind: Kind::Executor,
        entries,
        capacity: Capacity { slots, ..Capacity::default() },
        speed: given.read("speed", speed)?,
        fault: given.read("fault", fault)?,
        hosts: vec![given.read("host", host)?],
    })
}

fn speed(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(speed) if (0.01..=100.0).contains(&speed) => Ok(speed),
        _ => Err("give a factor from 0.01 to 100".to_owned()),
    }
}

fn fault(text: &str) -> Result<Fault, String> {
    serde_json::from_value(text.into())
        .map_err(|_bad| "give none, stall, fail, cut, late, cross, silent or refuse".to_owned())
}
