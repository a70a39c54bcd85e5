//! Time of a run: seconds since its start, and the protocol's times at its scale.

use std::time::{Duration, Instant};

/// The clock of a run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Seconds of the run for a second of the protocol's times.
    pub scale: f64,
}

impl Clock {
    pub fn new(scale: f64) -> Clock {
        Clock {
            started: Instant::now(),
            scale,
        }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// A time of the protocol, in seconds of the run.
    pub fn scaled(&self, protocol_s: f64) -> f64 {
        protocol_s * self.scale
    }

    /// Waits for so many seconds of the run.
    pub async fn sleep(&self, seconds: f64) {
        tokio::time::sleep(Duration::from_secs_f64(seconds.max(0.0))).await;
    }

    /// Waits until a time of the run.
    pub async fn sleep_until(&self, at: f64) {
        self.sleep(at - self.now()).await;
    }
}

/// The protocol's times, in seconds of the run. The ratios are those of a large deployment.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolTimes {
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// How long a worker waits for an answer, and before it tries the next controller.
    pub response_timeout_s: f64,
    pub retry_delay_s: f64,
    /// The shortest time between two heartbeats.
    pub min_heartbeat_interval_s: f64,
    /// How long users wait for an answer, and for one to a poll.
    pub user_timeout_s: f64,
    pub poll_timeout_s: f64,
    pub poll_interval_s: f64,
    /// Usual boot time, and the lag of the machine list.
    pub boot_time_s: f64,
    pub list_lag_s: f64,
}

impl ProtocolTimes {
    pub fn new(scale: f64) -> ProtocolTimes {
        ProtocolTimes {
            heartbeat_interval_s: 5.0 * scale,
            lease_s: 26.5 * scale,
            cancel_s: 51.5 * scale,
            response_timeout_s: 4.0 * scale,
            retry_delay_s: 1.0 * scale,
            min_heartbeat_interval_s: 0.5 * scale,
            user_timeout_s: 5.0 * scale,
            poll_timeout_s: 2.0 * scale,
            poll_interval_s: 5.0 * scale,
            boot_time_s: 20.0 * scale,
            list_lag_s: 5.0 * scale,
        }
    }
}
