//! Command-line flags as a table: each has an environment variable, a default, a unit and a help line.

use getopts::Options;
use indexmap::IndexMap;
use snafu::Snafu;

/// Command-line flag: one row of a table.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// Heading of the flag's group in the help.
    pub group: &'static str,
    /// Long name without leading dashes. The name of the environment variable is derived from it.
    pub name: &'static str,
    /// Kind of the value, such as `ADDR` or `MS`; empty for a switch.
    pub value: &'static str,
    /// Default value; empty if there is none.
    pub default: &'static str,
    /// One line of help.
    pub help: &'static str,
}

/// Values of all flags of a table, from the command line, the environment and the defaults.
#[derive(Debug, Clone, Default)]
pub struct ParsedFlags {
    values: IndexMap<&'static str, (String, Source)>,
    /// Arguments that are not flags.
    pub positional: Vec<String>,
}

/// Source of a flag's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Command line.
    Flag,
    /// Environment variable.
    Environment,
    /// Default in the table.
    Default,
}

/// Fault of a flag or its value.
#[derive(Debug, Snafu)]
pub enum BadFlag {
    /// The command line does not match the table.
    #[snafu(display("{source}; see --help"))]
    Usage {
        /// Error of the parser.
        source: getopts::Fail,
    },
    /// A value is not valid for its flag.
    #[snafu(display("{origin} is {value:?}: {reason}"))]
    Value {
        /// Flag or environment variable that gave the value.
        origin: String,
        /// Value as given.
        value: String,
        /// What is wrong and how to correct it.
        reason: String,
    },
}

impl Flag {
    /// Returns a row of a table.
    pub const fn new(
        group: &'static str,
        name: &'static str,
        value: &'static str,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self { group, name, value, default, help }
    }

    /// Returns the name of the flag's environment variable.
    ///
    /// ```
    /// use mangogwd::flags::Flag;
    /// let flag = Flag { group: "", name: "log-format", value: "FORMAT", default: "text", help: "" };
    /// assert_eq!(flag.variable(), "MANGOGW_LOG_FORMAT");
    /// ```
    pub fn variable(&self) -> String {
        format!("MANGOGW_{}", self.name.to_uppercase().replace('-', "_"))
    }

    const fn is_switch(&self) -> bool {
        self.value.is_empty()
    }
}

/// Parses `args` by `table`; a flag that is not given takes its value from `env`, then from its default.
///
/// # Errors
/// [`BadFlag::Usage`] for a flag that is not in the table, or one without its value.
///
/// ```
/// use mangogwd::flags::{Flag, parse};
/// const TABLE: &[Flag] = &[Flag { group: "", name: "zone", value: "ZONE", default: "here", help: "" }];
/// let given = parse(TABLE, ["--zone", "there"], &|_| None).unwrap();
/// assert_eq!(given.text("zone"), "there");
/// ```
pub fn parse<I>(table: &'static [Flag], args: I, env: &dyn Fn(&str) -> Option<String>) -> Result<ParsedFlags, BadFlag>
where
    I: IntoIterator,
    I::Item: AsRef<std::ffi::OsStr>,
{
    let matches = options(table).parse(args).map_err(|source| BadFlag::Usage { source })?;
    let mut parsed = ParsedFlags { values: IndexMap::new(), positional: matches.free.clone() };
    for flag in table {
        let argument = if flag.is_switch() {
            matches.opt_present(flag.name).then(|| "true".to_owned())
        } else {
            matches.opt_str(flag.name)
        };
        let value = match (argument, env(&flag.variable())) {
            (Some(value), _) => (value, Source::Flag),
            (None, Some(value)) if !value.is_empty() => (value, Source::Environment),
            _ => (flag.default.to_owned(), Source::Default),
        };
        parsed.values.insert(flag.name, value);
    }
    Ok(parsed)
}

fn options(table: &[Flag]) -> Options {
    let mut options = Options::new();
    for flag in table {
        if flag.is_switch() {
            options.optflag("", flag.name, flag.help);
        } else {
            options.optopt("", flag.name, flag.help, flag.value);
        }
    }
    options
}

/// Returns the help text of a table, by groups.
///
/// ```
/// use mangogwd::flags::{Flag, help};
/// const TABLE: &[Flag] = &[Flag { group: "Place", name: "zone", value: "ZONE", default: "", help: "the zone" }];
/// assert!(help(TABLE).contains("--zone ZONE"));
/// ```
pub fn help(table: &[Flag]) -> String {
    let mut text = String::new();
    let mut group = "";
    for flag in table {
        if flag.group != group {
            group = flag.group;
            text.extend(["\n", group, "\n"]);
        }
        let head = format!("--{} {}", flag.name, flag.value);
        let default = if flag.default.is_empty() { String::new() } else { format!(" [default: {}]", flag.default) };
        let line = format!("  {head:<30} {}{default}\n", flag.help);
        text.push_str(&line);
    }
    text
}

impl ParsedFlags {
    /// Returns the value of a flag; empty if it has none or is not in the table.
    pub fn text(&self, name: &str) -> &str {
        self.values.get(name).map_or("", |(value, _)| value)
    }

    /// Returns true if the switch is set.
    pub fn is_set(&self, name: &str) -> bool {
        matches!(self.text(name), "true" | "1" | "yes")
    }

    /// Returns the value of a flag as parsed by `read`.
    ///
    /// # Errors
    /// [`BadFlag::Value`] with the flag or variable that gave the value and the error of `read`.
    pub fn parse<T, E: std::fmt::Display>(
        &self,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, BadFlag> {
        let value = self.text(name);
        read(value).map_err(|reason| self.value_error(name, reason))
    }

    /// Returns the fault of a flag's value, with the flag or variable that gave the value.
    pub fn value_error(&self, name: &str, reason: impl std::fmt::Display) -> BadFlag {
        let origin = match self.values.get(name) {
            Some((_, Source::Environment)) => format!("MANGOGW_{}", name.to_uppercase().replace('-', "_")),
            _ => format!("--{name}"),
        };
        BadFlag::Value { origin, value: self.text(name).to_owned(), reason: reason.to_string() }
    }
}

/// Returns a function that parses a whole number from `least` to `most`, both included.
///
/// # Errors
/// The returned function fails with a sentence that names the bounds.
///
/// ```
/// assert!(mangogwd::flags::number_in_range(1, 10)("11").is_err());
/// ```
pub fn number_in_range(least: u64, most: u64) -> impl Fn(&str) -> Result<u64, String> {
    move |text| match text.parse() {
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(format!("give a whole number from {least} to {most}")),
    }
}
