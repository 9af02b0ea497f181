//! Guards against flags that the documentation does not list, error texts without a remedy, and a wrong order of flags
//! and environment variables.

use mangogwd::flags::Flag;
use mangogwd::settings::{FLAGS, Settings};
use std::fmt::Write;
use std::path::Path;

fn row(flag: &Flag) -> String {
    let value = if flag.value.is_empty() { "switch" } else { flag.value };
    format!("| `--{}` | `{}` | {value} | {} | {} |", flag.name, flag.variable(), flag.default, flag.help)
}

#[test]
fn every_flag_is_documented() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CONFIGURATION.md");
    let page = std::fs::read_to_string(path).unwrap();
    let mut missing = String::new();
    for flag in FLAGS.iter().filter(|flag| !page.contains(&row(flag))) {
        writeln!(missing, "{}", row(flag)).unwrap();
    }
    assert!(missing.is_empty(), "missing in docs/CONFIGURATION.md:\n{missing}");
}

#[test]
fn an_invalid_value_is_reported_with_its_flag_or_variable_and_a_remedy() {
    let cases = [
        ("--zone", "Regina A", "lower-case letters"),
        ("--host-id", "0", "a whole number from 1"),
        ("--listen", "localhost", "an IP number and a port"),
        ("--target-networks", "10.0.0.0/40", "IP/BITS"),
        ("--log-format", "xml", "text or json"),
        ("--notice-ms", "-1", "a whole number from 0"),
    ];
    for (flag, value, advice) in cases {
        let error = Settings::parse([flag, value], &|_| None).unwrap_err().to_string();
        assert!(error.contains(flag) && error.contains(value) && error.contains(advice), "{error}");
    }
    let error = Settings::parse::<[&str; 0]>([], &|name| (name == "MANGOGW_HOST_ID").then(|| "x".to_owned()));
    assert!(error.unwrap_err().to_string().starts_with("MANGOGW_HOST_ID is \"x\""));
}

#[test]
fn a_flag_overrides_its_environment_variable() {
    let env = |name: &str| (name == "MANGOGW_ZONE").then(|| "moose-jaw".to_owned());
    assert_eq!(Settings::parse::<[&str; 0]>([], &env).unwrap().zone.as_str(), "moose-jaw");
    assert_eq!(Settings::parse(["--zone", "regina-a"], &env).unwrap().zone.as_str(), "regina-a");
}
