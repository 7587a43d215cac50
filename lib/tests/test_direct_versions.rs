//! Until when a version of an adapter may be begun on, by what operators declared.

use chivevalve::clock::Millis;
use chivevalve::direct::versions::{Declaration, Declarations};
use quickcheck::{Gen, QuickCheck};

const LIMIT: Millis = Millis(5_000);

fn declared(all: &[(u64, u64)]) -> Declarations {
    let mut declarations = Declarations::default();
    for (version, since) in all {
        let since = Millis(*since);
        let version = *version;
        declarations.declare(Declaration { version, since }, LIMIT);
    }
    declarations
}

#[test]
fn begin_by_without_a_newer_version() {
    assert_eq!(declared(&[]).begin_by(1, LIMIT), None);
    assert_eq!(declared(&[(2, 1_000)]).begin_by(2, LIMIT), None);
    assert_eq!(declared(&[(2, 1_000)]).begin_by(3, LIMIT), None);
}

#[test]
fn begin_by_counts_from_the_declaration() {
    let declarations = declared(&[(2, 1_000)]);
    assert_eq!(declarations.begin_by(1, LIMIT), Some(Millis(6_000)));
    // What was loaded as whatever was the newest may be any version.
    assert_eq!(declarations.begin_by(0, LIMIT), Some(Millis(6_000)));
}

/// A further declaration gives versions that were replaced before no further time.
#[test]
fn begin_by_outlasts_a_further_declaration() {
    let declarations = declared(&[(2, 1_000), (3, 3_400), (4, 5_800)]);
    assert_eq!(declarations.begin_by(1, LIMIT), Some(Millis(6_000)));
    assert_eq!(declarations.begin_by(2, LIMIT), Some(Millis(8_400)));
    assert_eq!(declarations.begin_by(3, LIMIT), Some(Millis(10_800)));
    assert_eq!(declarations.begin_by(4, LIMIT), None);
}

/// An older declaration that is heard of late takes nothing back.
#[test]
fn declare_older_left_aside() {
    let declarations = declared(&[(3, 1_000), (2, 2_000)]);
    assert_eq!(declarations.newest().map(|one| one.version), Some(3));
    assert_eq!(declarations.begin_by(2, LIMIT), Some(Millis(6_000)));
}

/// No series of declarations lets a version be begun on for longer than the earliest newer one says.
#[test]
fn begin_by_is_the_earliest_of_all_newer() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let (mut version, mut now) = (1, Millis::ZERO);
        let mut all: Vec<Declaration> = Vec::new();
        let mut declarations = Declarations::default();
        for (step, pause) in steps {
            version += u64::from(step % 3);
            now += Millis(u64::from(pause % 9_000));
            let declaration = Declaration {
                version,
                since: now,
            };
            if declarations.declare(declaration, LIMIT) {
                all.push(declaration);
            }
            for held in 0..=version {
                let newer = all.iter().filter(|one| one.version > held);
                let expected = newer.map(|one| one.since + LIMIT).min();
                let found = declarations.begin_by(held, LIMIT);
                // What is past for good may count from any moment that is past.
                let both_past = [expected, found]
                    .iter()
                    .all(|at| at.is_some_and(|at| at <= now));
                if found != expected && !both_past {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 33))
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}
