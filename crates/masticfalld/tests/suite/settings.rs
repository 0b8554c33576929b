//! Settings and start: clear errors, all at once.

use std::net::TcpListener;
use std::process::{Output, Stdio};

use crate::fleet::{free_address, masticfalld, settings_text, stderr_of, write_settings};

fn check(text: &str) -> Output {
    let path = write_settings(text);
    let output = masticfalld(&path).arg("--check").output().unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test]
fn good_settings_pass_the_check() {
    let output = check(&settings_text("dc-a", free_address(), free_address()));
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stdout).contains(": ok"));
}

#[test]
fn all_faults_are_listed_with_place_and_what_is_allowed() {
    let output = check(
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

#[test]
fn port_in_use_is_named_with_its_setting() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let text = settings_text("dc-a", taken.local_addr().unwrap(), free_address());
    let path = write_settings(&text);
    let mut child = masticfalld(&path).stderr(Stdio::piped()).spawn().unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    let text = stderr_of(&mut child);
    assert!(text.contains("cannot listen on"), "{text}");
    assert!(text.contains("(setting `http`)"), "{text}");
    std::fs::remove_file(path).unwrap();
}
