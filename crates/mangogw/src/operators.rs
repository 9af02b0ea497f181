//! Operators' commands for the catalogue, shifts, the audit trail and tokens.

use crate::client::{BadCall, Client, Response};
use crate::command::Command;
use bytes::Bytes;
use http::Method;
use http::header::{ACCEPT, AUTHORIZATION, CONTENT_TYPE, IF_MATCH};
use jiff::Timestamp;
use mangogw_catalogue::{AuditRecord, Catalogue, Faults, Role, parse_entry, verify_export};
use mangogw_model::Outcome;
use mangogw_wire::{Problem, header};
use mangogwd::disk::random_token;
use mangogwd::flags::{BadFlag, Flag, ParsedFlags, number_in_range};
use snafu::{ResultExt, Snafu};
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of attempts to send a change under one idempotency key while its outcome is unknown.
const MAX_TRIES: u32 = 5;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of audit records in one response of a host.
const PAGE_RECORDS: usize = 1_000;

/// Maximum validity of a token, in days.
const MAX_TOKEN_DAYS: u64 = 3_650;

/// Media type of TOML bodies.
const TOML_TYPE: &str = "application/toml";

/// Media type of JSON bodies.
const JSON_TYPE: &str = "application/json";

/// Commands for operators.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "catalogue",
        args: "get|check FILE|diff FILE|apply FILE|put ENTRY FILE|delete ENTRY|history|rollback VERSION",
        help: "read and change the catalogue",
        flags: FLAGS,
    },
    Command { name: "shift", args: "status|open|close", help: "close the catalogue during a shift", flags: FLAGS },
    Command {
        name: "audit",
        args: "[verify FILE]",
        help: "print the audit trail as JSON lines, or check an export",
        flags: FLAGS,
    },
    Command {
        name: "token",
        args: "list|issue|revoke ID",
        help: "list, issue and revoke operators' tokens",
        flags: FLAGS,
    },
];

const FLAGS: &[Flag] = &[
    Flag::new("Host", "host", "IP:PORT", "127.0.0.1:7070", "entry host"),
    Flag::new("Host", "token-file", "FILE", "", "file with the operator's token"),
    Flag::new("Host", "token", "TOKEN", "", "the token itself; better by MANGOGW_TOKEN or a file"),
    Flag::new("Change", "key", "KEY", "", "idempotency key; a new one if missing"),
    Flag::new("Change", "base", "VERSION", "", "version the change is based on; from the file or the host if missing"),
    Flag::new("Read", "version", "VERSION", "", "an earlier version of the catalogue"),
    Flag::new("Audit", "who", "NAME", "", "only this principal"),
    Flag::new("Audit", "entry", "NAME", "", "only this entry"),
    Flag::new("Audit", "after", "N", "0", "only records behind this position"),
    Flag::new("Audit", "since-ms", "MS", "", "only from this time on, milliseconds since the Unix epoch"),
    Flag::new("Audit", "until-ms", "MS", "", "only up to this time"),
    Flag::new("Audit", "refused", "", "", "only refused tries"),
    Flag::new("Token", "name", "NAME", "", "the holder of the token"),
    Flag::new("Token", "role", "ROLE", "viewer", "administrator, viewer or team:OWNER"),
    Flag::new("Token", "days", "N", "90", "how long the token is valid"),
];

/// Error of an operators' command.
#[derive(Debug, Snafu)]
pub enum BadOperation {
    /// The words after the command are not valid.
    #[snafu(display("mangogw {command} {words}: give {args}"))]
    Usage {
        /// Name of the command.
        command: String,
        /// Words as given on the command line.
        words: String,
        /// Words that the command takes.
        args: &'static str,
    },
    /// The value of a flag is wrong.
    #[snafu(display("{source}"))]
    Value {
        /// Cause of the error.
        source: BadFlag,
    },
    /// No token is set.
    #[snafu(display("no token: give --token-file FILE, or set MANGOGW_TOKEN"))]
    NoToken,
    /// A file cannot be read, or the operating system provides no random numbers.
    #[snafu(display("{path}: {source}"))]
    File {
        /// Path or source that was read.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A catalogue or entry contains faults.
    #[snafu(display("{path} has faults:\n{source}"))]
    InvalidCatalogue {
        /// Path of the file.
        path: String,
        /// All faults that were found.
        source: Faults,
    },
    /// The chain of records in an export of the audit trail is broken.
    #[snafu(display("{path}: {source}"))]
    BrokenChain {
        /// Path of the file.
        path: String,
        /// Line and reason of the break.
        source: mangogw_catalogue::ChainError,
    },
    /// The host did not answer.
    #[snafu(display("{source}"))]
    Call {
        /// Cause of the error.
        source: BadCall,
    },
    /// The host's answer cannot be read.
    #[snafu(display("the host's answer can't be read: {reason}"))]
    UnreadableResponse {
        /// Cause of the error.
        reason: String,
    },
    /// The host refused the request.
    #[snafu(display("{} {} {}\n{}", problem.code, problem.title, problem.detail, problem.advice))]
    Refused {
        /// Reason that the host gave.
        problem: Box<Problem>,
    },
    /// It is unknown whether the change was made.
    #[snafu(display("it is not known whether the change was made; send it again with --key {key}"))]
    OutcomeUnknown {
        /// Idempotency key under which the change can be sent again.
        key: String,
    },
}

type Result<T, E = BadOperation> = std::result::Result<T, E>;

/// Runs the operators' command `command` with its parsed flags and words.
///
/// # Errors
/// [`BadOperation`] if the words or flags are not valid, a file is faulty, or the host refuses or does not answer.
pub async fn run(command: &str, parsed: &ParsedFlags) -> Result<ExitCode> {
    let words: Vec<&str> = parsed.positional.iter().map(String::as_str).collect();
    match (command, words.as_slice()) {
        ("catalogue", ["check", file]) => check(file),
        ("audit", ["verify", file]) => verify(file),
        ("catalogue", words) => catalogue(&OperatorClient::new(parsed)?, words).await,
        ("shift", words) => shift(&OperatorClient::new(parsed)?, words).await,
        ("audit", []) => audit(&OperatorClient::new(parsed)?).await,
        ("token", words) => token(&OperatorClient::new(parsed)?, words).await,
        (command, words) => Err(usage_error(command, words)),
    }
    .map(|()| ExitCode::SUCCESS)
}

fn usage_error(command: &str, words: &[&str]) -> BadOperation {
    let args = COMMANDS.iter().find(|known| known.name == command).map_or("", |known| known.args);
    BadOperation::Usage { command: command.to_owned(), words: words.join(" "), args }
}

fn check(file: &str) -> Result<()> {
    let catalogue = parse(file)?;
    println!("{file}: {} owners, {} entries, no faults", catalogue.owners().len(), catalogue.entries().len());
    Ok(())
}

fn verify(file: &str) -> Result<()> {
    let export = verify_export(&read(file)?).context(BrokenChainSnafu { path: file })?;
    println!("{file}: records {} to {} are whole; the last hash is {}", export.first_seq, export.last_seq, export.hash);
    Ok(())
}

async fn catalogue(client: &OperatorClient<'_>, words: &[&str]) -> Result<()> {
    match words {
        ["get"] => print!("{}", client.catalogue_text().await?),
        ["diff", file] => print!("{}", client.fetch_catalogue().await?.diff(&parse(file)?)),
        ["apply", file] => {
            let base = parse(file)?.version().to_string();
            client.change(Method::POST, "/v1/catalogue", Some(&base), TOML_TYPE, read(file)?).await?;
        }
        ["put", entry, file] => {
            let text = read(file)?;
            parse_entry(&text).context(InvalidCatalogueSnafu { path: *file })?;
            let base = client.fetch_catalogue().await?.version().to_string();
            client.change(Method::PUT, &format!("/v1/catalogue/{entry}"), Some(&base), TOML_TYPE, text).await?;
        }
        ["delete", entry] => {
            let base = client.fetch_catalogue().await?.version().to_string();
            client
                .change(Method::DELETE, &format!("/v1/catalogue/{entry}"), Some(&base), JSON_TYPE, String::new())
                .await?;
        }
        ["rollback", version] => {
            let base = client.fetch_catalogue().await?.version().to_string();
            client
                .change(Method::POST, &format!("/v1/rollback/{version}"), Some(&base), JSON_TYPE, String::new())
                .await?;
        }
        ["history"] => history(&client.get("/v1/history", JSON_TYPE).await?)?,
        words => return Err(usage_error("catalogue", words)),
    }
    Ok(())
}

fn history(body: &str) -> Result<()> {
    let records: Vec<AuditRecord> = serde_json::from_str(body).map_err(|error| unreadable(&error))?;
    for record in records {
        let AuditRecord { version, who, verb, target, changes, .. } = &record;
        println!("{version:>6} {} {who} {verb} {target}, {} changes", format_time(record.at_ms), changes.len());
        for change in changes {
            println!("       {change}");
        }
    }
    Ok(())
}

/// Formats milliseconds since the Unix epoch as a timestamp, or as the number itself if it is out of range.
fn format_time(millis: u64) -> String {
    Timestamp::from_millisecond(millis as i64).map_or_else(|_range| millis.to_string(), |time| time.to_string())
}

async fn shift(client: &OperatorClient<'_>, words: &[&str]) -> Result<()> {
    match words {
        ["status"] => println!("{}", client.get("/v1/shift", JSON_TYPE).await?),
        [action @ ("open" | "close")] => {
            client.change(Method::POST, &format!("/v1/shift/{action}"), None, JSON_TYPE, String::new()).await?;
        }
        words => return Err(usage_error("shift", words)),
    }
    Ok(())
}

/// Prints the requested records of the audit trail, fetched page by page.
async fn audit(client: &OperatorClient<'_>) -> Result<()> {
    let parsed = client.parsed;
    let mut after = parsed.parse("after", number_in_range(0, u64::MAX)).context(ValueSnafu)?;
    let filters = [("who", "who"), ("entry", "entry"), ("since-ms", "since_ms"), ("until-ms", "until_ms")];
    let filters =
        filters.map(|(flag, name)| (name, parsed.text(flag))).into_iter().filter(|(_, text)| !text.is_empty());
    let refused = parsed.text("refused") == "true";
    let filters: Vec<String> = filters.map(|(name, text)| format!("&{name}={text}")).collect();
    let filters = filters.concat();
    loop {
        let path = format!("/v1/audit?after={after}&limit={PAGE_RECORDS}&refused={refused}{filters}");
        let body = client.get(&path, JSON_TYPE).await?;
        let Some(last) = body.lines().last() else { return Ok(()) };
        println!("{body}");
        let line: AuditLine = serde_json::from_str(last).map_err(|error| unreadable(&error))?;
        after = line.record.seq;
    }
}

/// Part of an audit line that paging needs.
#[derive(Debug, serde::Deserialize)]
struct AuditLine {
    record: Position,
}

#[derive(Debug, serde::Deserialize)]
struct Position {
    seq: u64,
}

async fn token(client: &OperatorClient<'_>, words: &[&str]) -> Result<()> {
    match words {
        ["list"] => println!("{}", client.get("/v1/tokens", JSON_TYPE).await?),
        ["issue"] => issue(client).await?,
        ["revoke", id] => {
            client.change(Method::DELETE, &format!("/v1/tokens/{id}"), None, JSON_TYPE, String::new()).await?;
        }
        words => return Err(usage_error("token", words)),
    }
    Ok(())
}

/// Generates a token locally and registers it with the host; the text is printed once and stored nowhere.
async fn issue(client: &OperatorClient<'_>) -> Result<()> {
    let parsed = client.parsed;
    let role = parsed.parse("role", parse_role).context(ValueSnafu)?;
    let days = parsed.parse("days", number_in_range(1, MAX_TOKEN_DAYS)).context(ValueSnafu)?;
    let token = random_token().context(FileSnafu { path: "the system's random numbers" })?;
    let body = serde_json::json!({
        "token": token.to_text(),
        "name": parsed.text("name"),
        "role": role,
        "expires_ms": mangogwd::clock::unix_millis() + days * 24 * 3_600_000,
    });
    client.change(Method::POST, "/v1/tokens", None, JSON_TYPE, body.to_string()).await?;
    println!("{}", token.to_text());
    Ok(())
}

fn parse_role(text: &str) -> Result<Role, String> {
    match text.split_once(':') {
        None if text == "administrator" => Ok(Role::Administrator),
        None if text == "viewer" => Ok(Role::Viewer),
        Some(("team", owner)) => Ok(Role::Team(owner.into())),
        _ => Err("give administrator, viewer or team:OWNER".to_owned()),
    }
}

/// Client of one host, with an operator's credentials.
#[derive(Debug)]
struct OperatorClient<'a> {
    http: Client,
    host: SocketAddr,
    bearer: String,
    parsed: &'a ParsedFlags,
}

impl<'a> OperatorClient<'a> {
    fn new(parsed: &'a ParsedFlags) -> Result<Self> {
        let text = match (parsed.text("token-file"), parsed.text("token")) {
            ("", "") => return Err(BadOperation::NoToken),
            ("", token) => token.to_owned(),
            (file, _) => read(file)?,
        };
        let host = parsed.parse("host", parse_host).context(ValueSnafu)?;
        Ok(Self { http: Client::default(), host, bearer: format!("Bearer {}", text.trim()), parsed })
    }

    async fn get(&self, path: &str, accept: &str) -> Result<String> {
        let headers = [(AUTHORIZATION.as_str(), self.bearer.as_str()), (ACCEPT.as_str(), accept)];
        let call = self.http.call(self.host, Method::GET, path, &headers, Bytes::new());
        let response = check_response(call.await.context(CallSnafu)?)?;
        String::from_utf8(response.body.to_vec()).map_err(|error| unreadable(&error))
    }

    /// Returns the catalogue of the requested version, or the current one, as TOML.
    async fn catalogue_text(&self) -> Result<String> {
        match self.parsed.text("version") {
            "" => self.get("/v1/catalogue", TOML_TYPE).await,
            version => self.get(&format!("/v1/catalogue?version={version}"), TOML_TYPE).await,
        }
    }

    async fn fetch_catalogue(&self) -> Result<Catalogue> {
        let text = self.get("/v1/catalogue", TOML_TYPE).await?;
        Catalogue::parse(&text).context(InvalidCatalogueSnafu { path: "the host's catalogue" })
    }

    /// Sends a change under one key until its outcome is known, up to [`MAX_TRIES`] times, and prints the answer.
    async fn change(&self, method: Method, path: &str, base: Option<&str>, kind: &str, body: String) -> Result<()> {
        let key = match self.parsed.text("key") {
            "" => random_token().context(FileSnafu { path: "the system's random numbers" })?.id().to_string(),
            key => key.to_owned(),
        };
        let base = match self.parsed.text("base") {
            "" => base,
            base => Some(base),
        };
        let mut headers = vec![
            (AUTHORIZATION.as_str(), self.bearer.as_str()),
            (CONTENT_TYPE.as_str(), kind),
            (header::KEY, key.as_str()),
        ];
        headers.extend(base.map(|base| (IF_MATCH.as_str(), base)));
        let body = Bytes::from(body);
        for _ in 0..MAX_TRIES {
            let call = self.http.call(self.host, method.clone(), path, &headers, body.clone());
            match call.await.context(CallSnafu).and_then(check_response) {
                Ok(response) => {
                    println!("{}", String::from_utf8_lossy(&response.body));
                    return Ok(());
                }
                Err(BadOperation::Refused { problem }) if problem.outcome != Outcome::Unknown => {
                    return Err(BadOperation::Refused { problem });
                }
                Err(error) => log::warn!(error:%; "operators: the outcome is not known, trying again"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(BadOperation::OutcomeUnknown { key })
    }
}

/// Returns the response, or an error if the host refused the request.
fn check_response(response: Response) -> Result<Response> {
    match response.status {
        200..=299 => Ok(response),
        status => {
            let bad = |_shape| BadOperation::UnreadableResponse { reason: format!("status {status} without a reason") };
            let problem = serde_json::from_slice(&response.body).map_err(bad)?;
            Err(BadOperation::Refused { problem: Box::new(problem) })
        }
    }
}

fn unreadable(error: &dyn std::fmt::Display) -> BadOperation {
    BadOperation::UnreadableResponse { reason: error.to_string() }
}

fn parse_host(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_bad| "give an IP number and a port, such as 127.0.0.1:7070".to_owned())
}

fn parse(file: &str) -> Result<Catalogue> {
    Catalogue::parse(&read(file)?).context(InvalidCatalogueSnafu { path: file })
}

fn read(path: &str) -> Result<String> {
    let mut text = String::new();
    let result = match path {
        "-" => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        path => std::fs::read_to_string(path).map(|read| text = read),
    };
    result.context(FileSnafu { path })?;
    Ok(text)
}
