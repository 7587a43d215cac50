//! What this process has used so far, read from the system.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};

/// Clock ticks a second in `/proc`; the kernel's interface fixes it.
const TICKS: u64 = 100;
/// Bytes in a kibibyte.
const KIBI: u64 = 1024;

/// Returns the processor time that this process has used, all threads together.
///
/// # Errors
///
/// When the system doesn't tell.
pub fn cpu() -> Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").wrap_err("can't read /proc/self/stat")?;
    // The program's name may hold spaces; what follows its bracket doesn't.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    // User and system time are fields 14 and 15, counted from 1 before the name.
    let ticks = |index: usize| -> Result<u64> {
        let field = fields
            .get(index)
            .ok_or_else(|| eyre!("a field is missing"))?;
        Ok(field.parse()?)
    };
    Ok(Duration::from_millis(
        (ticks(11)? + ticks(12)?) * 1000 / TICKS,
    ))
}

/// Returns the memory that this process holds, in bytes.
///
/// # Errors
///
/// When the system doesn't tell.
pub fn memory() -> Result<u64> {
    let status =
        fs::read_to_string("/proc/self/status").wrap_err("can't read /proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.ok_or_else(|| eyre!("no VmRSS"))?;
    let kibibytes: u64 = text.trim().trim_end_matches(" kB").trim().parse()?;
    Ok(kibibytes * KIBI)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn process_is_read() {
        assert!(memory().unwrap() > 0);
        assert!(cpu().unwrap() < Duration::from_secs(1_000_000));
    }
}
