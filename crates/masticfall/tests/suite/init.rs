//! The questionnaire reproduces the two deployments of the brief.

use rstest::rstest;

use crate::cli::{masticfall, repository, shown, stdout, temporary};

#[rstest]
#[case("arriaga")]
#[case("hobart")]
fn committed_answers_give_the_committed_configuration(#[case] fleet: &str) {
    let answers = repository(&format!("examples/{fleet}/answers.ini"));
    let committed = repository(&format!("examples/{fleet}/fleet.ini"));
    let generated = stdout(&masticfall(&["init", "--answers", &answers]));
    assert_eq!(generated, std::fs::read_to_string(&committed).unwrap());
    assert!(stdout(&masticfall(&["config", "check", &committed])).contains(": ok"));
}

#[test]
fn faults_in_answers_are_listed_at_once() {
    let path = temporary(
        "answers.ini",
        "[fleet]\nname = x\n[service a]\nopen = perhaps\n[team t]\nlimt = 3\n",
    );
    let text = shown(&masticfall(&["init", "--answers", &path])).replace(&path, "FILE");
    insta::assert_snapshot!(text);
}
