//! Submissions that reach the cell's owner by notices while the store's feed is silent.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use indexmap::IndexMap;
use masticfall_core::id::{JobId, Name};
use masticfall_entry::fleet::peers::{PeerCalls, PeerRow, receive_submissions};
use masticfall_entry::fleet::relay::FrameChannel;
use masticfall_entry::fleet::submissions::Notice;
use masticfall_entry::fleet::{Fleet, FleetSettings, RunningFleet, start};
use masticfall_platform::error::UnavailableSnafu;
use masticfall_platform::fleet::{FollowOutcome, FollowRequest};
use masticfall_platform::operation;
use masticfall_standin::fleet::World;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::fleet_world::{
    WORKERS, assert_invariants, config, is_owner, job, status, submit, unreachable_peers,
};

/// Processes by their tokens, and whether the feed of jobs is silent.
#[derive(Default)]
struct Net {
    fleets: Mutex<IndexMap<Name, Arc<Fleet>>>,
    is_feed_silent: Mutex<bool>,
}

impl Net {
    fn launch(
        self: &Arc<Self>,
        world: &Arc<World>,
        name: &str,
        notify_owner: bool,
    ) -> RunningFleet {
        let mut platform = world.platform(name);
        let (follow, net) = (Arc::clone(&platform.follow), Arc::clone(self));
        platform.follow = operation(move |request: FollowRequest| {
            let (follow, net) = (Arc::clone(&follow), Arc::clone(&net));
            async move {
                while request.table == "jobs" && *net.is_feed_silent.lock() {
                    sleep(Duration::from_millis(10)).await;
                }
                follow(request).await
            }
        });
        let net = Arc::clone(self);
        let connect_owner = move |peer: PeerRow| {
            let fleet = net.fleets.lock().get(&peer.token).cloned();
            Box::pin(async move {
                let Some(fleet) = fleet else {
                    return UnavailableSnafu { reason: "no process has this token" }.fail();
                };
                let (outgoing, at_owner) = mpsc::channel(4);
                let (to_sender, incoming) = mpsc::channel(4);
                let channel = FrameChannel { outgoing: to_sender, incoming: at_owner };
                drop(tokio::spawn(receive_submissions(fleet, channel)));
                Ok(FrameChannel { outgoing, incoming })
            }) as BoxFuture<'static, _>
        };
        let calls = PeerCalls { connect_owner: Arc::new(connect_owner), ..unreachable_peers() };
        let clock = Arc::clone(world);
        let settings = FleetSettings { notify_owner, ..FleetSettings::local(name, "dc") };
        let process = start(settings, platform, Arc::new(move || clock.now_ms()), calls);
        let token = Name::clone(&process.fleet.token);
        self.fleets.lock().insert(token, Arc::clone(&process.fleet));
        process
    }
}

/// Submits six jobs to two processes while the feed of jobs is silent for a second; returns
/// how many tasks have started at its end.
async fn started_while_feed_is_silent(notify_owner: bool) -> usize {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let net = Arc::new(Net::default());
    let processes: Vec<RunningFleet> =
        ["a", "b", "c"].iter().map(|name| net.launch(&world, name, notify_owner)).collect();
    // All processes know each other from their second reading of the list of peers.
    sleep(Duration::from_secs(14)).await;
    *net.is_feed_silent.lock() = true;
    // A request that waits already still gets the first change.
    submit(&world, &processes[0].fleet, &job(99)).await.expect("accepted");
    sleep(Duration::from_millis(50)).await;
    let ids: Vec<JobId> = (1..=6).map(job).collect();
    for (number, id) in ids.iter().enumerate() {
        submit(&world, &processes[number % 3].fleet, id).await.expect("accepted");
    }
    sleep(Duration::from_secs(1)).await;
    let started = world.record().iter().filter(|run| ids.contains(&run.task.job)).count();
    *net.is_feed_silent.lock() = false;
    sleep(Duration::from_secs(6)).await;
    let all: Vec<JobId> = ids.into_iter().chain([job(99)]).collect();
    assert_invariants(&world, &all, &all);
    started
}

/// While the store compacts its history its feeds are silent for a second. New jobs must not
/// wait for it.
#[tokio::test(start_paused = true)]
async fn new_jobs_start_while_the_feed_is_silent() {
    let with_notices = started_while_feed_is_silent(true).await;
    assert!(with_notices >= 18, "{with_notices} tasks of the first steps have started");
    // The case is what it claims to be: without notices nothing starts.
    assert_eq!(started_while_feed_is_silent(false).await, 0);
}

/// A notice may be delivered late by a connection that was held up. The row of a job that ended
/// under an earlier owner must not run again.
#[tokio::test(start_paused = true)]
async fn late_notice_of_an_ended_job_is_ignored() {
    let world = World::new(WORKERS, "p");
    world.set_config(config(1, &["key"]));
    let net = Arc::new(Net::default());
    let mut processes: Vec<RunningFleet> =
        ["a", "b"].iter().map(|name| net.launch(&world, name, true)).collect();
    sleep(Duration::from_secs(3)).await;
    let id = job(1);
    submit(&world, &processes[0].fleet, &id).await.expect("accepted");
    let row = read_job_row(&world, &id).await;
    sleep(Duration::from_secs(5)).await;
    let owner = processes.iter().position(is_owner).expect("an owner");
    processes.remove(owner).crash();
    sleep(Duration::from_secs(5)).await;
    assert!(is_owner(&processes[0]), "the other process took over");
    let (to_owner, at_owner) = mpsc::channel(4);
    let (acknowledge, _acknowledged) = mpsc::channel(4);
    let channel = FrameChannel { outgoing: acknowledge, incoming: at_owner };
    drop(tokio::spawn(receive_submissions(Arc::clone(&processes[0].fleet), channel)));
    let frame = masticfall_wire::encode(&vec![row]).expect("encodable");
    to_owner.send(frame).await.expect("the owner receives");
    sleep(Duration::from_secs(5)).await;
    assert_invariants(&world, std::slice::from_ref(&id), std::slice::from_ref(&id));
    assert!(status(&processes[0].fleet, &id).await.is_ok());
}

async fn read_job_row(world: &Arc<World>, id: &JobId) -> Notice {
    let platform = world.platform("reader");
    let request = FollowRequest { table: "jobs", after: 0, wait_ms: 0 };
    let Ok(FollowOutcome::Changes(rows, _)) = (platform.follow)(request).await else {
        panic!("the store has the rows of jobs");
    };
    let row = rows.into_iter().find(|row| *row.key == *id.as_str()).expect("the row of the job");
    let value = row.value.expect("a value");
    Notice { key: row.key, value, version: row.version, age_ms: 0 }
}
