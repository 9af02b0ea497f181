//! Table of the tool's commands, their flags, and the code that runs them.

use crate::client::{BadCall, Client, Response};
use crate::demo;
use crate::load;
use crate::operators;
use crate::target::{Fault, Target, TargetSettings};
use crate::views::{self, VIEWS};
use bytes::Bytes;
use http::Method;
use mangogw_model::{Capacity, EntryName, Kind};
use mangogw_wire::header;
use mangogwd::flags::{self, BadFlag, Flag, ParsedFlags, number_in_range};
use snafu::{ResultExt, Snafu};
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Command of the tool.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// Positional arguments, as shown in the help.
    pub args: &'static str,
    /// One-line description for the help.
    pub help: &'static str,
    /// Flags that the command accepts.
    pub flags: &'static [Flag],
}

/// Commands for callers, views, load, demo and simulated targets.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "run",
        args: "ENTRY",
        help: "run one request; the payload comes from standard input",
        flags: CALL_FLAGS,
    },
    Command {
        name: "submit",
        args: "FILE",
        help: "submit a job from a JSON file; - is standard input",
        flags: CALL_FLAGS,
    },
    Command { name: "job", args: "KEY", help: "read a job", flags: CALL_FLAGS },
    Command { name: "cancel", args: "KEY", help: "cancel a job", flags: CALL_FLAGS },
    Command {
        name: "evacuate",
        args: "start ZONE|finish ZONE|list",
        help: "send no new work to the targets of a zone, or take that back; by the control address of a platform host",
        flags: EVACUATE_FLAGS,
    },
    Command { name: "hosts", args: "", help: "the hosts that a host knows", flags: VIEW_FLAGS },
    Command { name: "targets", args: "", help: "the targets that a host owns", flags: VIEW_FLAGS },
    Command { name: "leases", args: "", help: "its leases on them", flags: VIEW_FLAGS },
    Command { name: "status", args: "", help: "a host in figures", flags: VIEW_FLAGS },
    Command { name: "load", args: "", help: "send load to a cluster and report what came of it", flags: LOAD_FLAGS },
    Command {
        name: "demo",
        args: "",
        help: "run three zones, their targets and traffic in one process",
        flags: DEMO_FLAGS,
    },
    Command { name: "target", args: "", help: "run a stand-in target", flags: TARGET_FLAGS },
];

const HOST_FLAG: Flag = Flag::new("Host", "host", "IP:PORT", "127.0.0.1:7070", "entry host");

const EVACUATE_FLAGS: &[Flag] = &[HOST_FLAG];

const VIEW_FLAGS: &[Flag] = &[HOST_FLAG, Flag::new("Output", "json", "", "", "print JSON")];

const LOAD_FLAGS: &[Flag] = &[
    Flag::new("Host", "hosts", "LIST", "127.0.0.1:7070", "entry hosts, joined by commas, asked in turn"),
    Flag::new("Load", "rate", "N", "100", "calls a second"),
    Flag::new("Load", "seconds", "S", "10", "how long calls are sent"),
    Flag::new("Load", "shape", "SHAPE", "poisson", "poisson, or burst: ten times the rate for 0.1 s every 2 s"),
    Flag::new("Load", "entries", "LIST", "", "entries of single requests, joined by commas"),
    Flag::new("Load", "jobs", "ENTRY", "", "entry of jobs"),
    Flag::new("Load", "job-percent", "N", "0", "how many of a hundred calls are jobs"),
    Flag::new("Load", "tasks", "N", "20", "tasks of a job"),
    Flag::new("Load", "resubmit-percent", "N", "50", "how many of a hundred jobs are sent again to another host"),
    Flag::new("Load", "cancel-percent", "N", "0", "how many of a hundred jobs are cancelled"),
    Flag::new("Load", "run-ms", "MS", "60", "mean run time at speed 1"),
    Flag::new("Load", "deadline-ms", "MS", "20000", "deadline of jobs"),
    Flag::new("Load", "seed", "N", "1", "seed of the plan"),
    Flag::new("Output", "json", "", "", "print the report as JSON"),
];

const DEMO_FLAGS: &[Flag] = &[
    Flag::new("Demo", "deployment", "NAME", "candle-desk", "candle-desk or foldplan"),
    Flag::new("Demo", "hosts", "N", "6", "entry hosts"),
    Flag::new("Demo", "executors", "N", "50", "executors"),
    Flag::new("Demo", "rate", "N", "600", "calls a second"),
    Flag::new("Demo", "seconds", "S", "10", "how long calls are sent"),
    Flag::new("Demo", "calm", "", "", "no failures"),
    Flag::new("Demo", "seed", "N", "1", "seed of speeds and calls"),
    Flag::new("Output", "json", "", "", "print the report as JSON"),
];

const CALL_FLAGS: &[Flag] = &[
    HOST_FLAG,
    Flag::new("Request", "key", "KEY", "", "idempotency key"),
    Flag::new("Request", "deadline-ms", "MS", "", "deadline; the entry's own if missing"),
    Flag::new("Request", "wait-ms", "MS", "0", "how long to wait for the end of a job"),
];

const TARGET_FLAGS: &[Flag] = &[
    HOST_FLAG,
    Flag::new("Target", "name", "NAME", "target-1", "name to announce"),
    Flag::new("Target", "zone", "ZONE", "zone-1", "zone to announce"),
    Flag::new("Target", "listen", "IP:PORT", "127.0.0.1:0", "where tasks are taken"),
    Flag::new("Target", "entries", "LIST", "", "entries to serve, joined by commas"),
    Flag::new("Target", "slots", "N", "8", "tasks at once"),
    Flag::new("Target", "speed", "FACTOR", "1", "how many times faster than speed 1"),
    Flag::new("Target", "fault", "FAULT", "none", "none, stall, fail, cut, late, cross, silent or refuse"),
];

/// Error of a command.
#[derive(Debug, Snafu)]
pub enum BadCommand {
    /// The command does not exist.
    #[snafu(display("there is no command {name:?}; see mangogw help"))]
    Unknown {
        /// Name as given on the command line.
        name: String,
    },
    /// A flag or its value is wrong.
    #[snafu(display("{source}"))]
    Flags {
        /// Cause of the error.
        source: BadFlag,
    },
    /// A positional argument is missing.
    #[snafu(display("mangogw {command} needs {args}"))]
    Missing {
        /// Name of the command.
        command: &'static str,
        /// Positional arguments that the command takes.
        args: &'static str,
    },
    /// A file or standard input cannot be read, or a socket cannot be bound.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path or address that was read or bound.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An operators' command failed.
    #[snafu(display("{source}"))]
    Operation {
        /// Cause of the error.
        source: operators::BadOperation,
    },
    /// The demo cannot run.
    #[snafu(display("{source}"))]
    Demo {
        /// Cause of the error.
        source: demo::BadDemo,
    },
    /// The host did not answer.
    #[snafu(display("{source}"))]
    Call {
        /// Cause of the error.
        source: BadCall,
    },
}

/// Runs the command that `args` name; `env` looks up environment variables that stand in for flags.
///
/// # Errors
/// [`BadCommand`] if the command is unknown, a flag or argument is wrong, or the command fails.
pub async fn run(args: &[String], env: &dyn Fn(&str) -> Option<String>) -> Result<ExitCode, BadCommand> {
    let Some((name, rest)) = args.split_first() else { return Ok(print_help()) };
    if matches!(name.as_str(), "help" | "--help") {
        return Ok(print_help());
    }
    let command = COMMANDS.iter().chain(operators::COMMANDS).find(|command| command.name == name);
    let command = command.ok_or_else(|| BadCommand::Unknown { name: name.clone() })?;
    let parsed = flags::parse(command.flags, rest, env).context(FlagsSnafu)?;
    match command.name {
        name if operators::COMMANDS.iter().any(|command| command.name == name) => {
            operators::run(name, &parsed).await.context(OperationSnafu)
        }
        name if VIEWS.iter().any(|view| view.name == name) => view(name, &parsed).await,
        "evacuate" => evacuate(&parsed).await,
        "target" => target(&parsed).await,
        "load" => load(&parsed).await,
        "demo" => demo(&parsed).await,
        _ => call(command, &parsed).await,
    }
}

fn print_help() -> ExitCode {
    println!("Usage: mangogw COMMAND [flags]\n");
    for command in COMMANDS.iter().chain(operators::COMMANDS) {
        println!("  {:<9} {:<6} {}", command.name, command.args, command.help);
    }
    ExitCode::SUCCESS
}

async fn evacuate(parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let host = parsed.parse("host", parse_host).context(FlagsSnafu)?;
    let words: Vec<&str> = parsed.positional.iter().map(String::as_str).collect();
    let request = crate::evacuate::request_of(&words)
        .ok_or_else(|| BadCommand::Missing { command: "evacuate", args: "start ZONE, finish ZONE or list" })?;
    crate::evacuate::run(host, request).await.context(CallSnafu)
}

async fn view(name: &str, parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let host = parsed.parse("host", parse_host).context(FlagsSnafu)?;
    let view = VIEWS.iter().find(|view| view.name == name).unwrap_or(&VIEWS[0]);
    let response = Client::default().call(host, Method::GET, view.path, &[], Bytes::new()).await.context(CallSnafu)?;
    views::print(view, &response, parsed.is_set("json"));
    Ok(ExitCode::SUCCESS)
}

async fn call(command: &Command, parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let host = parsed.parse("host", parse_host).context(FlagsSnafu)?;
    let arg = parsed.positional.first().ok_or(BadCommand::Missing { command: command.name, args: command.args })?;
    let wait = parsed.parse("wait-ms", number_in_range(0, 60_000)).context(FlagsSnafu)?;
    let (method, path, body) = match command.name {
        "run" => (Method::POST, format!("/v1/run/{arg}"), read("-")?),
        "submit" => (Method::POST, "/v1/jobs".to_owned(), read(arg)?),
        "cancel" => (Method::DELETE, format!("/v1/jobs/{arg}"), Bytes::new()),
        _ => (Method::GET, format!("/v1/jobs/{arg}?wait_ms={wait}"), Bytes::new()),
    };
    let headers = [(header::KEY, parsed.text("key")), (header::DEADLINE, parsed.text("deadline-ms"))];
    let headers: Vec<_> = headers.into_iter().filter(|(_, value)| !value.is_empty()).collect();
    let response = Client::default().call(host, method, &path, &headers, body).await.context(CallSnafu)?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(exit_code(&response))
}

/// Returns the exit code of an outcome, after printing it: 0 answered, 3 failed, 4 not run, 5 unknown.
fn exit_code(response: &Response) -> ExitCode {
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
    let result = match path {
        "-" => std::io::stdin().read_to_end(&mut bytes).map(|_| ()),
        path => std::fs::read(path).map(|read| bytes = read),
    };
    result.context(FileSnafu { path })?;
    Ok(bytes.into())
}

fn parse_host(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_bad| "give an IP number and a port, such as 127.0.0.1:7070".to_owned())
}

async fn load(parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let settings = load_settings(parsed).context(FlagsSnafu)?;
    let report = load::run(&settings).await;
    print_report(parsed, &report);
    Ok(ExitCode::SUCCESS)
}

fn load_settings(parsed: &ParsedFlags) -> Result<load::Settings, BadFlag> {
    let percent = |name| parsed.parse(name, number_in_range(0, 100)).map(|percent| percent as f64 / 100.0);
    let job_entry = Some(parsed.text("jobs")).filter(|name| !name.is_empty()).map(EntryName::from);
    let entries = parse_entries(parsed.text("entries"));
    if entries.is_empty() && job_entry.is_none() {
        return Err(parsed.value_error("entries", "give at least one entry, or --jobs"));
    }
    Ok(load::Settings {
        hosts: parsed.parse("hosts", |text| text.split(',').map(parse_host).collect::<Result<Vec<_>, _>>())?,
        rate: parsed.parse("rate", number_in_range(1, 1_000_000))? as f64,
        duration: Duration::from_secs(parsed.parse("seconds", number_in_range(1, 86_400))?),
        pattern: parsed.parse("shape", parse_pattern)?,
        job_share: if entries.is_empty() { 1.0 } else { percent("job-percent")? },
        entries,
        job_entry,
        tasks: parsed.parse("tasks", number_in_range(1, 10_000))? as u32,
        resubmit_share: percent("resubmit-percent")?,
        cancel_share: percent("cancel-percent")?,
        mean_runtime: Duration::from_millis(parsed.parse("run-ms", number_in_range(1, 60_000))?),
        deadline: Duration::from_millis(parsed.parse("deadline-ms", number_in_range(1, 3_600_000))?),
        seed: parsed.parse("seed", number_in_range(0, u64::MAX))?,
        show_progress: !parsed.is_set("json"),
    })
}

async fn demo(parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let settings = demo_settings(parsed).context(FlagsSnafu)?;
    let report = demo::run(&settings).await.context(DemoSnafu)?;
    print_report(parsed, &report);
    Ok(if report.wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn demo_settings(parsed: &ParsedFlags) -> Result<demo::Settings, BadFlag> {
    Ok(demo::Settings {
        deployment: parsed.parse("deployment", parse_deployment)?,
        hosts: parsed.parse("hosts", number_in_range(2, 60))? as usize,
        executors: parsed.parse("executors", number_in_range(3, 2_000))? as usize,
        rate: parsed.parse("rate", number_in_range(1, 1_000_000))? as f64,
        duration: Duration::from_secs(parsed.parse("seconds", number_in_range(1, 86_400))?),
        inject_faults: !parsed.is_set("calm"),
        seed: parsed.parse("seed", number_in_range(0, u64::MAX))?,
        show_progress: !parsed.is_set("json"),
    })
}

fn print_report(parsed: &ParsedFlags, report: &load::Report) {
    match serde_json::to_string(report) {
        Ok(json) if parsed.is_set("json") => println!("{json}"),
        _ => print!("{report}"),
    }
}

fn parse_deployment(text: &str) -> Result<demo::Deployment, String> {
    let found = demo::DEPLOYMENTS.iter().find(|deployment| deployment.name == text);
    found.copied().ok_or_else(|| "give candle-desk or foldplan".to_owned())
}

fn parse_pattern(text: &str) -> Result<load::ArrivalPattern, String> {
    match text {
        "poisson" => Ok(load::ArrivalPattern::Poisson),
        "burst" => Ok(load::ArrivalPattern::Burst),
        _ => Err("give poisson or burst".to_owned()),
    }
}

fn parse_entries(text: &str) -> Vec<EntryName> {
    text.split(',').filter(|name| !name.is_empty()).map(EntryName::from).collect()
}

async fn target(parsed: &ParsedFlags) -> Result<ExitCode, BadCommand> {
    let settings = target_settings(parsed).context(FlagsSnafu)?;
    let listen = parsed.parse("listen", parse_host).context(FlagsSnafu)?;
    let target = Target::bind(listen, settings).await;
    let target = target.context(FileSnafu { path: parsed.text("listen") })?;
    println!("listening on {}", target.address());
    // Runs until the interrupt signal; if the signal handler cannot be installed, the target ends at once.
    drop(tokio::signal::ctrl_c().await);
    target.kill();
    Ok(ExitCode::SUCCESS)
}

fn target_settings(parsed: &ParsedFlags) -> Result<TargetSettings, BadFlag> {
    let entries = parse_entries(parsed.text("entries"));
    let slots = parsed.parse("slots", number_in_range(1, 10_000))? as u32;
    Ok(TargetSettings {
        name: parsed.text("name").into(),
        zone: parsed.text("zone").into(),
        rack: "".into(),
        kind: Kind::Executor,
        entries,
        capacity: Capacity { slots, ..Capacity::default() },
        speed: parsed.parse("speed", parse_speed)?,
        fault: parsed.parse("fault", parse_fault)?,
        hosts: vec![parsed.parse("host", parse_host)?],
    })
}

fn parse_speed(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(speed) if (0.01..=100.0).contains(&speed) => Ok(speed),
        _ => Err("give a factor from 0.01 to 100".to_owned()),
    }
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    serde_json::from_value(text.into())
        .map_err(|_bad| "give none, stall, fail, cut, late, cross, silent or refuse".to_owned())
}
