//! Tables of what a host reports: hosts, targets, leases and status.

use crate::client::Response;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde_json::{Map, Value};

/// Command that shows one view of a host.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// Name of the command.
    pub name: &'static str,
    /// Path of the HTTP interface that the command reads.
    pub path: &'static str,
    /// Columns of the table; unused for views that return a single object, whose fields are all shown.
    pub columns: &'static [&'static str],
}

/// All views.
pub const VIEWS: &[View] = &[
    View {
        name: "hosts",
        path: "/v1/hosts",
        columns: &["id", "zone", "http", "address", "voter", "reachable", "catalogue", "incarnation"],
    },
    View {
        name: "targets",
        path: "/v1/targets",
        columns: &[
            "name", "zone", "rack", "kind", "address", "state", "since_ms", "running", "limit", "slots", "speed",
        ],
    },
    View { name: "leases", path: "/v1/leases", columns: &["name", "zone", "address", "lease_ms"] },
    View { name: "status", path: "/v1/status", columns: &[] },
];

/// Builds the table of a view's JSON: a row for each object of a list, or a row for each field of a single object.
///
/// ```
/// use mangogw::views::{VIEWS, table};
/// let json = serde_json::json!([{"name": "executor-3", "zone": "a", "address": "127.0.0.1:9000", "lease_ms": 900}]);
/// assert!(table(&VIEWS[2], &json).to_string().contains("executor-3"));
/// ```
pub fn table(view: &View, json: &Value) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    match json {
        Value::Array(rows) => {
            table.set_header(view.columns);
            for row in rows {
                table.add_row(view.columns.iter().map(|column| cell(&row[*column])));
            }
        }
        Value::Object(fields) => add_fields(&mut table, fields),
        other => drop(table.add_row([cell(other)])),
    }
    table
}

fn add_fields(table: &mut Table, fields: &Map<String, Value>) {
    for (name, value) in fields {
        table.add_row([name.clone(), cell(value)]);
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Prints a view as a table, or as the host sent it if `json` is set or the body is not JSON.
pub fn print(view: &View, response: &Response, json: bool) {
    match serde_json::from_slice::<Value>(&response.body) {
        Ok(value) if !json => println!("{}", table(view, &value)),
        _ => println!("{}", String::from_utf8_lossy(&response.body)),
    }
}
