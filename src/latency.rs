//! Records the latencies of incoming requests and outgoing calls in histograms, and logs quantiles at intervals.

use hdrhistogram::Histogram;

/// Longest latency that a histogram can hold, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// Records the latencies of one kind of request or call until they are logged.
#[derive(Debug)]
pub struct LatencyRecorder {
    /// Name of the kind of request or call in the log line.
    name: &'static str,
    /// `None` if the histogram could not be created; then nothing is recorded or logged.
    histogram: Option<Histogram<u64>>,
    /// Time of the next log line, in seconds of the steady clock.
    next_log_at: f64,
    log_interval_s: f64,
}

impl LatencyRecorder {
    /// Creates a recorder that logs the quantiles under `name` and then clears them, every `log_interval_s` seconds.
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

    /// If the log interval has ended by `now` (seconds of the steady clock), begins the next interval, and logs and
    /// clears the recorded latencies. Logs nothing if no latency was recorded.
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
