//! Rate limits: token buckets, and the share of a rate budget that one of several controllers may use.

/// A token bucket: a rate limit that allows bursts. Times are in seconds.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens in the bucket.
    burst: f64,
    /// Number of tokens at the time `refilled_at`; negative while the bucket is in debt.
    available: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A full bucket that gains `rate` tokens per second and holds at most `burst` tokens.
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

    /// Number of tokens that can be taken now; negative while the bucket is in debt.
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

    /// Takes `count` tokens even if fewer are available, for a request that can't wait. The bucket then goes into debt;
    /// debt beyond the burst is not counted.
    pub fn take_with_debt(&mut self, count: f64, now: f64) {
        self.available(now);
        self.available = (self.available - count).max(-self.burst);
    }
}

/// The rate that this controller may use of a budget that all controllers share: an equal part, or what the others
/// leave unused, whichever is more. `other_rates` holds the rate that each other controller uses; a controller whose
/// rate is unknown (`None`) or not finite is assumed to use an equal part.
pub fn fair_share_rate(budget: f64, other_rates: &[Option<f64>]) -> f64 {
    let equal_part = budget / (other_rates.len() + 1) as f64;
    let in_use = |rate: &Option<f64>| match rate {
        Some(rate) if rate.is_finite() => rate.clamp(0.0, budget),
        _ => equal_part,
    };
    let used: f64 = other_rates.iter().map(in_use).sum();
    equal_part.max(budget - used)
}
