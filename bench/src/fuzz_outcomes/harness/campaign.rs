//! Many stories in a row, and the shortest that fails.

use std::collections::BTreeMap;

use chivevalve::membership::guard::Guards;
use quickcheck::{Arbitrary, Gen};

use super::oracle::Violation;
use super::story::Story;
use super::world::World;

/// Lines of what happened that are shown.
const TRACED: usize = 120;
/// Tries to shrink one failing story.
const SHRINKS: usize = 3000;

/// A story that breaks a promise, shrunk.
#[derive(Debug, Clone)]
pub struct Failure {
    /// Seed of the story in the campaign.
    pub seed: u64,
    /// The shrunk story.
    pub story: Story,
    /// What it breaks.
    pub violation: Violation,
    /// What happened last before it broke.
    pub trace: Vec<String>,
}

/// What a campaign found.
#[derive(Debug, Default)]
pub struct Report {
    /// Stories played.
    pub stories: u64,
    /// Steps of all stories.
    pub events: u64,
    /// Rare events that the machines noted.
    pub notes: BTreeMap<&'static str, u64>,
    /// The first failure; the campaign ends with it.
    pub failure: Option<Failure>,
}

/// Plays one story.
///
/// # Errors
///
/// The first violation.
pub fn play(story: &Story, guards: Guards) -> Result<BTreeMap<&'static str, u64>, Violation> {
    let mut world = World::new(story, guards);
    world.play(story)?;
    Ok(world.notes)
}

/// Plays stories until so many events have happened or a promise is broken.
#[must_use]
pub fn run(events: u64, seed: u64, guards: Guards) -> Report {
    let mut report = Report::default();
    while report.events < events {
        let number = seed.wrapping_add(report.stories);
        let mut g = Gen::from_size_and_seed(64, number);
        let story = Story::arbitrary(&mut g);
        report.stories += 1;
        report.events += story.steps.len() as u64;
        match play(&story, guards) {
            Ok(notes) => {
                for (note, count) in notes {
                    *report.notes.entry(note).or_default() += count;
                }
            }
            Err(violation) => {
                report.failure = Some(shrink(number, story, violation, guards));
                return report;
            }
        }
    }
    report
}

fn shrink(seed: u64, mut story: Story, mut violation: Violation, guards: Guards) -> Failure {
    let mut tries = 0;
    'shorter: loop {
        for candidate in story.shrink() {
            tries += 1;
            if tries > SHRINKS {
                break 'shorter;
            }
            if let Err(found) = play(&candidate, guards)
                && found.promise == violation.promise
            {
                story = candidate;
                violation = found;
                continue 'shorter;
            }
        }
        break;
    }
    let trace = trace(&story, guards);
    Failure {
        seed,
        story,
        violation,
        trace,
    }
}

/// Plays a story once more and returns what happened last.
fn trace(story: &Story, guards: Guards) -> Vec<String> {
    let mut world = World::new(story, guards);
    world.trace = Some(Vec::new());
    // The violation is known; the trace is what is wanted.
    let _ = world.play(story);
    let mut trace = world.trace.unwrap_or_default();
    let early = trace.len().saturating_sub(TRACED);
    trace.split_off(early)
}
