//! Plays one case against real nodes, and writes what was seen to `record.txt` of its folder.
//!
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod engine;
mod http;
mod json;
mod mover;
mod moves;
mod node;
mod owners;
mod record;
mod refusals;
mod store;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    if case != "model-server" && !node::is_built() {
        eprintln!("target/release/chivevalved is missing: run the build of the deploy file");
        std::process::exit(2);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match case.as_str() {
        "late-release" => owners::late_release(has_trouble),
        "crash-in-move" => moves::crash_in_move(has_trouble),
        "model-server" => mover::serve(&std::env::args().nth(2).unwrap_or_default()),
        "second-answers" => refusals::second_answers(has_trouble),
        other => {
            eprintln!("no case {other}");
            2
        }
    };
    std::process::exit(code);
}
