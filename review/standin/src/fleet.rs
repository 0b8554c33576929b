//! Executors, the runs on them, and the provider of machines.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Reply, Request};
use crate::store::Store;

/// Bounds of the deployment, as in its site file.
pub const MAX_HOLD_MS: u64 = 6_000;
const GANG_TIMEOUT_MS: u64 = 3_000;
const HEARTBEAT_MS: u64 = 1_500;

/// Ends that an executor returns at a time.
const MAX_LISTED_ENDS: usize = 500;

/// Time after which an order that gets no answer is carried out, in milliseconds.
const LATE_MS: u64 = 2_500;

/// Time for which an executor is down that a task has crashed, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// Interval at which runs are advanced, in milliseconds.
const TICK_MS: u64 = 5;

/// A step of a job, as the client sends it and as the executors carry it out.
#[derive(Debug, Clone)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem_mb: u64,
    pub after: Vec<u32>,
    pub gang: bool,
    pub max_per_server: u32,
    pub estimate_ms: u64,
    /// Duration of each task, in milliseconds.
    pub durations_ms: Vec<u64>,
    /// How its runs end by themselves.
    pub outcome: &'static str,
    /// Age at which its runs crash their executor, in milliseconds.
    pub deadly_ms: Option<u64>,
}

impl Step {
    pub fn new(count: u32, cpu: u64, mem_mb: u64, duration_ms: u64) -> Self {
        Self {
            count,
            cpu,
            mem_mb,
            after: Vec::new(),
            gang: false,
            max_per_server: 0,
            estimate_ms: duration_ms,
            durations_ms: vec![duration_ms; count as usize],
            outcome: "done",
            deadly_ms: None,
        }
    }

    pub fn to_json(&self) -> Value {
        let mut step = json!({
            "count": self.count, "cpu": self.cpu, "mem_mb": self.mem_mb,
            "estimate_ms": self.estimate_ms,
        });
        if !self.after.is_empty() {
            step["after"] = json!(self.after);
        }
        if self.gang {
            step["gang"] = json!(true);
        }
        if self.max_per_server > 0 {
            step["max_per_server"] = json!(self.max_per_server);
        }
        step
    }
}

/// A run as it happened.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub job: String,
    pub step: usize,
    pub index: usize,
    pub attempt: u64,
    pub worker: usize,
    pub started_ms: u64,
    /// When all members of its gang were present.
    working_ms: Option<u64>,
    pub ended: Option<(u64, &'static str)>,
    /// When the end was taken note of.
    pub noted_ms: Option<u64>,
    /// Whether the lease lapsed between the end and that.
    pub has_lapsed_between: bool,
}

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    pub rack: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Whether it neither receives nor sends anything.
    pub is_cut: bool,
    pub is_up: bool,
    /// Time that the answer to a start order takes, in milliseconds.
    pub answer_ms: u64,
    /// Whether it refuses start orders with 503: two of five, and never more than that so far.
    pub refuses: bool,
    /// Start orders since it refuses some, and those refused.
    pub orders: u64,
    pub refused: u64,
    pub holds: u64,
    born_ms: u64,
    clock_zero: Instant,
    fence: u64,
    deadline_ms: u64,
    running: Vec<usize>,
    finished: Vec<(u64, usize)>,
    next_number: u64,
    closed: HashMap<String, u64>,
    seq: u64,
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.clock_zero.elapsed().as_millis() as u64 + 1_000
    }
}

#[derive(Debug, Default)]
pub struct State {
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Vec<Step>>,
    pub runs: Vec<Run>,
    /// Number of the next start orders of a job that get no answer and are carried out late.
    pub late_orders: HashMap<String, u32>,
    pub record: Vec<String>,
}

/// All executors, and the record of what happened.
#[derive(Debug)]
pub struct Fleet {
    pub store: Arc<Store>,
    pub service: String,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Fleet {
    /// Starts executors of one service and registers them.
    pub fn start(store: &Arc<Store>, service: &str, count: usize) -> Arc<Self> {
        let fleet = Arc::new(Self {
            store: Arc::clone(store),
            service: service.to_string(),
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let worker = Worker {
                id: format!("i-{:08x}", 0x7f3a_0000 + number),
                rack: format!("r1-{}", number / 4 + 1),
                address: listener.local_addr().unwrap(),
                cpu: 64_000,
                mem_mb: 131_072,
                is_cut: false,
                is_up: true,
                answer_ms: 0,
                refuses: false,
                orders: 0,
                refused: 0,
                holds: 0,
                born_ms: wall_ms(),
                clock_zero: Instant::now(),
                fence: 0,
                deadline_ms: 0,
                running: Vec::new(),
                finished: Vec::new(),
                next_number: 1,
                closed: HashMap::new(),
                seq: 0,
            };
            fleet.lock().workers.push(worker);
            let handler_fleet = Arc::clone(&fleet);
            let handler = move |request: &Request, stream: &TcpStream| {
                handler_fleet.handle(number, request, stream)
            };
            http::serve(listener, Arc::new(handler));
            fleet.register(number);
        }
        let ticking = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(TICK_MS));
                ticking.advance();
            }
        });
        let beating = Arc::clone(&fleet);
        thread::spawn(move || {
            let count = beating.lock().workers.len() as u64;
            loop {
                for number in 0..count {
                    thread::sleep(Duration::from_millis(HEARTBEAT_MS / count));
                    beating.register(number as usize);
                }
            }
        });
        fleet
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line to the record.
    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        self.lock().note(now_ms, line);
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait_for(&self, limit_ms: u64, mut holds: impl FnMut(&State) -> bool) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            if holds(&self.lock()) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Writes an executor's entry, unless it is down.
    pub fn register(&self, number: usize) {
        let mut state = self.lock();
        let worker = &mut state.workers[number];
        if !worker.is_up {
            return;
        }
        worker.seq += 1;
        let entry = json!({
            "service": self.service, "address": worker.address.to_string(), "zone": "zapopan",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem_mb, "gpu": 0},
            "labels": ["a", worker.rack], "clock_ms": worker.clock_ms(),
            "seq": worker.seq, "born": worker.born_ms,
        });
        let id = worker.id.clone();
        drop(state);
        self.store.put("servers", &id, &entry);
    }

    /// Cuts an executor off from all machines of the system, or heals the cut.
    pub fn cut(&self, number: usize, is_cut: bool) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.workers[number].is_cut = is_cut;
        let what = if is_cut { "is cut off from the machines" } else { "is reached again" };
        let line = format!("executor {} {what}", state.workers[number].id);
        state.note(now_ms, &line);
        drop(state);
        self.changed.notify_all();
    }

    /// Crashes an executor: everything that it holds and knows is lost.
    pub fn crash(&self, number: usize) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let State { workers, runs, .. } = &mut *state;
        let worker = &mut workers[number];
        worker.is_up = false;
        for index in worker.running.drain(..) {
            runs[index].ended = Some((now_ms, "crashed"));
        }
        worker.finished.clear();
        let line = format!("executor {} crashes", worker.id);
        state.note(now_ms, &line);
        drop(state);
        self.changed.notify_all();
    }

    /// Starts a crashed executor again under its identifier.
    pub fn restart(&self, number: usize) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let worker = &mut state.workers[number];
        worker.is_up = true;
        worker.born_ms = wall_ms();
        worker.clock_zero = Instant::now();
        (worker.fence, worker.deadline_ms, worker.next_number) = (0, 0, 1);
        (worker.seq, worker.holds) = (0, 0);
        worker.closed.clear();
        let line = format!("executor {} starts again", worker.id);
        state.note(now_ms, &line);
        drop(state);
        self.register(number);
    }

    fn handle(&self, number: usize, request: &Request, stream: &TcpStream) -> Reply {
        // A cut delivers nothing, and bytes that arrive meanwhile are lost; a crash resets.
        let is_cut = || self.lock().workers[number].is_cut;
        let stay_silent = || {
            while is_cut() && !http::is_closed(stream) {
                thread::sleep(Duration::from_millis(20));
            }
            Reply::Close
        };
        if is_cut() {
            return stay_silent();
        }
        let life = || {
            let worker = &self.lock().workers[number];
            worker.is_up.then_some(worker.born_ms)
        };
        let before = life();
        if before.is_none() {
            return Reply::Close;
        }
        let reply = self.answer(number, request);
        if is_cut() {
            return stay_silent();
        }
        if life() == before { reply } else { Reply::Close }
    }

    fn answer(&self, number: usize, request: &Request) -> Reply {
        if request.path == "/health" {
            return Reply::Answer(200, String::new());
        }
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let clock_ms = state.workers[number].clock_ms();
        if request
            .header("masticfall-target-instance")
            .is_some_and(|id| id != state.workers[number].id)
        {
            return Reply::Answer(421, json!({"clock_ms": clock_ms}).to_string());
        }
        let call = request.json();
        let token = call["fencing_token"].as_u64().unwrap_or(0);
        let refuse = |reason: &str| {
            Reply::Answer(409, json!({"clock_ms": clock_ms, "reason": reason}).to_string())
        };
        if token < state.workers[number].fence {
            return refuse("fence");
        }
        state.workers[number].fence = token;
        match request.path.as_str() {
            "/-/hold" => {
                drop(state);
                self.hold(number, &call, now_ms)
            }
            "/-/run-start" if state.is_late(&call) => {
                let line = format!(
                    "start {} attempt {} token {token} at {}: no answer",
                    text(&call, "task"),
                    call["attempt"],
                    state.workers[number].id
                );
                state.note(now_ms, &line);
                let born_ms = state.workers[number].born_ms;
                drop(state);
                thread::sleep(Duration::from_millis(LATE_MS));
                let now_ms = self.now_ms();
                let mut state = self.lock();
                let worker = &state.workers[number];
                let clock_ms = worker.clock_ms();
                if worker.is_up && worker.born_ms == born_ms && token >= worker.fence {
                    let _told = state.start(number, &call, token, clock_ms, now_ms);
                }
                Reply::Close
            }
            "/-/run-start" => {
                let worker = &mut state.workers[number];
                let answer_ms = worker.answer_ms;
                worker.orders += u64::from(worker.refuses);
                let is_within = (worker.refused + 1) * 5 <= worker.orders * 2;
                let is_refused = worker.refuses && is_within && mix(worker.orders) % 10 < 6;
                worker.refused += u64::from(is_refused);
                let reply = if is_refused {
                    let line = format!(
                        "start {} attempt {} token {token} at {}: 503",
                        text(&call, "task"),
                        call["attempt"],
                        state.workers[number].id
                    );
                    state.note(now_ms, &line);
                    Reply::Answer(503, json!({"clock_ms": clock_ms}).to_string())
                } else {
                    match state.start(number, &call, token, clock_ms, now_ms) {
                        Ok(()) => Reply::Answer(200, json!({"clock_ms": clock_ms}).to_string()),
                        Err(reason) => refuse(reason),
                    }
                };
                drop(state);
                thread::sleep(Duration::from_millis(answer_ms));
                reply
            }
            "/-/run-stop" => {
                let (task, attempt) = (text(&call, "task"), call["attempt"].as_u64().unwrap_or(0));
                let line = format!("stop {task} attempt {attempt} at {}", state.workers[number].id);
                state.note(now_ms, &line);
                let closed = state.workers[number].closed.entry(task.clone()).or_default();
                *closed = (*closed).max(attempt);
                let running = state.workers[number].running.clone();
                let run = running.into_iter().find(|index| {
                    state.runs[*index].task == task && state.runs[*index].attempt == attempt
                });
                if let Some(index) = run {
                    state.end(index, "stopped", now_ms);
                }
                drop(state);
                self.changed.notify_all();
                Reply::Answer(200, json!({"clock_ms": clock_ms}).to_string())
            }
            "/-/pace" => Reply::Answer(200, json!({"clock_ms": clock_ms}).to_string()),
            _ => Reply::Answer(400, "{}".into()),
        }
    }

    fn hold(&self, number: usize, call: &Value, now_ms: u64) -> Reply {
        let mut state = self.lock();
        let ack_cursor = call["ack_cursor"].as_u64().unwrap_or(0);
        {
            let State { workers, runs, record, .. } = &mut *state;
            let worker = &mut workers[number];
            worker.finished.retain(|(end, index)| {
                if *end <= ack_cursor {
                    runs[*index].noted_ms = Some(now_ms);
                }
                *end > ack_cursor
            });
            if let Some(deadline_ms) = call["deadline_ms"].as_u64() {
                let longest_ms = worker.clock_ms() + MAX_HOLD_MS;
                worker.deadline_ms = worker.deadline_ms.max(deadline_ms.min(longest_ms));
                worker.holds += 1;
                if worker.holds == 1 {
                    let token = &call["fencing_token"];
                    record.push(format!(
                        "{now_ms:>7} ms  first hold of {} by token {token}",
                        worker.id
                    ));
                }
            }
        }
        let wait_ms = call["wait_ms"].as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let worker = &state.workers[number];
            let left = until.saturating_duration_since(Instant::now());
            if !worker.finished.is_empty() || left.is_zero() || worker.is_cut || !worker.is_up {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let now_ms = self.now_ms();
        let State { workers, runs, jobs, record, .. } = &mut *state;
        let worker = &workers[number];
        let running = worker.running.iter().map(|index| {
            let run = &runs[*index];
            let duration_ms = jobs[&run.job][run.step].durations_ms[run.index].max(1);
            let begun_ms = run.working_ms.unwrap_or(now_ms);
            let percent = ((now_ms - begun_ms) * 100 / duration_ms).min(99);
            json!([run.task, run.attempt, "", percent, 0])
        });
        let running: Vec<Value> = running.collect();
        let listed = worker.finished.iter().take(MAX_LISTED_ENDS);
        let finished: Vec<Value> = listed
            .map(|(end, index)| {
                let run = &runs[*index];
                json!([end, run.task, run.attempt, run.ended.map_or("done", |(_, how)| how), ""])
            })
            .collect();
        if worker.finished.len() > 100 {
            record.push(format!(
                "{now_ms:>7} ms  {} lists {} of {} ends, {} running",
                worker.id,
                finished.len(),
                worker.finished.len(),
                running.len()
            ));
        }
        let body = json!({
            "clock_ms": worker.clock_ms(), "born": worker.born_ms,
            "running": running, "finished": finished,
        });
        Reply::Answer(200, body.to_string())
    }

    /// Crashes the executors of deadly tasks; they start again after some seconds.
    fn crash_deadly(self: &Arc<Self>) {
        let now_ms = self.now_ms();
        let state = self.lock();
        let is_due = |run: &&Run| {
            let deadly_ms = state.jobs[&run.job][run.step].deadly_ms;
            run.ended.is_none() && deadly_ms.is_some_and(|age_ms| now_ms >= run.started_ms + age_ms)
        };
        let due: Vec<usize> = state.runs.iter().filter(is_due).map(|run| run.worker).collect();
        drop(state);
        for number in due {
            self.crash(number);
            let fleet = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(DOWN_MS));
                fleet.restart(number);
            });
        }
    }

    /// Ends runs that are over, or whose lease is.
    fn advance(self: &Arc<Self>) {
        self.crash_deadly();
        let now_ms = self.now_ms();
        let mut state = self.lock();
        let mut has_ended = false;
        let mut gangs: HashMap<(String, usize, u64), Vec<usize>> = HashMap::new();
        for number in 0..state.workers.len() {
            let worker = &state.workers[number];
            if !worker.is_up {
                continue;
            }
            if worker.clock_ms() > worker.deadline_ms {
                for (_, index) in worker.finished.clone() {
                    state.runs[index].has_lapsed_between = true;
                }
                for index in state.workers[number].running.clone() {
                    state.end(index, "lapsed", now_ms);
                    has_ended = true;
                }
            }
            for index in state.workers[number].running.clone() {
                let run = &state.runs[index];
                let step = &state.jobs[&run.job][run.step];
                if step.gang {
                    gangs
                        .entry((step_of(&run.task), run.step, run.attempt))
                        .or_default()
                        .push(index);
                    continue;
                }
                if now_ms >= run.started_ms + step.durations_ms[run.index] {
                    let outcome = step.outcome;
                    state.end(index, outcome, now_ms);
                    has_ended = true;
                }
            }
        }
        for ((_, step, _), members) in gangs {
            let spec = state.jobs[&state.runs[members[0]].job][step].clone();
            let is_whole = members.len() == spec.count as usize;
            for index in members {
                let run = &mut state.runs[index];
                if is_whole {
                    run.working_ms.get_or_insert(now_ms);
                }
                let how = match run.working_ms {
                    Some(_) if !is_whole => "broken",
                    Some(at_ms) if now_ms >= at_ms + spec.durations_ms[0] => "done",
                    None if now_ms >= run.started_ms + GANG_TIMEOUT_MS => "alone",
                    _ => continue,
                };
                state.end(index, how, now_ms);
                has_ended = true;
            }
        }
        drop(state);
        if has_ended {
            self.changed.notify_all();
        }
    }

    /// Serves the provider's list of machines, of which none moves or goes down here.
    pub fn machines(&self, request: &Request) -> Reply {
        if request.method != "GET" || request.path != "/-/machines" {
            return Reply::Answer(409, json!({"reason": "busy"}).to_string());
        }
        let state = self.lock();
        let machines = state.workers.iter().enumerate().map(|(number, worker)| {
            json!({
                "machine": format!("m-{number:05x}"), "pool": self.service,
                "state": if worker.is_up { "up" } else { "down" }, "zone": "zapopan",
                "labels": ["a", worker.rack],
                "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem_mb, "gpu": 0},
                "id": if worker.is_up { worker.id.as_str() } else { "" },
            })
        });
        let machines: Vec<Value> = machines.collect();
        Reply::Answer(200, json!({"machines": machines, "next_token": null}).to_string())
    }
}

impl State {
    /// Returns whether a start order gets no answer and is carried out late.
    fn is_late(&mut self, call: &Value) -> bool {
        let task = text(call, "task");
        let job = task.split('.').next().unwrap_or_default();
        let left = self.late_orders.get_mut(job).filter(|left| **left > 0);
        left.map(|left| *left -= 1).is_some()
    }

    pub fn note(&mut self, now_ms: u64, line: &str) {
        self.record.push(format!("{now_ms:>7} ms  {line}"));
    }

    fn start(
        &mut self,
        number: usize,
        call: &Value,
        token: u64,
        clock_ms: u64,
        now_ms: u64,
    ) -> Result<(), &'static str> {
        let (task, attempt) = (text(call, "task"), call["attempt"].as_u64().unwrap_or(0));
        let deadline_ms = call["deadline_ms"].as_u64().unwrap_or(0);
        let outcome = self.try_start(number, &task, attempt, deadline_ms, clock_ms, now_ms);
        let told = outcome.map_or_else(|reason| format!("409 {reason}"), |()| "200".into());
        let line = format!(
            "start {task} attempt {attempt} token {token} at {}: {told}",
            self.workers[number].id
        );
        self.note(now_ms, &line);
        outcome
    }

    fn try_start(
        &mut self,
        number: usize,
        task: &str,
        attempt: u64,
        deadline_ms: u64,
        clock_ms: u64,
        now_ms: u64,
    ) -> Result<(), &'static str> {
        if deadline_ms <= clock_ms {
            return Err("late");
        }
        let worker = &mut self.workers[number];
        worker.deadline_ms = worker.deadline_ms.max(deadline_ms.min(clock_ms + MAX_HOLD_MS));
        let is_there =
            |index: &usize| self.runs[*index].task == task && self.runs[*index].attempt == attempt;
        if worker.running.iter().any(is_there) {
            return Ok(());
        }
        if worker.closed.get(task).is_some_and(|closed| attempt <= *closed) {
            return Err("old");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default().to_string();
        let mut number_of = |_: &str| parts.next().and_then(|part| part.parse::<usize>().ok());
        let (_, step, index) = (number_of("occurrence"), number_of("step"), number_of("task"));
        let (step, index) = (step.unwrap_or(0), index.unwrap_or(0));
        let Some(spec) = self.jobs.get(&job).and_then(|steps| steps.get(step)) else {
            return Err("room");
        };
        let used = worker.running.iter().fold((0, 0), |(cpu, mem), other| {
            let other = &self.runs[*other];
            let spec = &self.jobs[&other.job][other.step];
            (cpu + spec.cpu, mem + spec.mem_mb)
        });
        if used.0 + spec.cpu > worker.cpu || used.1 + spec.mem_mb > worker.mem_mb {
            return Err("room");
        }
        worker.running.push(self.runs.len());
        self.runs.push(Run {
            task: task.to_string(),
            job,
            step,
            index,
            attempt,
            worker: number,
            started_ms: now_ms,
            working_ms: (!spec.gang).then_some(now_ms),
            ended: None,
            noted_ms: None,
            has_lapsed_between: false,
        });
        Ok(())
    }

    fn end(&mut self, index: usize, how: &'static str, now_ms: u64) {
        let run = &mut self.runs[index];
        run.ended = Some((now_ms, how));
        let worker = &mut self.workers[run.worker];
        worker.running.retain(|other| *other != index);
        worker.finished.push((worker.next_number, index));
        worker.next_number += 1;
        let closed = worker.closed.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.attempt);
        let line = format!("end of {} attempt {} at {}: {how}", run.task, run.attempt, worker.id);
        self.note(now_ms, &line);
    }
}

/// Returns the name of a task without its index: of one step of one occurrence.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(task, |(step, _)| step).to_string()
}

/// Spreads numbers evenly.
fn mix(number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

fn text(call: &Value, name: &str) -> String {
    call[name].as_str().unwrap_or_default().to_string()
}
