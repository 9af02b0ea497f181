//! Tables of the fields of entries and owners: one row per field, with unit, bounds and description.

use crate::field::{Field, FieldType, Record};
use crate::name::valid_name;
use mangogw_model::{Class, Entry, Team};

macro_rules! count {
    ($record:ty, $group:literal, $name:literal, $unit:literal, $min:literal ..= $max:literal, $($field:ident).+, $description:literal) => {
        Field {
            group: $group,
            name: $name,
            unit: $unit,
            description: $description,
            value_type: FieldType::Count {
                min: $min,
                max: $max,
                get: |record: &$record| record.$($field).+.into(),
                set: |record, value| record.$($field).+ = value.try_into().unwrap_or_default(),
            },
        }
    };
}

macro_rules! ratio {
    ($group:literal, $name:literal, $unit:literal, $min:literal ..= $max:literal, $($field:ident).+, $description:literal) => {
        Field {
            group: $group,
            name: $name,
            unit: $unit,
            description: $description,
            value_type: FieldType::Ratio {
                min: $min,
                max: $max,
                get: |record: &Entry| record.$($field).+,
                set: |record, value| record.$($field).+ = value,
            },
        }
    };
}

/// Fields of an entry, in printing order.
pub(crate) const ENTRY_FIELDS: &[Field<Entry>] = &[
    Field {
        group: "",
        name: "owner",
        unit: "",
        description: "The team that owns the entry; it must stand in `owners`.",
        value_type: FieldType::Text {
            allowed: "the name of an owner",
            get: |entry| entry.owner.as_str(),
            set: set_owner,
        },
    },
    Field {
        group: "",
        name: "class",
        unit: "",
        description: "The priority of its traffic.",
        value_type: FieldType::Text {
            allowed: "urgent, normal or batch",
            get: |entry| entry.class.name(),
            set: set_class,
        },
    },
    Field {
        group: "",
        name: "repeatable",
        unit: "",
        description: "True if a request may run more than once; without it nothing is retried or hedged once it may have started.",
        value_type: FieldType::Flag { get: |entry| entry.repeatable, set: |entry, value| entry.repeatable = value },
    },
    count!(Entry, "", "deadline_ms", "ms", 1..=86_400_000, deadline_ms, "The deadline of a request that brings none."),
    count!(Entry, "", "weight", "", 1..=1_000, weight, "The share against other owners of the same class."),
    count!(
        Entry,
        "limits",
        "rate",
        "requests/s",
        0..=10_000_000,
        limits.rate,
        "Requests and tasks a second, in the whole system; 0 is no bound."
    ),
    count!(
        Entry,
        "limits",
        "burst",
        "requests",
        1..=10_000_000,
        limits.burst,
        "How many may come at once on top of the rate."
    ),
    count!(
        Entry,
        "limits",
        "concurrency",
        "requests",
        0..=10_000_000,
        limits.concurrency,
        "Requests and tasks running at once, in the whole system; 0 is no bound."
    ),
    count!(
        Entry,
        "limits",
        "queue",
        "requests",
        0..=1_000_000,
        limits.queue,
        "Requests and tasks waiting at once, on each host; 0 lets none wait."
    ),
    count!(Entry, "limits", "body_bytes", "bytes", 0..=67_108_864, limits.body_bytes, "The largest body of a request."),
    count!(
        Entry,
        "limits",
        "answer_bytes",
        "bytes",
        0..=67_108_864,
        limits.answer_bytes,
        "The largest answer; a larger one fails the request."
    ),
    count!(
        Entry,
        "quota",
        "cores",
        "cores",
        0..=10_000_000,
        quota.cores,
        "Cores its tasks may hold at once; 0 is no bound."
    ),
    count!(
        Entry,
        "quota",
        "memory_mb",
        "MB",
        0..=100_000_000_000,
        quota.memory_mb,
        "Memory its tasks may hold at once; 0 is no bound."
    ),
    count!(
        Entry,
        "quota",
        "accelerators",
        "accelerators",
        0..=1_000_000,
        quota.accelerators,
        "Accelerators its tasks may hold at once; 0 is no bound."
    ),
    count!(
        Entry,
        "retry",
        "tries",
        "tries",
        1..=10,
        retry.tries,
        "Tries of one request, the first included; used only if the entry is repeatable."
    ),
    ratio!(
        "retry",
        "budget",
        "retries/request",
        0.0..=1.0,
        retry.budget,
        "Retries for each request of the entry, on average."
    ),
    ratio!(
        "hedge",
        "quantile",
        "",
        0.5..=0.9999,
        hedge.quantile,
        "The quantile of the run time after which a hedge is sent."
    ),
    ratio!(
        "hedge",
        "budget",
        "hedges/request",
        0.0..=0.5,
        hedge.budget,
        "Hedges for each request of the entry, on average; 0 sends none; above 0 only if the entry is repeatable."
    ),
];

/// Fields of an owner, in printing order.
pub(crate) const OWNER_FIELDS: &[Field<Team>] = &[
    count!(Team, "", "weight", "", 1..=1_000, weight, "The share against other teams of the same class."),
    count!(
        Team,
        "quota",
        "cores",
        "cores",
        0..=10_000_000,
        quota.cores,
        "Cores the tasks of all its entries may hold at once; 0 is no bound."
    ),
    count!(
        Team,
        "quota",
        "memory_mb",
        "MB",
        0..=100_000_000_000,
        quota.memory_mb,
        "Memory the tasks of all its entries may hold at once; 0 is no bound."
    ),
    count!(
        Team,
        "quota",
        "accelerators",
        "accelerators",
        0..=1_000_000,
        quota.accelerators,
        "Accelerators the tasks of all its entries may hold at once; 0 is no bound."
    ),
];

impl Record for Entry {
    const TABLE: &'static str = "entries";

    fn fields() -> &'static [Field<Self>] {
        ENTRY_FIELDS
    }
}

impl Record for Team {
    const TABLE: &'static str = "owners";

    fn fields() -> &'static [Field<Self>] {
        OWNER_FIELDS
    }
}

fn set_owner(entry: &mut Entry, text: &str) -> bool {
    let valid = valid_name(text);
    if valid {
        entry.owner = text.into();
    }
    valid
}

fn set_class(entry: &mut Entry, text: &str) -> bool {
    let found = Class::ALL.into_iter().find(|class| class.name() == text);
    entry.class = found.unwrap_or_default();
    found.is_some()
}
