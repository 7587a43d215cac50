//! What a process has used, as the system counts it.

use std::fs;
use std::time::Duration;

/// Ticks of processor time a second; fixed at 100 in what Linux shows to programs.
const TICKS: u64 = 100;
/// Place of the time spent in the program itself, after the process's name.
const USER: usize = 11;
/// Place of the time spent in the system for it.
const SYSTEM: usize = 12;

/// Returns the processor time that a process has used; none when it is gone.
pub fn processor(id: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name stands in parentheses and may hold anything.
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |place: usize| fields.get(place)?.parse::<u64>().ok();
    let ticks = ticks(USER)? + ticks(SYSTEM)?;
    Some(Duration::from_millis(ticks * 1000 / TICKS))
}

/// Returns the memory that a process holds, in bytes; none when it is gone.
pub fn memory(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_of_this_process() {
        assert!(processor(std::process::id()).is_some());
        assert!(memory(std::process::id()).is_some_and(|bytes| bytes > 100_000));
    }
}
