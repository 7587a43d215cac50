//! What the figures are held against; docs/measurements.md says why these.

use super::measure::Row;
use super::traffic::count;

const PRODUCT: &str = "chivevalve";
const BOUND: &str = "clairvoyant";
const UNLOADED: &str = "addis_unloaded";
const OVERLOADED: &str = "addis_overload_2x";
/// Most stall time against the best baseline's, where that one leaves the weight store room.
const STALL: f64 = 0.5;
/// The same where the best baseline saturates the weight store.
const STALL_FULL: f64 = 1.0 / 3.0;
/// Most stall time against the lower bound.
const STALL_BOUND: f64 = 2.0;
/// Least batch fill against the best baseline's, where the weights ask for it.
const FILL: f64 = 1.15;
/// Most time to an urgent first token at twice the load, against an idle deployment's.
const URGENT: f64 = 1.2;

/// One figure against its aim.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// What was measured.
    pub text: String,
    /// Whether the aim is met.
    pub met: bool,
}

/// Holds the rows of all workloads against the aims.
pub fn findings(rows: &[Row]) -> Vec<Finding> {
    let mut names: Vec<&str> = rows.iter().map(|row| row.workload.as_str()).collect();
    names.dedup();
    let mut findings = Vec::new();
    for name in names {
        let rows: Vec<&Row> = rows.iter().filter(|row| row.workload == name).collect();
        findings.extend(of_workload(name, &rows));
    }
    findings.extend(urgent(rows));
    findings
}

fn of_workload(name: &str, rows: &[&Row]) -> Vec<Finding> {
    let skewed = name.contains("_skew") || name.contains("_shift");
    let (Some(product), true) = (row(rows, PRODUCT), skewed) else {
        return Vec::new();
    };
    let baselines = || {
        let others = rows.iter().copied();
        others.filter(|row| row.policy != PRODUCT && row.policy != BOUND)
    };
    let mut findings = Vec::new();
    if let Some(best) = baselines().min_by_key(|row| row.stall_ms_total) {
        let most = if name.ends_with("_full") {
            STALL_FULL
        } else {
            STALL
        };
        let ratio = ratio(product.stall_ms_total, best.stall_ms_total);
        let what = format!("{name}: stall time against {}'s", best.policy);
        findings.push(at_most(&what, ratio, most));
    }
    if let Some(bound) = row(rows, BOUND) {
        let ratio = ratio(product.stall_ms_total, bound.stall_ms_total);
        let what = format!("{name}: stall time against the lower bound");
        findings.push(at_most(&what, ratio, STALL_BOUND));
    }
    if let (true, Some(best)) = (
        name.starts_with("trgovski"),
        baselines().max_by(|a, b| a.batch_fill.total_cmp(&b.batch_fill)),
    ) {
        let ratio = product.batch_fill / best.batch_fill;
        findings.push(Finding {
            text: format!(
                "{name}: batch fill against {}'s {ratio:.2} (aim at least {FILL})",
                best.policy
            ),
            met: ratio >= FILL,
        });
    }
    findings
}

fn urgent(rows: &[Row]) -> Option<Finding> {
    let of = |name: &str| {
        let rows = rows.iter().filter(|row| row.policy == PRODUCT);
        rows.into_iter().find(|row| row.workload == name)
    };
    let (unloaded, overloaded) = (of(UNLOADED)?, of(OVERLOADED)?);
    let ratio = ratio(
        overloaded.urgent_first_token_p95_ms,
        unloaded.urgent_first_token_p95_ms,
    );
    let what = format!("{OVERLOADED}: urgent first token p95 against {UNLOADED}'s");
    Some(at_most(&what, ratio, URGENT))
}

fn row<'a>(rows: &[&'a Row], policy: &str) -> Option<&'a Row> {
    rows.iter().copied().find(|row| row.policy == policy)
}

fn ratio(value: u64, against: u64) -> f64 {
    let part = |value: u64| count(usize::try_from(value).unwrap_or(usize::MAX));
    part(value) / part(against.max(1))
}

fn at_most(what: &str, ratio: f64, most: f64) -> Finding {
    Finding {
        text: format!("{what} {ratio:.2} (aim at most {most:.2})"),
        met: ratio <= most,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(policy: &'static str, stall_ms_total: u64) -> Row {
        Row {
            workload: "addis_skew_full".to_owned(),
            policy,
            stall_ms_total,
            ..Row::default()
        }
    }

    #[test]
    fn findings_against_best_baseline() {
        let rows = [
            row(PRODUCT, 40),
            row("random", 900),
            row("rendezvous_lru", 100),
            row(BOUND, 30),
        ];
        let met: Vec<bool> = findings(&rows).iter().map(|found| found.met).collect();
        assert_eq!(met, [false, true]);
    }
}
