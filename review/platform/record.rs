//! What a case writes down, and random numbers.

use std::fs;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    pub start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Adds a line with the present time.
    pub fn add(&self, text: String) {
        self.add_at(self.start.elapsed(), text);
    }

    pub fn add_at(&self, at: Duration, text: String) {
        self.lines.lock().unwrap().push((at, text));
    }

    /// Writes all lines by time, and then the verdict.
    pub fn write(&self, verdict: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let lines = lines
            .iter()
            .map(|(at, text)| format!("{:9.3} s  {text}\n", at.as_secs_f64()));
        let text = lines.collect::<String>() + verdict + "\n";
        let path = std::env::var("REVIEW_RECORD").expect("REVIEW_RECORD names the record");
        fs::write(path, text).expect("the record can be written");
        println!("{verdict}");
    }
}

/// Numbers that look random, from a seed.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}
