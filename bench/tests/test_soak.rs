//! The soak itself: its stories, a short run, and checks that have to fail.

use std::io::{Read, Seek};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use chivevalve_standins::process::Scratch;
use rustix::process::{Pid, Signal, kill_process};

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

fn soak(directory: &Path, options: &[&str]) -> Command {
    let bench = Path::new(env!("CARGO_BIN_EXE_chivevalve-bench"));
    let daemon = bench.with_file_name("chivevalved");
    assert!(
        daemon.exists(),
        "{} is missing; cargo test --workspace builds it",
        daemon.display()
    );
    let mut command = Command::new(bench);
    command
        .arg("soak")
        .arg("--dir")
        .arg(directory)
        .args(options)
        .stdin(Stdio::null());
    command
}

/// A soak that runs; it is asked to end, with its daemons, when the test ends early.
struct Running(Child);

impl Running {
    fn stop(&self) {
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw);
        // It may have ended already.
        let _ = kill_process(pid.unwrap(), Signal::TERM);
    }

    fn ended(&mut self) -> ExitStatus {
        self.0.wait().unwrap()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if matches!(self.0.try_wait(), Ok(None)) {
            self.stop();
            let _ = self.0.wait();
        }
    }
}

/// Plays a soak; returns its exit code and what it said.
fn play(options: &[&str]) -> (Option<i32>, String) {
    let scratch = Scratch::new().unwrap();
    let path = scratch.path().join("said");
    let mut said = std::fs::File::options()
        .create_new(true)
        .read(true)
        .write(true)
        .open(&path)
        .unwrap();
    let mut command = soak(scratch.path(), options);
    let out = said.try_clone().unwrap();
    let error = said.try_clone().unwrap();
    let mut running = Running(command.stdout(out).stderr(error).spawn().unwrap());
    let code = running.ended().code();
    let mut text = String::new();
    said.rewind().unwrap();
    said.read_to_string(&mut text).unwrap();
    (code, text)
}

#[test]
fn soak_story_of_a_seed() {
    let story = |seed| play(&["--story", "--seed", seed, "--seconds", "90"]).1;
    assert_eq!(story("7"), story("7"));
    assert_ne!(story("7"), story("8"));
    for act in ["Config", "Version", "Stop", "Feel"] {
        assert!(story("7").contains(act), "no {act}:\n{}", story("7"));
    }
}

/// Only what a slow computer can't break by itself is judged here.
#[test]
fn soak_short_keeps_promises() {
    let (code, said) = play(&[
        "--seed",
        "4",
        "--seconds",
        "20",
        "--nodes",
        "3",
        "--workers",
        "10",
        "--exact",
    ]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("served"), "{said}");
}

/// Servers that bear few rejections don't fall over one after the other.
#[test]
fn soak_few_rejections_borne() {
    let limited = [
        "--seed",
        "31",
        "--seconds",
        "22",
        "--nodes",
        "2",
        "--workers",
        "32",
        "--exact",
        "--rejection-limit",
        "20",
    ];
    let (code, said) = play(&limited);
    assert_eq!(code, Some(0), "{said}");
    assert!(
        said.contains("servers fell over under rejections"),
        "{said}"
    );
}

/// Answers go on over a silence of sound engines, also those of runs that move meanwhile.
#[test]
fn soak_silence_cuts_no_answer() {
    let (code, said) = play(&[
        "--seed",
        "821",
        "--seconds",
        "20",
        "--nodes",
        "2",
        "--workers",
        "60",
        "--exact",
        "--silences",
    ]);
    assert_eq!(code, Some(0), "{said}");
    assert!(!said.contains(" 0 sends of moved runs"), "{said}");
}

/// Streams stay of one software version when all nodes start again around a release.
#[test]
fn soak_release_joins_no_versions() {
    let (code, said) = play(&[
        "--seed",
        "811",
        "--seconds",
        "24",
        "--nodes",
        "3",
        "--workers",
        "60",
        "--exact",
        "--releases",
    ]);
    assert_eq!(code, Some(0), "{said}");
    assert!(!said.contains(" 0 streams taken up"), "{said}");
}

/// Plays a trick, and expects the promise to be told broken.
fn caught(trick: &str, promise: &str) {
    let options = ["--seconds", "8", "--workers", "6", "--trick", trick];
    caught_with(&options, promise);
}

/// Plays with more options, and expects the promise to be told broken.
fn caught_with(more: &[&str], promise: &str) {
    let usual = ["--seed", "4", "--nodes", "1", "--exact"];
    let (code, said) = play(&[&usual, more].concat());
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains(&format!("broken: {promise}")), "{said}");
}

/// Symptom: a request that may run once runs twice and nobody notices.
/// Sequence: an engine notes each run two times.
/// Cause: a soak that can't fail.
#[test]
fn soak_sees_a_second_run() {
    caught("twice", "AtMostOnce");
}

/// Symptom: a caller takes half of an answer for the whole.
/// Sequence: the callers' side loses the rest of each answer and calls it complete.
/// Cause: a soak that can't fail.
#[test]
fn soak_sees_a_cut_answer() {
    caught("halved", "LooksWhole");
}

/// A soak that doesn't see streams of two software versions can't fail.
#[test]
fn soak_sees_another_software_version() {
    caught("other-software", "OneSoftware");
}

/// A soak that doesn't see moved runs that go on under other weights can't fail.
#[test]
fn soak_sees_other_weights() {
    let options = ["--seconds", "16", "--silences", "--trick", "old-weights"];
    caught_with(&options, "OneWeights");
}

/// A soak that doesn't see answers cut in a silence can't fail.
#[test]
fn soak_sees_an_answer_cut_in_a_silence() {
    let options = ["--seconds", "16", "--silences", "--trick", "broken-silence"];
    caught_with(&options, "CutInSilence");
}

/// Symptom: daemons go on after a soak that was interrupted.
/// Sequence: the soak is asked to stop while its daemons serve.
/// Cause: a process that ends by a signal drops nothing.
#[test]
fn soak_interrupted_ends_its_daemons() {
    let scratch = Scratch::new().unwrap();
    let options = ["--seed", "4", "--seconds", "600", "--nodes", "1"];
    let mut running = Running(
        soak(scratch.path(), &options)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap(),
    );
    let log = scratch.path().join("4/node-0.log");
    let address = loop {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        let listens = text
            .split_once("serves callers at ")
            .and_then(|(_, rest)| rest.split_once('"')?.0.parse().ok());
        if let Some(address) = listens
            && connects(address)
        {
            break address;
        }
        assert!(matches!(running.0.try_wait(), Ok(None)), "it ended early");
        std::thread::sleep(LOOK);
    };
    running.stop();
    assert_eq!(running.ended().code(), Some(2));
    assert!(!connects(address), "the daemon lives on");
}

fn connects(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}
