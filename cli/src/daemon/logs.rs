//! Where log lines go and how they look.
//!
//! One JSON object a line, to standard output. A thread of its own writes, so
//! that a reader of the output that stands still never holds up a request.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use log::Level;
use log::kv::{self, Key, Value, VisitSource};

/// Level without `RUST_LOG`.
const LEVEL: &str = "info";

/// Lines that may wait to be written; a megabyte at the usual length.
const WAITING: usize = 4_096;

/// Lines below `warn` that are written in a second.
///
/// A node of a quarter core serves some dozen requests a second with a line or
/// two each; a storm of refusals stays bounded, and what is left out is counted.
const LINES: u32 = 500;

/// How long lines gather before they are written.
///
/// A wake-up of the writing thread costs more than a line.
const GATHER: Duration = Duration::from_millis(40);

/// The span that [`LINES`] counts for.
const SECOND: Duration = Duration::from_secs(1);

/// Lines that were left out, by the part that spoke.
#[derive(Debug, Default)]
struct Volume {
    began: Option<Instant>,
    lines: u32,
    left_out: BTreeMap<String, u64>,
}

impl Volume {
    /// Whether a line may be written; tells what was left out in the second before.
    fn admit(&mut self, level: Level, part: &str) -> (bool, BTreeMap<String, u64>) {
        let now = Instant::now();
        let over = self.began.is_none_or(|began| now - began >= SECOND);
        let mut told = BTreeMap::new();
        if over {
            self.began = Some(now);
            self.lines = 0;
            told = std::mem::take(&mut self.left_out);
        }
        if level <= Level::Warn {
            return (true, told);
        }
        self.lines += 1;
        let admitted = self.lines <= LINES;
        if !admitted {
            *self.left_out.entry(part.to_owned()).or_default() += 1;
        }
        (admitted, told)
    }
}

/// Starts logging to standard output.
///
/// docs/operators/logs-and-metrics.md lists the parts and the fields.
pub fn start() {
    let volume = Arc::new(Mutex::new(Volume::default()));
    Builder::from_env(Env::default().default_filter_or(LEVEL))
        .format(move |out, record| {
            let text = record.args().to_string();
            let (part, says) = split(&text);
            let (admitted, left_out) = volume
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .admit(record.level(), part);
            let time = out.timestamp_millis();
            for (part, count) in left_out {
                writeln!(
                    out,
                    r#"{{"time":"{time}","level":"warn","part":"logs","says":"lines were left out","of":"{part}","count":{count}}}"#
                )?;
            }
            if !admitted {
                return Ok(());
            }
            let level = level_name(record.level());
            write!(out, r#"{{"time":"{time}","level":"{level}","part":"{part}","says":"#)?;
            serde_json::to_writer(&mut *out, says)?;
            record
                .key_values()
                .visit(&mut Fields(out))
                .map_err(io::Error::other)?;
            writeln!(out, "}}")
        })
        .target(Target::Pipe(Box::new(Queue::start())))
        .init();
}

/// Splits the fixed prefix of a part from what it says.
fn split(text: &str) -> (&str, &str) {
    match text.split_once(": ") {
        Some((part, says)) if !part.contains([' ', '"', '\\']) => (part, says),
        _ => ("other", text),
    }
}

const fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Writes a line's fields in the order in which they were given.
struct Fields<'w, W>(&'w mut W);

impl<'a, W: Write> VisitSource<'a> for Fields<'_, W> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
        write!(self.0, ",\"{key}\":")?;
        if let Some(number) = value.to_u64() {
            write!(self.0, "{number}")?;
        } else if let Some(text) = value.to_borrowed_str() {
            serde_json::to_writer(&mut *self.0, text).map_err(kv::Error::boxed)?;
        } else {
            serde_json::to_writer(&mut *self.0, &value.to_string()).map_err(kv::Error::boxed)?;
        }
        Ok(())
    }
}

/// Hands lines to the thread that writes them.
struct Queue {
    lines: SyncSender<Vec<u8>>,
    lost: u64,
}

impl Queue {
    fn start() -> Self {
        let (lines, waiting) = sync_channel(WAITING);
        std::thread::spawn(move || write_all(&waiting));
        Self { lines, lost: 0 }
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if bytes.is_empty() {
            return Ok(0);
        }
        let mut line = Vec::with_capacity(bytes.len());
        if self.lost > 0 {
            let lost = self.lost;
            line.extend_from_slice(
                format!(
                    "{{\"level\":\"warn\",\"part\":\"logs\",\"says\":\"nobody reads; lines were lost\",\"count\":{lost}}}\n"
                )
                .as_bytes(),
            );
        }
        line.extend_from_slice(bytes);
        match self.lines.try_send(line) {
            Ok(()) => self.lost = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.lost += 1,
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, all that there is with one call.
fn write_all(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut lines) = waiting.recv() {
        std::thread::sleep(GATHER);
        lines.extend(waiting.try_iter().flatten());
        // Nobody is left to be told when the output itself has gone.
        let _ = out.write_all(&lines);
        let _ = out.flush();
    }
}

/// Waits until what was said has been written, at the end of the process.
pub fn finish() {
    std::thread::sleep(GATHER * 2);
}
