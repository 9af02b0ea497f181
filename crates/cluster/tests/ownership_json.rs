//! Guards the JSON of the ownership table, which operators' tools read from `GET /v1/ownership`: a renamed field in
//! the code must not change a JSON name.

use mangogw_cluster::ownership::{Command, Holder, Ownership, RangeId};
use mangogw_model::{HostId, Incarnation};

#[test]
fn json_names_of_the_table_stay() {
    let mut table = Ownership::default();
    table.apply(1, &Command::Initialize { hashed_ranges: 1, pinned_ranges: 1, zones: Vec::new() });
    let holders = vec![Holder::new(HostId(1), Incarnation(7))];
    table.apply(2, &Command::Assign { range: RangeId(0), epoch: 0, holders });
    let json = serde_json::to_string(&table).unwrap();

    let expected = concat!(
        r#"{"index":2,"hashed":1,"pinned":1,"zones":[],"ranges":"#,
        r#"[{"epoch":1,"holders":[{"host":1,"incarnation":7}],"ready":false,"prior":[],"lost":false}]}"#
    );
    assert_eq!(json, expected);
}
