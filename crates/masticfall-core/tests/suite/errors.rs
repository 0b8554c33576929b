//! The response for each error kind.

use masticfall_core::error::{ErrorKind, RunState};
use rstest::rstest;
use strum::IntoEnumIterator;

#[test]
fn every_kind_has_an_error_status() {
    for kind in ErrorKind::iter() {
        let status = kind.response().status;
        assert!((400..600).contains(&status), "{kind}: {status}");
    }
}

#[rstest]
#[case(ErrorKind::AnswerLost)]
#[case(ErrorKind::DeadlineUnknown)]
#[case(ErrorKind::DuplicateRunning)]
#[case(ErrorKind::PlatformUnknown)]
fn kinds_after_dispatch_never_say_not_run(#[case] kind: ErrorKind) {
    assert_eq!(kind.response().run, RunState::Unknown);
}
