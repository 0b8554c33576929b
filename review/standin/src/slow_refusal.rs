//! An executor turns grey: it answers eight times as slowly, and refuses part of its orders.

use std::io;
use std::thread::sleep;
use std::time::Duration;

use crate::Breaches;
use crate::deployment::Deployment;
use crate::ends::started_twice;
use crate::fleet::{State, Step};

/// Time that an executor takes to answer a start order, in milliseconds.
const ANSWER_MS: u64 = 25;

/// `x` of a grey executor that is slow.
const SLOWER: u64 = 8;

pub fn play(deployment: &Deployment, is_troubled: bool) -> io::Result<Breaches> {
    let fleet = &deployment.fleet;
    for worker in &mut fleet.lock().workers {
        worker.answer_ms = ANSWER_MS;
    }
    // The next tasks go to the executor of this one, since tasks are packed.
    deployment.submit("5c0e7a21d94b3600", vec![Step::new(1, 1_000, 500, 8_000)]);
    if !fleet.wait_for(5_000, |state| state.runs.len() == 1) {
        return Err(io::Error::other("the task didn't start"));
    }
    let grey = fleet.lock().runs[0].worker;
    if is_troubled {
        let line = format!("executor {} turns grey", fleet.lock().workers[grey].id);
        fleet.note(&line);
        let worker = &mut fleet.lock().workers[grey];
        (worker.answer_ms, worker.refuses) = (ANSWER_MS * SLOWER, true);
    }
    // Each job takes half of the room.
    for number in 0..8 {
        let id = format!("5c0e7a21d94b37{number:02x}");
        if !deployment.submit(&id, vec![Step::new(48, 8_000, 500, 1_200)]) {
            return Err(io::Error::other("a job was not accepted"));
        }
        sleep(Duration::from_millis(700));
    }
    if is_troubled {
        let (orders, refused) = {
            let worker = &fleet.lock().workers[grey];
            (worker.orders, worker.refused)
        };
        fleet.note(&format!("it is well again; {refused} of {orders} start orders were refused"));
        let worker = &mut fleet.lock().workers[grey];
        (worker.answer_ms, worker.refuses) = (ANSWER_MS, false);
    }
    sleep(Duration::from_millis(8_000));
    fleet.wait_for(5_000, |state: &State| state.runs.iter().all(|run| run.ended.is_some()));
    Ok(started_twice(&fleet.lock()))
}
