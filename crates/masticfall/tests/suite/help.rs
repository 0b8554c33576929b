//! Usage: help, completions and exit codes.

use rstest::rstest;

use crate::cli::{masticfall, shown, stdout};

#[test]
fn help_lists_the_subcommands() {
    let text = stdout(&masticfall(&["--help"]));
    let commands: Vec<&str> = text
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    insta::assert_snapshot!(commands.join(" "));
}

#[rstest]
#[case::unknown_command(&["reboot"])]
#[case::missing_argument(&["config", "apply"])]
#[case::bad_number(&["config", "apply", "f.ini", "--expect", "x"])]
#[case::nothing(&[])]
fn wrong_usage_ends_with_two(#[case] args: &[&str]) {
    assert_eq!(masticfall(args).status.code(), Some(2));
}

#[test]
fn completions_are_printed() {
    assert!(stdout(&masticfall(&["completions", "bash"])).contains("_masticfall"));
}

#[test]
fn missing_entry_process_is_said_in_a_sentence_with_its_cause() {
    let output = masticfall(&["--entry", "127.0.0.1:1", "members"]);
    let text = shown(&output);
    assert!(text.starts_with("exit 1\nerror: no answer from the entry process at 127.0.0.1:1\n"));
    assert!(text.contains("because:"), "{text}");
}
