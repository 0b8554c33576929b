//! A failing target is ejected after a few failures and used again once it recovers.

use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use masticfall_core::id::{DataCentre, InstanceName, Name, PoolName};
use masticfall_core::instance::{InstanceFacts, InstanceKind};
use masticfall_core::routing::{EJECT_AFTER_FAILURES, EJECTION_MS};
use masticfall_entry::dispatch::{Call, admit, run};
use masticfall_entry::{RunningEntry, Settings};
use masticfall_standin::{Cloud, TargetServer};

use crate::lab::{call, fleet_text};

/// Starts an entry process in front of HTTP targets.
async fn start(targets: &[TargetServer]) -> RunningEntry {
    let cloud = Cloud::new(1);
    for (index, target) in targets.iter().enumerate() {
        let facts = InstanceFacts {
            kind: InstanceKind::Target,
            data_centre: DataCentre::from("a"),
            rack: Name::from("r"),
            address: Name::from(target.address.to_string()),
            cores: 1,
            memory_mib: 1,
            accelerators: 0,
        };
        let name = InstanceName::from(format!("t{index}"));
        cloud.add_instance(name, facts, PoolName::from("web"));
    }
    let settings = Settings::builder(DataCentre::from("a")).peer_secret("secret").build();
    let entry = masticfall_entry::start(settings, cloud.platform(&DataCentre::from("a"))).await;
    let entry = entry.unwrap();
    let apply = masticfall_entry::ops::apply_config::ApplyConfig {
        expected: masticfall_core::id::Revision(0),
        text: Name::from(fleet_text(100, 100)),
        by: Name::from("ana"),
        note: Name::from("test"),
    };
    masticfall_entry::ops::apply_config::run(&entry.node, apply).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    entry
}

async fn send(entry: &RunningEntry, number: u32) -> u16 {
    let request = Call {
        request_id: Name::from(format!("r{number}")),
        method: Method::GET,
        path: "/ok".to_string(),
        ..call("red")
    };
    let admitted = admit(&entry.node, &request).await.unwrap();
    match run(&entry.node, &request, admitted).await {
        Ok(response) => {
            let status = response.status().as_u16();
            response.into_body().collect().await.unwrap();
            status
        }
        Err(refusal) => refusal.kind.response().status,
    }
}

#[tokio::test]
async fn target_that_answers_errors_is_ejected_and_used_again() {
    let mut targets = Vec::new();
    for _ in 0..4 {
        targets.push(TargetServer::start().await.unwrap());
    }
    let entry = start(&targets).await;
    targets[0].record.lock().failing = true;
    let mut errors = 0;
    for number in 0..200 {
        errors += u32::from(send(&entry, number).await >= 500);
    }
    assert_eq!(errors, EJECT_AFTER_FAILURES, "no request fails after the ejection");
    targets[0].record.lock().failing = false;
    let before = targets[0].record.lock().requests;
    tokio::time::sleep(Duration::from_millis(EJECTION_MS + 100)).await;
    for number in 200..300 {
        assert_eq!(send(&entry, number).await, 200);
    }
    assert!(targets[0].record.lock().requests > before, "it takes requests again");
    entry.stop().await;
}
