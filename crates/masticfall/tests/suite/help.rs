//! Help, completions, usage errors and exit codes.

use rstest::rstest;

use crate::cli::{run, stdout, transcript};

#[test]
fn help_lists_the_subcommands() {
    let text = stdout(&run(&["--help"]));
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
#[case::no_arguments(&[])]
fn usage_error_exits_with_code_2(#[case] args: &[&str]) {
    assert_eq!(run(args).status.code(), Some(2));
}

#[test]
fn completions_are_printed() {
    assert!(stdout(&run(&["completions", "bash"])).contains("_masticfall"));
}

#[test]
fn unreachable_entry_process_is_reported_with_its_cause() {
    let output = run(&["--entry", "127.0.0.1:1", "members"]);
    let text = transcript(&output);
    assert!(text.starts_with("exit 1\nerror: no answer from the entry process at 127.0.0.1:1\n"));
    assert!(text.contains("because:"), "{text}");
}
