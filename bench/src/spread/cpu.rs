//! Processor time, as the kernel counts it.

use std::fs;

/// Returns the processor time of this thread in nanoseconds, or 0 where it can't be read.
pub fn thread_ns() -> u64 {
    read("/proc/thread-self/schedstat")
}

/// Returns the processor time of this process in nanoseconds, or 0 where it can't be read.
pub fn process_ns() -> u64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    tasks
        .flatten()
        .map(|task| read(&task.path().join("schedstat").to_string_lossy()))
        .sum()
}

fn read(path: &str) -> u64 {
    let text = fs::read_to_string(path).unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0)
}
