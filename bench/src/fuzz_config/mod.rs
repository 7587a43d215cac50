//! The campaign `fuzz-config`: stories of faults against a log of accepted revisions.
//!
//! Never accepted and lost, never reverted, never applied twice, and all nodes
//! equal in the end. A story that fails is shrunk to a short one and printed
//! with its seed.

use eyre::Result;
use lexopt::prelude::*;
use quickcheck::{Arbitrary, Gen};

use crate::Verdict;

mod event;
mod oracle;
mod service;
#[cfg(test)]
mod tests;
mod world;

use event::Event;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_EVENTS: u64 = 20_000;
/// Longest story.
const STORY: usize = 80;
/// Most tries to make a failing story shorter.
const SHRINKS: usize = 400;

/// A story that failed.
#[derive(Debug)]
struct Failure {
    seed: u64,
    why: String,
    story: Vec<Event>,
}

fn usage() -> String {
    format!(
        "Usage: chivevalve-bench fuzz-config [OPTIONS]\n\n\
         --events N  events to play at least ({DEFAULT_EVENTS})\n\
         --seed S    seed of the first story ({DEFAULT_SEED})\n"
    )
}

/// Runs the campaign.
///
/// # Errors
///
/// When the command line is wrong.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let mut events = DEFAULT_EVENTS;
    let mut seed = DEFAULT_SEED;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("events") => events = parser.value()?.parse()?,
            Long("seed") => seed = parser.value()?.parse()?,
            Long("help") | Short('h') => {
                print!("{}", usage());
                return Ok(Verdict::Kept);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let (stories, played, failures) = campaign(events, seed)?;
    for failure in &failures {
        println!("seed {}: {}", failure.seed, failure.why);
        println!("  {:?}", failure.story);
    }
    println!(
        "{played} events in {stories} stories from seed {seed}: {} violations",
        failures.len()
    );
    if failures.is_empty() {
        return Ok(Verdict::Kept);
    }
    Ok(Verdict::Broken)
}

/// Plays stories until enough events have happened.
fn campaign(events: u64, seed: u64) -> Result<(u64, u64, Vec<Failure>)> {
    let mut failures = Vec::new();
    let (mut stories, mut played) = (0, 0);
    while played < events {
        let seed = seed.wrapping_add(stories);
        let story = story(seed);
        stories += 1;
        played += story.len() as u64;
        if let Err(why) = play(&story, seed)? {
            failures.push(shrink(Failure { seed, why, story })?);
        }
    }
    Ok((stories, played, failures))
}

/// Draws the story of a seed.
fn story(seed: u64) -> Vec<Event> {
    let mut g = Gen::from_size_and_seed(STORY, seed);
    let length = STORY / 2 + usize::arbitrary(&mut g) % (STORY / 2);
    (0..length).map(|_| Event::arbitrary(&mut g)).collect()
}

/// Plays a story in virtual time.
fn play(story: &[Event], seed: u64) -> Result<Result<(), String>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    Ok(runtime.block_on(world::play(story, seed)))
}

/// Looks for a shorter story that fails.
fn shrink(mut failure: Failure) -> Result<Failure> {
    let mut tries = 0;
    loop {
        let mut shorter = None;
        for story in failure.story.shrink() {
            tries += 1;
            if tries > SHRINKS {
                return Ok(failure);
            }
            if let Err(why) = play(&story, failure.seed)? {
                shorter = Some((story, why));
                break;
            }
        }
        let Some((story, why)) = shorter else {
            return Ok(failure);
        };
        failure.story = story;
        failure.why = why;
    }
}
