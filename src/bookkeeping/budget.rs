//! Token buckets, for the request budgets that several nodes share.

/// A rate with bursts of one second's worth.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    /// A bucket that starts full.
    pub fn new(rate: f64, burst: f64) -> Bucket {
        Bucket {
            rate,
            burst,
            level: burst,
            at: 0.0,
        }
    }

    /// What can be taken now.
    pub fn level(&mut self, now: f64) -> f64 {
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.burst);
        self.at = now;
        self.level
    }

    /// Takes `count` if they are there.
    pub fn take(&mut self, count: f64, now: f64) -> bool {
        if self.level(now) >= count {
            self.level -= count;
            true
        } else {
            false
        }
    }

    /// Takes `count` even if it leads into debt: for calls that cannot wait.
    pub fn force(&mut self, count: f64, now: f64) {
        self.level(now);
        self.level = (self.level - count).max(-self.burst);
    }
}
