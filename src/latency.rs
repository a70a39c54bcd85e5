//! Latencies of requests and calls, recorded in histograms and logged at intervals.

use hdrhistogram::Histogram;

/// The longest latency told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Records the latencies of one kind of call.
#[derive(Debug)]
pub struct LatencyRecorder {
    what: &'static str,
    /// None if the histogram could not be made: then nothing is recorded.
    histogram: Option<Histogram<u64>>,
    next_log_at: f64,
    log_interval_s: f64,
}

impl LatencyRecorder {
    /// A recorder that is logged, and cleared, every `log_interval_s`.
    pub fn new(what: &'static str, log_interval_s: f64) -> LatencyRecorder {
        LatencyRecorder {
            what,
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

    /// Logs and clears what was recorded, if the interval is over at `now` (seconds of the steady clock).
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
                what = self.what,
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
