//! Daemons as processes of their own, started and signalled by a test or the bench.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(10);

/// State of a listening socket in the system's table.
const LISTENING: &str = "0A";

/// A directory for settings and logs that vanishes with its value.
#[derive(Debug)]
pub struct Scratch {
    path: PathBuf,
}

impl Scratch {
    /// Makes an empty directory.
    ///
    /// # Errors
    ///
    /// When the system's directory for temporary files can't be written.
    pub fn new() -> io::Result<Self> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("chivevalve-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Returns the directory's path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // What is left behind is the system's to clear away.
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A daemon that runs. Dropping it kills it.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts a daemon of these settings; its log goes beside them.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn start(program: &Path, directory: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let file = directory.join(format!("{name}.yaml"));
        fs::write(&file, settings)?;
        let mut command = Command::new(program);
        command.arg("--settings").arg(&file);
        Self::spawn(command, &directory.join(format!("{name}.log")))
    }

    /// Starts a command; what it prints goes behind what `log` holds.
    ///
    /// # Errors
    ///
    /// When the program can't be started.
    pub fn spawn(mut command: Command, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process's number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the most memory, in bytes, that was resident at any moment so far.
    ///
    /// # Errors
    ///
    /// When the process has ended, or on systems without `/proc`.
    pub fn peak_memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        let kilobytes = kilobytes.ok_or_else(|| io::Error::other("no peak is reported"))?;
        Ok(kilobytes * 1_024)
    }

    /// Returns the number of open descriptors.
    ///
    /// # Errors
    ///
    /// The same.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.id()))?.count())
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// When the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("no such process"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills the process and takes its end.
    ///
    /// # Errors
    ///
    /// When the system can't.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// When it doesn't within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        let look = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    return Ok(status);
                }
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(limit, look)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.kill();
    }
}

/// Returns the bytes that were sent to a port of this host and not read yet.
///
/// # Errors
///
/// On systems without `/proc`.
pub fn unread_bytes(port: u16) -> io::Result<u64> {
    let table = fs::read_to_string("/proc/net/tcp")?;
    let port = format!(":{port:04X}");
    let rows = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let queues = rows.filter_map(|row| {
        let [_, local, remote, state, queues, ..] = row[..] else {
            return None;
        };
        let (sending, receiving) = queues.split_once(':')?;
        let queue = match () {
            () if state == LISTENING => return None,
            () if local.ends_with(&port) => receiving,
            () if remote.ends_with(&port) => sending,
            () => return None,
        };
        u64::from_str_radix(queue, 16).ok()
    });
    Ok(queues.sum())
}
