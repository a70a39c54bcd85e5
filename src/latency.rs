//! Records the latencies of requests and calls in histograms, and logs their quantiles at intervals.

use hdrhistogram::Histogram;

/// Longest latency that is recorded exactly, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of significant decimal digits with which a latency is recorded.
const SIGNIFICANT_DIGITS: u8 = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Records the latencies of one kind of request or call.
#[derive(Debug)]
pub struct LatencyRecorder {
    name: &'static str,
    /// None if the histogram could not be created; then nothing is recorded.
    histogram: Option<Histogram<u64>>,
    next_log_at: f64,
    log_interval_s: f64,
}

impl LatencyRecorder {
    /// Creates a recorder that logs its quantiles under `name`, and is cleared, every `log_interval_s`.
    pub fn new(name: &'static str, log_interval_s: f64) -> LatencyRecorder {
        LatencyRecorder {
            name,
            histogram: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok(),
            next_log_at: log_interval_s,
            log_interval_s,
        }
    }

    /// Records a latency in seconds.
    pub fn record(&mut self, seconds: f64) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record((seconds.max(0.0) * MICROSECONDS_PER_SECOND) as u64);
        }
    }

    /// Logs and clears the recorded latencies if the log interval has ended at `now` (seconds of the steady clock).
    pub fn log_if_due(&mut self, now: f64) {
        if now < self.next_log_at {
            return;
        }
        self.next_log_at = now + self.log_interval_s;
        if let Some(histogram) = &mut self.histogram
            && !histogram.is_empty()
        {
            let ms = |microseconds: u64| microseconds as f64 / MICROSECONDS_PER_MILLISECOND;
            tracing::info!(
                what = self.name,
                count = histogram.len(),
                p50_ms = ms(histogram.value_at_quantile(0.5)),
                p90_ms = ms(histogram.value_at_quantile(0.9)),
                p99_ms = ms(histogram.value_at_quantile(0.99)),
                max_ms = ms(histogram.max()),
                "latency"
            );
            histogram.reset();
        }
    }
}
