//! Suggests a known name for a misspelled one.

/// Maximum edit distance at which a name is taken for a misspelling.
const MAX_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `name`, if it is small enough.
#[must_use]
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let limit = MAX_DISTANCE.min(name.chars().count() / 2);
    known
        .into_iter()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(edit_distance, _)| *edit_distance <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the optimal string alignment distance: insertions, deletions, substitutions and swaps of neighbors.
fn edit_distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    if a.len().abs_diff(b.len()) > MAX_DISTANCE {
        return usize::MAX;
    }
    let mut rows = vec![vec![0; b.len() + 1]; a.len() + 1];
    for (i, row) in rows.iter_mut().enumerate() {
        row[0] = i;
    }
    for (j, cell) in rows[0].iter_mut().enumerate() {
        *cell = j;
    }
    for i in 1..=a.len() {
        for j in 1..=b.len() {
            let replaced = rows[i - 1][j - 1] + usize::from(a[i - 1] != b[j - 1]);
            let mut least = replaced.min(rows[i - 1][j] + 1).min(rows[i][j - 1] + 1);
            if i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1] {
                least = least.min(rows[i - 2][j - 2] + 1);
            }
            rows[i][j] = least;
        }
    }
    rows[a.len()][b.len()]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nearest_misspellings() {
        let known = ["idempotent", "weight", "version"];
        assert_eq!(nearest("idempotant", known), Some("idempotent"));
        assert_eq!(nearest("wieght", known), Some("weight"));
        assert_eq!(nearest("priority", known), None);
        assert_eq!(nearest("x", known), None);
    }
}
