//! Loads whose run times clients can't tell.

#[allow(dead_code, reason = "the driver is shared with the other replays")]
mod driver;

use driver::{Knowledge, Replay, RunTimeSpread, Scenario, Tally, Trouble};

fn uneven_site(troubles: Vec<Trouble>) -> Scenario {
    Scenario {
        targets: 48,
        target_kinds: vec![(32_000, 1.25), (32_000, 1.0), (48_000, 0.8)],
        job_kinds: vec![(8, 60, 37.8), (4, 900, 6.9), (2, 200, 110.0)],
        cpu: (13_000, 19_000),
        varied: true,
        troubles,
    }
}

fn spread(knowledge: Knowledge) -> RunTimeSpread {
    RunTimeSpread { work: 0.4, estimate: 0.4, tail: (0.03, 7.0), tail_is_known: true, knowledge }
}

#[test]
#[ignore]
fn explore() {
    let slow = Trouble { seconds: (6.0, 12.0), targets: (0.3, 0.46), kind: driver::TroubleKind::Slow(6.5) };
    let base = spread(Knowledge::Learned);
    for (name, spread, troubles) in [
        ("known", base, vec![]),
        ("unknown", RunTimeSpread { tail_is_known: false, ..base }, vec![]),
        ("no-slow", RunTimeSpread { tail: (0.0, 7.0), ..base }, vec![slow]),
        ("unknown-slow", RunTimeSpread { tail_is_known: false, ..base }, vec![slow]),
    ] {
        for load in [0.6, 0.8, 1.0, 1.3, 1.6] {
            for knowledge in [Knowledge::Estimates, Knowledge::Learned, Knowledge::True] {
                for seeds in [1..7, 7..13] {
                    let mut total = Tally::default();
                    let (mut mean, mut least) = (0, 0);
                    let n = seeds.clone().count();
                    for seed in seeds {
                        let mut loads = vec![0.5; 6];
                        loads.extend([load; 6]);
                        let result = Replay::new(seed, uneven_site(troubles.clone()))
                            .with_spread(RunTimeSpread { knowledge, ..spread })
                            .run(&loads);
                        total = total.plus(result.total_since(6));
                        let worth = result.worth();
                        mean += worth.0;
                        least += worth.1;
                    }
                    let s = total.share();
                    print!(
                        "{name:13} {load} {:10} timely {} late {} refused {} dropped {} worth {} {} | ",
                        format!("{knowledge:?}"),
                        s.timely,
                        s.late,
                        s.refused,
                        s.dropped,
                        mean / n,
                        least / n
                    );
                }
                println!();
            }
        }
    }
}
