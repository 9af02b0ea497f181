//! Stateful fuzz of the grants: crash and restart of hosts and targets, cuts, wrong views of the members, loss, delay,
//! duplicates, clocks of other rates. At each step at most one host acts as owner of a target (`Field::run` checks
//! it); after the faults end every target has an owner within a stated time.

use crate::field::Field;
use arbitrary::Unstructured;
use mangogw_model::Incarnation;
use std::time::Duration;

/// A grant adopted at the last moment of the faults, preempted, waited out, and the retries around it.
const CONVERGE: Duration = Duration::from_secs(6);
const SEEDS: u64 = 36;
const SIZE: u64 = 256;

fn check(property: fn(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in (1..=SEEDS).map(|seed| seed.wrapping_mul(0x9e37_79b9) << 32 | SIZE) {
        arbtest::arbtest(property).seed(seed).run();
    }
}

fn fault(field: &mut Field, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let (hosts, backs) = (field.hosts.len(), field.backs.len());
    let (a, b, back) = (u.choose_index(hosts)?, u.choose_index(hosts)?, u.choose_index(backs)?);
    match u.int_in_range(0..=12)? {
        0 if field.hosts[a].up => field.crash(a),
        0 | 1 if !field.hosts[a].up => field.restart(a),
        2 | 3 if a != b => _ = field.blocked.insert((a, b)),
        4 | 5 if a != b => _ = field.unseen.insert((a, b)),
        6 => {
            for other in (0..hosts).filter(|&other| other != a) {
                field.blocked.extend([(a, other), (other, a)]);
                field.unseen.extend([(a, other), (other, a)]);
            }
        }
        7 => field.blocked.clear(),
        8 => field.unseen.clear(),
        9 => field.restart_target(back),
        10 => field.backs[back].entry = Some(a),
        11 => field.backs[back].entry = None,
        _ => field.leave_cluster(a),
    }
    field.run(Duration::from_millis(u.int_in_range(5..=2_500)?));
    Ok(())
}

#[test]
fn one_owner_at_a_time_and_one_in_the_end() {
    check(|u| {
        let mut field = Field::open(u.int_in_range(2..=5)?, 4, u.arbitrary()?);
        field.chaos = u.ratio(3, 4)?;
        for _ in 0..u.int_in_range(1..=25)? {
            fault(&mut field, u)?;
        }
        field.chaos = false;
        field.blocked.clear();
        field.unseen.clear();
        for host in 0..field.hosts.len() {
            if !field.hosts[host].up || field.hosts[host].leaving {
                field.restart(host);
            }
        }
        for back in &mut field.backs {
            back.entry = None;
        }
        field.run(CONVERGE);
        assert!(field.all_owned());
        Ok(())
    });
}

/// Hosts that restart quickly, and heartbeats that alternate between hosts with different views.
#[test]
fn wrong_views_make_no_second_owner() {
    check(|u| {
        let mut field = Field::open(3, 3, u.arbitrary()?);
        field.chaos = true;
        for _ in 0..u.int_in_range(1..=30)? {
            field.unseen.clear();
            for _ in 0..u.int_in_range(0..=4)? {
                field.unseen.insert((u.choose_index(3)?, u.choose_index(3)?));
            }
            if u.ratio(1, 6)? {
                let host = u.choose_index(3)?;
                field.restart(host);
            }
            field.run(Duration::from_millis(u.int_in_range(100..=3_000)?));
        }
        field.chaos = false;
        field.unseen.clear();
        field.run(CONVERGE);
        assert!(field.all_owned());
        Ok(())
    });
}

/// A target says on any host that it leaves, and goes on sending heartbeats while it drains: 2 s later, whoever owns it
/// knows, also where the owner dies or restarts meanwhile.
#[test]
fn leave_is_known_to_whoever_owns_the_target() {
    check(|u| {
        let mut field = Field::open(u.int_in_range(2..=5)?, 4, u.arbitrary()?);
        field.run(Duration::from_secs(4));
        field.chaos = u.arbitrary()?;
        let hosts = field.hosts.len();
        let (entry, back) = (u.choose_index(hosts)?, u.choose_index(field.backs.len())?);
        let target = field.backs[back].target.clone();
        field.leave(entry, &target);
        field.run(Duration::from_millis(u.int_in_range(1_000..=2_000)?));
        let victim = u.choose_index(hosts)?;
        match u.int_in_range(0..=2)? {
            0 => field.crash(victim),
            1 => field.restart(victim),
            _ => field.leave_cluster(victim),
        }
        field.run(Duration::from_millis(u.int_in_range(1_000..=8_000)?));
        for owner in field.owners(back) {
            assert!(field.hosts[owner].grants.is_leaving(&target, Incarnation(1)));
        }
        Ok(())
    });
}
