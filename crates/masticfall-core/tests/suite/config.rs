//! The configuration reader returns a model or errors for any text, and never panics.

use masticfall_core::config::read_fleet;
use proptest::prelude::*;
use rstest::rstest;

const VALID: &str = "[fleet]\nname = x\n[data_centre a]\n[service web]\n[pool p]\nservice = web\n\
                    [queue q]\nservice = web\n[team t]\nlimit = 3\n";

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in "[\\[\\]a-z_=;#: \n\"\\\\0-9]{0,400}") {
        drop(read_fleet(&text));
    }

    #[test]
    fn damaged_document_is_read_or_refused(at in 0..VALID.len(), with in "[\\PC\n]{0,3}") {
        let mut text = VALID.to_string();
        text.insert_str(at, &with);
        if let Err(errors) = read_fleet(&text) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|error| !error.message.is_empty()));
        }
    }
}

#[test]
fn good_document_is_read() {
    assert_eq!(read_fleet(VALID).unwrap().teams.len(), 1);
}

#[rstest]
#[case("name = x\n", "name = x\nnmae = y\n", "unknown key; did you mean `name`?")]
#[case(
    "service = web\n[team",
    "service = wbe\n[team",
    "`wbe` is not configured; did you mean `web`?"
)]
#[case("limit = 3", "limit = -3", "`-3` is not allowed; allowed: a whole number from 0")]
#[case("[data_centre a]\n", "", "at least one [data_centre NAME] is required")]
#[case("[team t]", "[team t t]", "a name is 1 to 64 letters")]
#[case("[pool p]", "[pool p]\n[pool p]", "this section stands twice")]
fn fault_is_named(#[case] part: &str, #[case] replacement: &str, #[case] expected: &str) {
    let errors = read_fleet(&VALID.replace(part, replacement)).unwrap_err();
    let text: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(text.iter().any(|line| line.contains(expected)), "{text:#?}");
}
