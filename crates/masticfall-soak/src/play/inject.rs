//! Faults that befall any process, link or worker, and the end of all faults.

use std::io;
use std::time::Duration;

use masticfall_adapter_serve::write_config;
use masticfall_core::id::JobId;
use masticfall_standin::fleet::StoreMode;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use tokio::time::{Instant, sleep};

use super::{
    CONFIG_DEADLINE_MS, CRASH_PROBABILITY, EXIT_TIMEOUT_MS, KEY, Plan, SILENCE_PROBABILITY,
    TOGGLED_KEY, Testbed, WORKERS,
};
use crate::load::restart_plan;
use crate::process::Process;
use crate::proxy::{LinkMode, Proxy, silence_one};

impl Testbed {
    /// Injects faults, which may overlap, until the duration has passed.
    pub(super) async fn inject(&self, plan: &Plan) -> io::Result<Vec<(u64, String)>> {
        let mut random = StdRng::seed_from_u64(plan.seed);
        // Of their own, so that the other faults of kept seeds stay as they were.
        let mut crash_random = StdRng::seed_from_u64(plan.seed ^ 0xc4a5);
        let mut silence_random = StdRng::seed_from_u64(plan.seed ^ 0x51e7);
        let started = Instant::now();
        let mut version = 1;
        let mut faults = Vec::new();
        while started.elapsed() < Duration::from_millis(plan.length_ms) {
            sleep(Duration::from_millis(random.random_range(150..900))).await;
            let fault = self.inject_one(&mut random, &mut version).await?;
            faults.push((started.elapsed().as_millis() as u64, fault));
            if crash_random.random_bool(CRASH_PROBABILITY) {
                let worker = crash_random.random_range(0..WORKERS);
                let is_dark = crash_random.random_bool(0.3);
                self.world.crash_worker(worker, restart_plan(is_dark));
                let fault = format!("worker {worker} crashed");
                faults.push((started.elapsed().as_millis() as u64, fault));
            }
            if silence_random.random_bool(SILENCE_PROBABILITY) {
                let fault = silence_one(&self.store_links, &self.worker_links, &mut silence_random);
                faults.push((started.elapsed().as_millis() as u64, fault));
            }
            self.check_withdrawn_key().await;
        }
        Ok(faults)
    }

    async fn inject_one(&self, random: &mut StdRng, version: &mut u64) -> io::Result<String> {
        let index = random.random_range(0..self.processes.len());
        let worker = random.random_range(0..WORKERS);
        let link_mode = match random.random_range(0..6) {
            0 => LinkMode::Delayed(random.random_range(20..300)),
            1 => LinkMode::DropToServer,
            2 => LinkMode::DropToClient,
            3 => LinkMode::Blackhole,
            4 => LinkMode::Reset,
            _ => LinkMode::Open,
        };
        let signal = |signal| self.processes[index].lock().signal(signal);
        Ok(match random.random_range(0..12) {
            0 => {
                signal(Signal::KILL);
                format!("p{index} killed")
            }
            1 => {
                signal(Signal::TERM);
                format!("p{index} sent SIGTERM")
            }
            2 => {
                signal(Signal::STOP);
                format!("p{index} suspended")
            }
            3 => {
                for process in &self.processes {
                    process.lock().signal(Signal::CONT);
                }
                "all suspended processes resumed".to_string()
            }
            4 | 5 => {
                for process in &self.processes {
                    process.lock().start()?;
                }
                "all exited processes restarted".to_string()
            }
            6 | 7 => {
                self.store_links[index].set(link_mode);
                format!("link from p{index} to the store: {link_mode:?}")
            }
            8 => {
                for link in &self.worker_links[worker] {
                    link.set(link_mode);
                }
                format!("links to worker {worker}: {link_mode:?}")
            }
            9 => {
                let modes = [StoreMode::Up, StoreMode::Unavailable, StoreMode::DelaysWrites];
                let mode = modes[random.random_range(0..modes.len())];
                self.world.set_store(mode);
                format!("store: {mode:?}")
            }
            10 => {
                self.world.set_delayed_starts(random.random_range(0..3) * 9);
                "some task starts delayed".to_string()
            }
            _ => {
                *version += 1;
                self.write_config(*version, *version % 2 == 1).await?;
                format!("configuration {version} written")
            }
        })
    }

    /// Writes a configuration with or without the toggled key. The operator's write
    /// succeeds even while the store fails the processes' calls.
    async fn write_config(&self, version: u64, has_toggled_key: bool) -> io::Result<()> {
        let keys: &[&str] = if has_toggled_key { &[KEY, TOGGLED_KEY] } else { &[KEY] };
        let mode = self.world.store_mode();
        self.world.set_store(StoreMode::Up);
        let written = write_config(&self.world, version, "127.0.0.1", keys).await;
        self.world.set_store(mode);
        *self.withdrawn_ms.lock() = (!has_toggled_key).then(|| self.world.now_ms());
        written.map_err(io::Error::other)
    }

    /// Returns whether a withdrawn key was not checked yet and now can be.
    pub(super) fn is_key_check_due(&self) -> bool {
        let withdrawn_ms = *self.withdrawn_ms.lock();
        withdrawn_ms.is_some_and(|at_ms| self.world.now_ms() >= at_ms + CONFIG_DEADLINE_MS)
            && self.world.store_mode() == StoreMode::Up
            && self.store_links.iter().any(|link| link.mode() == LinkMode::Open)
    }

    /// Checks that every process rejects a withdrawn key, including processes that
    /// cannot reach the store while another one can.
    pub(super) async fn check_withdrawn_key(&self) {
        let Ok(_no_owner_faults) = self.owner_faults.try_lock() else { return };
        if !self.is_key_check_due() {
            return;
        }
        let is_open = |link: &Proxy| link.mode() == LinkMode::Open;
        *self.withdrawn_ms.lock() = None;
        // No other fault is injected in the meantime.
        sleep(Duration::from_millis(CONFIG_DEADLINE_MS)).await;
        for has_open_link in [true, false] {
            for (process, link) in self.processes.iter().zip(&self.store_links) {
                if is_open(link) == has_open_link {
                    self.check_key(process).await;
                }
            }
            sleep(Duration::from_millis(CONFIG_DEADLINE_MS)).await;
        }
    }

    async fn check_key(&self, process: &Mutex<Process>) {
        let (address, name) = {
            let process = process.lock();
            (process.callers, process.name.clone())
        };
        let probe = JobId::from("ffffffffffffffff");
        let phase = self.client(TOGGLED_KEY).phase(address, &probe).await;
        if phase == Some(None) {
            self.observed.lock().violations.push(format!("{name} accepts a withdrawn key"));
        }
    }

    /// Ends all faults and starts the processes that have exited.
    pub(super) async fn recover(&self) -> io::Result<()> {
        self.world.set_store(StoreMode::Up);
        self.world.set_delayed_starts(0);
        for link in self.store_links.iter().chain(self.worker_links.iter().flatten()) {
            // Close stalled connections.
            link.set(LinkMode::Reset);
        }
        sleep(Duration::from_millis(100)).await;
        for link in self.store_links.iter().chain(self.worker_links.iter().flatten()) {
            link.set(LinkMode::Open);
        }
        for process in &self.processes {
            process.lock().signal(Signal::CONT);
        }
        sleep(Duration::from_millis(EXIT_TIMEOUT_MS)).await;
        for process in &self.processes {
            process.lock().start()?;
        }
        Ok(())
    }
}
