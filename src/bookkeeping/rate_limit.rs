//! Token buckets, for the request budgets that several controllers share.

/// A rate with bursts of one second's worth.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    available: f64,
    refilled_at: f64,
}

impl TokenBucket {
    /// A bucket that starts full.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            available: burst,
            refilled_at: 0.0,
        }
    }

    /// Changes the rate and the burst from now on. What is there is kept up to the new burst.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: f64) {
        self.available(now);
        self.rate = rate;
        self.burst = burst;
        self.available = self.available.min(burst);
    }

    /// What can be taken now.
    pub fn available(&mut self, now: f64) -> f64 {
        self.available =
            (self.available + (now - self.refilled_at).max(0.0) * self.rate).min(self.burst);
        self.refilled_at = now;
        self.available
    }

    /// Takes `count` if they are there.
    pub fn take(&mut self, count: f64, now: f64) -> bool {
        if self.available(now) >= count {
            self.available -= count;
            true
        } else {
            false
        }
    }

    /// Takes `count` even if it leads into debt: for calls that cannot wait.
    pub fn take_with_debt(&mut self, count: f64, now: f64) {
        self.available(now);
        self.available = (self.available - count).max(-self.burst);
    }
}

/// A controller's rate out of a budget that all controllers share: its equal part, or all that the others have not
/// used lately, whichever is more. `others`: the rate at which each other controller uses the budget, if
/// that is known; a controller that was not heard is taken to use its equal part.
pub fn fair_share_rate(budget: f64, others: &[Option<f64>]) -> f64 {
    let equal = budget / (others.len() + 1) as f64;
    let in_use = |rate: &Option<f64>| match rate {
        Some(rate) if rate.is_finite() => rate.clamp(0.0, budget),
        _ => equal,
    };
    let used: f64 = others.iter().map(in_use).sum();
    equal.max(budget - used)
}
