//! The record of a run, and the clock that all stand-ins share.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }
    /// Seconds since the beginning of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn log(&self, who: &str, what: impl AsRef<str>) {
        let line = format!("{:8.3} {who:<12} {}\n", self.now(), what.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn sleep(seconds: f64) {
    if seconds > 0.0 {
        std::thread::sleep(std::time::Duration::from_secs_f64(seconds));
    }
}

/// A small random generator (xorshift), seeded for each run.
pub struct Random(Mutex<u64>);

impl Random {
    /// A generator whose seed comes from the time and the process, mixed so that runs that begin together differ.
    pub fn from_time() -> Random {
        let time = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |since| since.as_nanos() as u64);
        let mut seed = time ^ (u64::from(std::process::id()) << 40);
        for _ in 0..3 {
            seed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            seed = (seed ^ (seed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
            seed ^= seed >> 31;
        }
        Random(Mutex::new(seed | 1))
    }
    /// A number between `low` and `high`.
    pub fn between(&self, low: f64, high: f64) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        low + (high - low) * ((*state >> 11) as f64 / (1u64 << 53) as f64)
    }
}
