//! Rate limits: token buckets, and how controllers divide a common rate budget among themselves.

/// A token bucket: a rate limit that allows bursts.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Number of tokens at `refilled_at`; negative while in debt.
    available: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens per second and holds `burst` tokens.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            available: burst,
            refilled_at: 0.0,
        }
    }

    /// Changes the rate and the burst from now on. Tokens beyond the new burst are dropped.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: f64) {
        self.available(now);
        self.rate = rate;
        self.burst = burst;
        self.available = self.available.min(burst);
    }

    /// Tokens that can be taken now; negative while in debt.
    pub fn available(&mut self, now: f64) -> f64 {
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.available = (self.available + elapsed_s * self.rate).min(self.burst);
        self.refilled_at = now;
        self.available
    }

    /// Takes `count` tokens if that many are available. Returns whether they were taken.
    pub fn take(&mut self, count: f64, now: f64) -> bool {
        if self.available(now) >= count {
            self.available -= count;
            true
        } else {
            false
        }
    }

    /// Takes `count` tokens for a call that can't wait. If too few are available, the bucket goes into debt, by at most
    /// the burst.
    pub fn take_with_debt(&mut self, count: f64, now: f64) {
        self.available(now);
        self.available = (self.available - count).max(-self.burst);
    }
}

/// The rate that this controller may use of a budget that all controllers share: an equal part, or what the others
/// leave unused, whichever is more. `other_rates` holds the rate that each other controller uses; one whose rate is
/// unknown or not finite is assumed to use an equal part.
pub fn fair_share_rate(budget: f64, other_rates: &[Option<f64>]) -> f64 {
    let equal_part = budget / (other_rates.len() + 1) as f64;
    let in_use = |rate: &Option<f64>| match rate {
        Some(rate) if rate.is_finite() => rate.clamp(0.0, budget),
        _ => equal_part,
    };
    let used: f64 = other_rates.iter().map(in_use).sum();
    equal_part.max(budget - used)
}
