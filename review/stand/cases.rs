//! The cases of the review, and three further findings (`starved`, `route-removed`, `gang-alone`).

use crate::rules;
use crate::system::{SIGKILL, System};
use crate::world::What;
use std::io;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

pub fn play(case: &str, system: &mut System) -> io::Result<()> {
    match case {
        "many-ends" => many_ends(system),
        "gang-restore" => gang_restore(system),
        "late-deregistration" => late_deregistration(system),
        "starved" => starved(system),
        "ejected" => ejected(system),
        "route-removed" => route_removed(system),
        "gang-alone" => gang_alone(system),
        other => Err(io::Error::other(format!("there is no case {other}"))),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn fail(text: &str) -> io::Error {
    io::Error::other(text.to_owned())
}

/// Waits until `done` is true; false after `limit`.
fn wait(limit: f64, mut done: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + seconds(limit);
    while Instant::now() < deadline {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(5));
    }
    false
}

/// More than 500 runs of a stored job end on one executor while the leader is killed and replaced.
fn many_ends(system: &mut System) -> io::Result<()> {
    let racks: Vec<[String; 2]> = (0..6).map(|index| ["a".to_owned(), format!("r1-{}", index + 1)]).collect();
    let labels: Vec<Vec<&str>> = racks.iter().map(|labels| labels.iter().map(String::as_str).collect()).collect();
    let labels: Vec<&[&str]> = labels.iter().map(Vec::as_slice).collect();
    system.add_executors(&labels)?;
    system.settle(6, 4)?;
    let client = system.client();
    // A task that goes on for long, so that the lease of the executor is renewed all the while.
    let long = r#"{"spec":"ms0=20000","phases":[{"count":1,"cpu":500,"memMb":64,"estimateMs":20000,"affinity":"r1-1"}]}"#;
    let wide = r#"{"spec":"ms0=400 spread0=20","phases":[{"count":660,"cpu":20,"memMb":10,"estimateMs":400,"affinity":"r1-1"}]}"#;
    if !client.submit("5c0e7a21d94b36f1", long) {
        return Err(fail("the long job was not accepted"));
    }
    sleep(seconds(1.0));
    let leader = system.leader().ok_or_else(|| fail("no leader"))?;
    let id = "5c0e7a21d94b36f8";
    let submitter = {
        let client = client.clone();
        thread::spawn(move || client.submit(id, wide))
    };
    let world = std::sync::Arc::clone(&system.world);
    // Starts and ends of the wide job so far.
    let counts = || {
        let state = world.lock();
        let starts = |what: &What| matches!(what, What::Start { task, .. } if task.starts_with(id));
        let ends = |what: &What| matches!(what, What::End { task, .. } if task.starts_with(id));
        let count = |of: &dyn Fn(&What) -> bool| state.log.iter().filter(|event| of(&event.what)).count();
        (count(&starts), count(&ends))
    };
    if !wait(5.0, || counts().0 >= 640 && counts().1 >= 30) {
        return Err(fail("the tasks of the wide job did not start"));
    }
    if system.trouble {
        system.signal(leader, SIGKILL, "SIGKILL (it leads)");
        sleep(seconds(1.0));
        system.spawn(leader, false)?;
    }
    drop(submitter.join());
    wait(20.0, || client.state(id) == "completed");
    sleep(seconds(2.0));
    let most: Vec<usize> = system.world.lock().execs.iter().map(|exec| exec.most_unnoted).collect();
    system.world.note(format!("most ends without a note, by executor: {most:?}"));
    system.check_twice();
    Ok(())
}

/// The core is killed and restarted after the gangs of some jobs have ended and before the rest of these jobs has.
fn gang_restore(system: &mut System) -> io::Result<()> {
    system.add_executors(&[["a", "r1-1"].as_slice(); 6])?;
    system.settle(6, 4)?;
    let client = system.client();
    // The usual traffic of a queue: 100 short jobs a second.
    let short = r#"{"spec":"ms0=40 spread0=40","phases":[{"count":6,"cpu":100,"memMb":64,"estimateMs":60}]}"#;
    let usual: Vec<_> = (0..10)
        .map(|thread| {
            let client = client.clone();
            thread::spawn(move || {
                for index in 0..50 {
                    client.submit(&format!("bbbb7a21{thread:04x}{index:04x}"), short);
                    sleep(seconds(0.1));
                }
            })
        })
        .collect();
    let job = r#"{"spec":"ms0=300 gang0=12 ms1=8000","phases":[{"count":12,"cpu":100,"memMb":64,"estimateMs":300,"gang":true,"antiAffinity":2},{"count":2,"cpu":100,"memMb":64,"estimateMs":8000,"dependsOn":[0]}]}"#;
    let ids: Vec<String> = (0..240).map(|index| format!("5c0e7a21d94b{index:04x}")).collect();
    let gangs: Vec<_> = ids
        .chunks(60)
        .map(|ids| {
            let (client, ids) = (client.clone(), ids.to_vec());
            thread::spawn(move || {
                let submit = |id: &String| {
                    sleep(seconds(0.07));
                    client.submit(id, job)
                };
                ids.iter().all(submit)
            })
        })
        .collect();
    for thread in gangs {
        if !thread.join().unwrap_or(false) {
            return Err(fail("a job was not accepted"));
        }
    }
    for thread in usual {
        drop(thread.join());
    }
    sleep(seconds(1.0));
    if system.trouble {
        for node in 0..3 {
            system.signal(node, SIGKILL, "SIGKILL");
        }
        sleep(seconds(0.6));
        for node in 0..3 {
            system.spawn(node, false)?;
        }
    }
    // Twice the time that all remaining work takes, and finish_s.
    sleep(seconds(16.0 + 14.0));
    let end = system.world.now();
    for id in &ids {
        let state = client.state(id);
        if state == "completed" {
            continue;
        }
        let log = system.world.lock().log.clone();
        let last = rules::runs_of(&log, id).iter().map(|run| run.2.unwrap_or(end)).fold(0.0, f64::max);
        let used: usize = system.world.lock().execs.iter().map(|exec| exec.runs.len()).sum();
        if state.is_empty() || end - last > 3000.0 {
            system.broken(format!(
                "LOST: job {id} is shown as {state:?}; its gang ended done, and nothing of it ran in the last {:.0} ms; \
                 {used} tasks of 100 thousandths of a core run on 96 cores",
                end - last
            ));
        }
    }
    Ok(())
}

/// The deregistration of an executor is held up by a partition and arrives after the executor has started again under
/// its id.
fn late_deregistration(system: &mut System) -> io::Result<()> {
    let execs = system.add_executors(&[["a", "r1-1"].as_slice(); 6])?;
    system.settle(6, 4)?;
    let client = system.client();
    let exec = execs[0];
    system.world.lock().execs[exec].draining = true;
    system.world.note("executor 0 begins to drain");
    // One report at least, and drainMs after it.
    sleep(seconds(1.6 + 2.2));
    let cut_off = Instant::now();
    if system.trouble {
        system.world.lock().execs[exec].cut = true;
        system.world.note("TROUBLE: executor 0 is cut off from all machines of the system");
    }
    sleep(seconds(1.0));
    // TCP sends again after 0.2, 0.6, 1.4, 3.0 and 6.2 s; the cut is over before the last of these.
    let acked = system.world.deregister(exec, 1, seconds(6.2));
    if !acked {
        // Without an ack the executor ends anyway, some seconds later.
        sleep(seconds(1.5));
    }
    system.world.down(exec, "end of its shutdown");
    sleep(seconds(0.5));
    // Fills the other executors until shortly before the deregistration arrives.
    let first = r#"{"spec":"ms0=2700","phases":[{"count":80,"cpu":1000,"memMb":64,"estimateMs":2700}]}"#;
    if !client.submit("bbbb7a21d94b36f8", first) {
        return Err(fail("the first job was not accepted"));
    }
    system.world.start(exec, 2)?;
    if system.trouble {
        sleep(seconds(5.0).saturating_sub(cut_off.elapsed()));
        system.world.lock().execs[exec].cut = false;
        system.world.note("TROUBLE: the cut is over");
    }
    let world = std::sync::Arc::clone(&system.world);
    if !wait(1.5, || world.lock().execs[exec].known) {
        return Err(fail("the new life of executor 0 did not become known"));
    }
    let job = r#"{"spec":"ms0=5000","phases":[{"count":12,"cpu":1000,"memMb":64,"estimateMs":5000}]}"#;
    let id = "5c0e7a21d94b36f8";
    if !client.submit(id, job) {
        return Err(fail("the job was not accepted"));
    }
    sleep(seconds(5.0));
    wait(20.0, || {
        sleep(seconds(0.5));
        client.state(id) == "completed"
    });
    system.check_twice();
    Ok(())
}

/// An executor with tasks of a long-running job is lost while many jobs with two steps are in work.
fn starved(system: &mut System) -> io::Result<()> {
    system.add_executors(&[["a", "r1-1"].as_slice(); 12])?;
    system.settle(12, 4)?;
    let client = system.client();
    let service = r#"{"spec":"","longRunning":true,"phases":[{"count":4,"cpu":500,"memMb":64,"estimateMs":1000}]}"#;
    let id = "aaaa7a21d94b36f8";
    if !client.submit(id, service) {
        return Err(fail("the long-running job was not accepted"));
    }
    sleep(seconds(2.0));
    let job = r#"{"spec":"ms0=6000 ms1=500","phases":[{"count":1,"cpu":200,"memMb":64,"estimateMs":6000},{"count":1,"cpu":200,"memMb":64,"estimateMs":500,"dependsOn":[0]}]}"#;
    const THREADS: usize = 8;
    const PER_THREAD: usize = 200;
    let submitters: Vec<_> = (0..THREADS)
        .map(|thread| {
            let client = client.clone();
            thread::spawn(move || {
                for index in 0..PER_THREAD {
                    let begin = Instant::now();
                    client.submit(&format!("5c0e7a21{thread:04x}{index:04x}"), job);
                    sleep(seconds(0.2).saturating_sub(begin.elapsed()));
                }
            })
        })
        .collect();
    sleep(seconds(12.0));
    let lost = {
        let state = system.world.lock();
        state.execs.iter().position(|exec| exec.runs.keys().any(|task| task.starts_with(id)))
    };
    let lost = lost.ok_or_else(|| fail("the long-running tasks don't run"))?;
    if system.trouble {
        system.world.note("TROUBLE: the executor is lost for good");
        system.world.down(lost, "crash");
    }
    let crash = system.world.now();
    sleep(seconds(20.0));
    let end = system.world.now();
    let log = system.world.lock().log.clone();
    let runs = rules::runs_of(&log, id);
    let (busy, up) = {
        let state = system.world.lock();
        let up = state.execs.iter().filter(|exec| exec.up);
        (up.clone().map(|exec| exec.runs.len()).sum::<usize>(), up.count())
    };
    for index in 0..4 {
        let task = format!("{id}.0.0.{index}");
        let mut of_task: Vec<_> = runs.iter().filter(|run| run.0 == task).collect();
        of_task.sort_by(|a, b| a.1.total_cmp(&b.1));
        let Some(last) = of_task.last() else { return Err(fail("a long-running task never ran")) };
        // 6 s after its last run, and 3 s more.
        if last.2.is_some_and(|ended| end - ended > 9000.0) {
            system.broken(format!(
                "LOST: task {task} lasts and has not run since {:.0} ms, for {:.0} ms; about {:.0} of {} cores are in use",
                last.2.unwrap_or(crash),
                end - last.2.unwrap_or(crash),
                busy as f64 * 0.2,
                up * 16
            ));
        }
    }
    for submitter in submitters {
        drop(submitter.join());
    }
    Ok(())
}

/// An executor with a task of a long-running job fails for some seconds all that it starts.
fn ejected(system: &mut System) -> io::Result<()> {
    let mut labels: Vec<&[&str]> = vec![&["a", "r1-1"]; 11];
    labels.push(&["b", "r1-2"]);
    let execs = system.add_executors(&labels)?;
    system.settle(12, 3)?;
    let client = system.client();
    let service = r#"{"spec":"","longRunning":true,"phases":[{"count":1,"cpu":500,"memMb":64,"estimateMs":1000,"requiredLabel":"b"}]}"#;
    if !client.submit("aaaa7a21d94b36f8", service) {
        return Err(fail("the long-running job was not accepted"));
    }
    sleep(seconds(3.0));
    let job = r#"{"spec":"ms0=100 spread0=50","phases":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":120,"requiredLabel":"b"}]}"#;
    let mut ids = Vec::new();
    let grey = |on: bool| {
        system.world.lock().execs[execs[11]].grey = on;
        system.world.note(format!("TROUBLE: executor 11 fails all that it starts: {on}"));
    };
    for index in 0..100 {
        match index {
            20 if system.trouble => grey(true),
            44 if system.trouble => grey(false),
            _ => {}
        }
        let id = format!("5c0e7a21d94b{index:04x}");
        if client.submit(&id, job) {
            ids.push(id);
        }
        sleep(seconds(0.25));
    }
    // finish_s after the end of the traffic.
    sleep(seconds(14.0));
    let end = system.world.now();
    let log = system.world.lock().log.clone();
    let running = system.world.lock().execs[execs[11]].runs.len();
    for id in &ids {
        let state = client.state(id);
        // A job whose runs have failed may be shown as failed.
        if state == "completed" || state == "failed" {
            continue;
        }
        let last = rules::runs_of(&log, id).iter().map(|run| run.2.unwrap_or(end)).fold(0.0, f64::max);
        if state.is_empty() || end - last > 3000.0 {
            system.broken(format!(
                "LOST: job {id} is shown as {state:?} 14 s after the end of the traffic; nothing of it ran in the last \
                 3 s; {running} task of half a core runs on the executor of 16 cores that has its label"
            ));
        }
    }
    Ok(())
}

/// The leader is replaced while a route is left out of the config, which later holds it again.
fn route_removed(system: &mut System) -> io::Result<()> {
    system.add_executors(&[["a", "r1-1"].as_slice(); 6])?;
    system.settle(6, 4)?;
    let client = system.client();
    let job = r#"{"spec":"ms0=4000 ms1=1000","phases":[{"count":2,"cpu":500,"memMb":64,"estimateMs":4000},{"count":2,"cpu":500,"memMb":64,"estimateMs":1000,"dependsOn":[0]}]}"#;
    let id = "5c0e7a21d94b36f8";
    if !client.submit(id, job) {
        return Err(fail("the job was not accepted"));
    }
    system.put_config(8, false, 4)?;
    sleep(seconds(0.5));
    if system.trouble {
        let leader = system.leader().ok_or_else(|| fail("no leader"))?;
        system.signal(leader, SIGKILL, "SIGKILL (it leads)");
        sleep(seconds(1.0));
        system.spawn(leader, false)?;
    }
    sleep(seconds(1.0));
    system.put_config(9, true, 4)?;
    sleep(seconds(20.0));
    let state = client.state(id);
    if state != "completed" {
        system.broken(format!("LOST: job {id} is shown as {state:?} 20 s after its route is there again"));
    }
    Ok(())
}

/// A gang that needs all executors comes some seconds after a few jobs that can never be done.
fn gang_alone(system: &mut System) -> io::Result<()> {
    system.add_executors(&[["a", "r1-1"].as_slice(); 3])?;
    system.settle(3, 2)?;
    let client = system.client();
    if system.trouble {
        system.world.note("TROUBLE: jobs that can never be done");
        let poison = r#"{"spec":"ms0=100 fail0=1","phases":[{"count":3,"cpu":6800,"memMb":64,"estimateMs":100,"antiAffinity":1}]}"#;
        for index in 0..3 {
            client.submit(&format!("bbbb7a21d94b{index:04x}"), poison);
            sleep(seconds(1.0));
        }
    }
    sleep(seconds(6.0));
    let gang = r#"{"spec":"ms0=500 gang0=6","phases":[{"count":6,"cpu":6800,"memMb":64,"estimateMs":500,"gang":true}]}"#;
    let id = "5c0e7a21d94b36f8";
    if !client.submit(id, gang) {
        return Err(fail("the gang job was not accepted"));
    }
    let completed = wait(40.0, || {
        sleep(seconds(0.2));
        client.state(id) == "completed"
    });
    let log = system.world.lock().log.clone();
    let is_alone = |what: &What| matches!(what, What::End { task, how: "alone", .. } if task.starts_with(id));
    let alone = log.iter().filter(|event| is_alone(&event.what)).count();
    if alone > 0 {
        system.broken(format!("GANG: {alone} runs of {id} ended alone; completed within 40 s: {completed}"));
    }
    Ok(())
}
