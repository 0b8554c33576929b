//! Review of a configuration: each finding, its place and its hint; differences by section and key.

use masticfall_core::config::compare::{Change, ChangeKind, changes};
use masticfall_core::config::review::{Finding, PoolInstances, Severity, review};
use masticfall_core::prelude::*;
use rstest::rstest;

const HASHES: [char; 3] = ['a', 'b', 'c'];

/// A configuration without findings.
fn clean() -> String {
    let hash = |at: usize| HASHES[at].to_string().repeat(64);
    format!(
        "[fleet]\nname = x\nspare_pool = spare\n[data_centre a]\nnear = b\n[data_centre b]\n\
         [service web]\nslots = 8\n[pool web]\nservice = web\nmin_available_percent = 50\n\
         [pool workers]\nmin_available_percent = 50\n[pool spare]\nmin_available_percent = 0\n\
         [queue now]\nservice = web\n[queue later]\nclass = long\npool = workers\n\
         [team red]\nlimit = 16\n[key red-1]\nteam = red\nhash = {}\n\
         [operator ana]\nrole = change\nhash = {}\n[operator bob]\nhash = {}\n",
        hash(0),
        hash(1),
        hash(2)
    )
}

fn instances(targets: u32, workers: u32) -> IndexMap<PoolName, PoolInstances> {
    let mut pools = IndexMap::new();
    pools.insert("web".into(), PoolInstances { targets, workers: 0 });
    pools.insert("workers".into(), PoolInstances { targets: 0, workers });
    pools
}

fn place(finding: &Finding) -> String {
    let Finding { severity, section, key, .. } = finding;
    format!("{severity} [{section}] {key}")
}

/// A finding about a sound configuration would make operators ignore all findings.
#[test]
fn clean_configuration_has_no_findings() {
    assert_eq!(review(&clean(), None), []);
    assert_eq!(review(&clean(), Some(&instances(2, 2))), []);
    // Below the default deadline of a queue.
    let text = clean().replace("name = x", "name = x\nmax_deadline_ms = 5000");
    assert_eq!(review(&text, None), []);
}

/// Each of these is accepted by the reader, or refused only once it is sent.
#[rstest]
#[case::unread("slots = 8", "slots = many", "error [service web] slots")]
#[case::unknown("slots = 8", "slotss = 8", "error [service web] slotss")]
#[case::key_of_no_team("team = red", "team = rot", "error [key red-1] team")]
#[case::missing("name = x\n", "", "error [fleet] name")]
#[case::service_without_pool("service = web\nmin", "min", "error [queue now] service")]
#[case::targets_as_workers("pool = workers", "pool = web", "error [queue later] pool")]
#[case::spare_as_workers("pool = workers", "pool = spare", "warning [queue later] pool")]
#[case::pool_of_requests("[queue now]", "[queue now]\npool = workers", "warning [queue now] pool")]
#[case::service_of_jobs(
    "class = long",
    "class = long\nservice = web",
    "warning [queue later] service"
)]
#[case::deadline(
    "[queue now]",
    "[queue now]\ndeadline_ms = 31000",
    "error [queue now] deadline_ms"
)]
#[case::open_to_some(
    "[queue now]",
    "[queue now]\nopen = true\nteams = red",
    "warning [queue now] teams"
)]
#[case::teams_without_keys(
    "[queue now]",
    "[team x]\nlimit = 1\n[queue now]\nteams = x",
    "warning [queue now] teams"
)]
#[case::team_without_keys("[queue now]", "[team x]\nlimit = 1\n[queue now]", "warning [team x] ")]
#[case::limit_below_a_task("limit = 16", "limit = 0", "error [team red] limit")]
#[case::same_operator("cccc", "bbbb", "error [operator bob] hash")]
#[case::no_operator("role = change", "role = read", "error [fleet] ")]
#[case::unused_service("[pool web]", "[service s]\n[pool web]", "warning [service s] ")]
#[case::unused_pool("[pool web]", "[pool p]\n[pool web]", "warning [pool p] ")]
#[case::no_maintenance(
    "_percent = 50\n[pool workers]",
    "_percent = 100\n[pool workers]",
    "warning [pool web] min_available_percent"
)]
#[case::near_itself("near = b", "near = a", "warning [data_centre a] near")]
fn finding_has_its_place_and_a_hint(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    assert!(clean().contains(part));
    let text = clean().replace(part, replacement);
    let findings = review(&text, None);
    let found = findings.iter().find(|finding| place(finding) == expected);
    let found = found.unwrap_or_else(|| panic!("{findings:#?}"));
    assert!(!found.message.is_empty() && !found.hint.is_empty(), "{found:?}");
    let line = text.lines().nth(found.line - 1).unwrap_or_default();
    assert!(line.contains(&found.key) || line == format!("[{}]", found.section), "{found:?}");
}

/// A team that no queue admits gets no answer, and two keys with one hash belong to one team.
#[test]
fn shadowed_keys_and_excluded_teams_are_found() {
    let key = format!("[key red-2]\nteam = blue\nhash = {}\n", "a".repeat(64));
    let text = clean()
        .replace("[queue now]", "[queue now]\nteams = red")
        .replace("class = long", "class = long\nteams = red");
    let text = format!("{text}[team blue]\nlimit = 1\n{key}");
    let findings: Vec<String> = review(&text, None).iter().map(place).collect();
    assert_eq!(findings, ["warning [team blue] ", "error [key red-2] hash"]);
}

/// What the running fleet lacks is known only with its instances.
#[rstest]
#[case::no_workers(2, 0, "error [queue later] pool")]
#[case::no_targets(0, 2, "error [queue now] service")]
#[case::no_budget(1, 2, "warning [pool web] min_available_percent")]
#[case::limit_below_share(4, 2, "warning [team red] limit")]
fn running_fleet_is_compared(#[case] targets: u32, #[case] workers: u32, #[case] expected: &str) {
    let findings = review(&clean(), Some(&instances(targets, workers)));
    assert_eq!(findings.iter().map(place).collect::<Vec<_>>(), [expected]);
    assert!(findings.iter().all(|finding| finding.line > 0 && !finding.hint.is_empty()));
}

/// Errors come in line order, and syntax errors have a place as well.
#[test]
fn errors_are_in_line_order() {
    let findings = review("[fleet]\nx = 1\ny = 2\n", None);
    let lines: Vec<usize> = findings.iter().map(|finding| finding.line).collect();
    assert!(lines.is_sorted() && lines.len() >= 4, "{findings:?}");
    assert!(findings.iter().all(|finding| finding.severity == Severity::Error));
    assert!(review("[fleet\n", None)[0].line > 0);
}

/// Operators must see what a file changes in the configuration in force, whatever its order
/// and spacing.
#[test]
fn changes_are_listed_by_section_and_key() {
    let old = "[team red]\nlimit = 3\nshare = 1\n[pool p]\n[key k]\nteam = red\n";
    let new = "[data_centre a]\n[team red]\nshare=1\nlimit = 4\n[key k]\nteam = red\nhash = x\n";
    let change = |kind, line, place: (&str, &str), from: &str, to: &str| Change {
        kind,
        line,
        section: place.0.to_string(),
        key: place.1.to_string(),
        from: from.to_string(),
        to: to.to_string(),
    };
    let expected = [
        change(ChangeKind::Added, 1, ("data_centre a", ""), "", ""),
        change(ChangeKind::Changed, 4, ("team red", "limit"), "3", "4"),
        change(ChangeKind::Added, 7, ("key k", "hash"), "", "x"),
        change(ChangeKind::Removed, 0, ("pool p", ""), "", ""),
    ];
    assert_eq!(changes(old, new).expect("both texts can be parsed"), expected);
    assert_eq!(changes(new, new).expect("both texts can be parsed"), []);
    assert!(changes(old, "[x\n").is_err());
}
