//! Measures at several sizes what membership, grants, relays and shares cost a host: bytes and messages per second,
//! processor time and memory. Prints JSON; bytes are those of the encoded messages, without the framing of a transport.
//!
//! `cargo run --release -p mangogw-cluster --example slopes`

mod grants;
mod members;
mod meter;
mod route;
mod shares;

fn main() {
    let all = serde_json::json!({
        "members": members::measure(),
        "grants": grants::measure(),
        "route": route::measure(),
        "shares": shares::measure(),
    });
    println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
}
