//! `init`: generates the example configurations, and reports faulty answers.

use rstest::rstest;

use crate::cli::{repository_path, run, stdout, transcript, write_temp_file};

#[rstest]
#[case("arriaga")]
#[case("hobart")]
fn committed_answers_give_the_committed_configuration(#[case] fleet: &str) {
    let answers = repository_path(&format!("examples/{fleet}/answers.ini"));
    let committed = repository_path(&format!("examples/{fleet}/fleet.ini"));
    let generated = stdout(&run(&["init", "--answers", &answers]));
    assert_eq!(generated, std::fs::read_to_string(&committed).unwrap());
    assert!(stdout(&run(&["config", "check", &committed])).contains(": ok"));
}

#[test]
fn faults_in_answers_are_listed_at_once() {
    let path = write_temp_file(
        "answers.ini",
        "[fleet]\nname = x\n[service a]\nopen = perhaps\n[team t]\nlimt = 3\n",
    );
    let text = transcript(&run(&["init", "--answers", &path])).replace(&path, "FILE");
    insta::assert_snapshot!(text);
}
