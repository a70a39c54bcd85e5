//! Latencies, counted in a histogram and logged from time to time.

use hdrhistogram::Histogram;

/// The longest latency told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Decimal digits of precision.
const DIGITS: u8 = 2;

/// Latencies of one kind of call.
#[derive(Debug)]
pub struct Latency {
    what: &'static str,
    histogram: Option<Histogram<u64>>,
    log_at: f64,
    every_s: f64,
}

impl Latency {
    /// Latencies that are logged, and counted anew, every `every_s`.
    pub fn new(what: &'static str, every_s: f64) -> Latency {
        Latency {
            what,
            histogram: Histogram::new_with_bounds(1, LONGEST_US, DIGITS).ok(),
            log_at: every_s,
            every_s,
        }
    }

    /// Counts a latency.
    pub fn record(&mut self, seconds: f64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record((seconds.max(0.0) * 1e6) as u64);
        }
    }

    /// Logs if it is time.
    pub fn drive(&mut self, now: f64) {
        if now < self.log_at {
            return;
        }
        self.log_at = now + self.every_s;
        if let Some(histogram) = &mut self.histogram
            && !histogram.is_empty()
        {
            let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            tracing::info!(
                what = self.what,
                count = histogram.len(),
                p50_ms = ms(0.5),
                p90_ms = ms(0.9),
                p99_ms = ms(0.99),
                max_ms = histogram.max() as f64 / 1000.0,
                "latency"
            );
            histogram.reset();
        }
    }
}
