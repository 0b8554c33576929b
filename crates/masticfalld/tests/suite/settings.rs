//! Errors in the settings and at startup are clear, and all reported at once.

use std::net::{SocketAddr, TcpListener};
use std::process::{Output, Stdio};
use std::time::Duration;

use http::Method;
use masticfall::client::ApiClient;

use crate::fleet::{Fleet, free_address, masticfalld, settings_text, stderr_of, write_settings};

fn check_settings(text: &str) -> Output {
    let path = write_settings(text);
    let output = masticfalld(&path).arg("--check").output().unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test]
fn good_settings_pass_the_check() {
    let output = check_settings(&settings_text("dc-a", free_address(), free_address()));
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains(": ok"));
}

#[test]
fn all_errors_are_listed_with_line_and_allowed_values() {
    let output = check_settings(
        "[entry]\nhttp = somewhere\npeer = 127.0.0.1:7711\nplatfrom = 127.0.0.1:7700\n\
         peer_secret = short\nleave_delay_ms = 1000000\n",
    );
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for expected in [
        "line 2: [entry] http: `somewhere` is not allowed; allowed: an IP number and a port",
        "[entry] data_centre: this key is required",
        "[entry] platform: this key is required",
        "line 4: [entry] platfrom: unknown key; did you mean `platform`?",
        "line 5: [entry] peer_secret: has 5 characters; allowed: 16 or more",
        "line 6: [entry] leave_delay_ms: `1000000` is not allowed; allowed: a whole number from 0",
    ] {
        assert!(text.contains(expected), "`{expected}` is not in:\n{text}");
    }
}

#[test]
fn missing_file_and_missing_argument_are_usage_errors() {
    let output = masticfalld("no/such/file.ini".as_ref()).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot read the settings"));
}

/// Returns the body of `/readyz` from a process with the given settings.
async fn readiness(settings: &str, http: SocketAddr) -> String {
    let path = write_settings(settings);
    let mut child = masticfalld(&path).stderr(Stdio::null()).spawn().unwrap();
    let client = ApiClient::new(http.to_string(), "");
    let mut body = String::new();
    for _ in 0..60 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let sent = client.send(Method::GET, "/readyz", &[], "").await;
        body = sent.map(|answer| answer.text()).unwrap_or_default();
        if body.contains("platform") || body.contains("data centre") {
            break;
        }
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    body
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_reports_an_unreachable_platform() {
    let (http, platform) = (free_address(), free_address());
    let body = readiness(&settings_text("dc-a", http, platform), http).await;
    assert!(body.contains(&format!("platform {platform} not reached")), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn readiness_reports_an_unknown_data_centre() {
    let fleet = Fleet::start().await;
    let http = free_address();
    let body = readiness(&settings_text("dc-x", http, fleet.platform), http).await;
    assert!(body.contains("data centre `dc-x` is not configured"), "{body}");
}

#[test]
fn port_in_use_is_named_with_its_setting() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = settings_text("dc-a", listener.local_addr().unwrap(), free_address());
    let path = write_settings(&text);
    let mut child = masticfalld(&path).stderr(Stdio::piped()).spawn().unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let text = stderr_of(&mut child);
    assert!(text.contains("cannot listen on"), "{text}");
    assert!(text.contains("(setting `http`)"), "{text}");
    std::fs::remove_file(path).unwrap();
}
