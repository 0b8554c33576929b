//! Suggests the nearest known name for an unknown one.

/// Maximum edit distance at which a name is still suggested.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the known name that is nearest to `name` by edit distance.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(count, candidate)| *count <= MAX_EDIT_DISTANCE && *count < candidate.len())
        .min_by_key(|(count, _)| *count)
        .map(|(_, candidate)| candidate)
}

fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
