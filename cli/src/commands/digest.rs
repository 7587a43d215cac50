//! `digest`: the digest of a key or a token, for declarations and settings.

use std::io::Read as _;

use chivevalve::secret::{Secret, digest_to_hex};
use serde::Serialize;

use super::Command;
use crate::args::Args;
use crate::failure::Failure;
use crate::output;

/// Shortest key that is taken; a shorter one can be guessed from its digest.
const SHORTEST: usize = 16;
/// Longest key that is read.
const LONGEST: u64 = 4096;

/// The command.
pub const COMMAND: Command = Command {
    name: "digest",
    about: "print the digest of a key or token from standard input",
    values: 0..=0,
    online: false,
    options: &[],
    help: "\
Usage: chivevalve digest < FILE

Reads a key or token from standard input and prints its SHA-256 digest, as
key_digests in declarations and digest in settings hold it. The key never
stands on the command line, where other users could see it. A line break at
the end isn't part of the key. Keys shorter than 16 characters are refused.
",
    run,
};

#[derive(Serialize)]
struct Digest {
    digest: String,
}

fn run(args: &Args) -> Result<(), Failure> {
    let mut text = String::new();
    std::io::stdin()
        .take(LONGEST)
        .read_to_string(&mut text)
        .map_err(|error| Failure::Other(format!("standard input can't be read: {error}")))?;
    let read = Secret::new(text);
    let key = Secret::new(read.expose().trim_end_matches(['\r', '\n']).to_owned());
    if key.expose().len() < SHORTEST {
        return Err(Failure::Other(format!(
            "the key has fewer than {SHORTEST} characters; take a longer one"
        )));
    }
    let digest = Digest {
        digest: digest_to_hex(&key.digest()),
    };
    output::answer(args.format, &digest, |digest| {
        format!("{}\n", digest.digest)
    })
}
