//! The clock of a run, and the durations of the protocol multiplied by the scale of the run.
//!
//! A duration in "seconds of the protocol" is what a real deployment would use. It is multiplied by the scale of the
//! run, for example 0.1, to get "seconds of the run", which are real seconds.

use std::time::{Duration, Instant};

/// The clock of a run; its times are seconds since the start of the run.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Seconds of the run that represent one second of the protocol.
    pub scale: f64,
}

impl Clock {
    pub fn new(scale: f64) -> Clock {
        Clock {
            started: Instant::now(),
            scale,
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Converts a duration from seconds of the protocol to seconds of the run.
    pub fn scaled(&self, protocol_s: f64) -> f64 {
        protocol_s * self.scale
    }

    /// Sleeps for a number of seconds of the run.
    pub async fn sleep(&self, seconds: f64) {
        tokio::time::sleep(Duration::from_secs_f64(seconds.max(0.0))).await;
    }

    /// Sleeps until a time of the run.
    pub async fn sleep_until(&self, at: f64) {
        self.sleep(at - self.now()).await;
    }
}

/// Durations of the protocol, in seconds of the run. Their ratios are those of a large deployment.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolTimes {
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease: a worker that gets no response for this long ends its tasks.
    pub lease_s: f64,
    /// Time after the confirmation of a cancellation within which the tasks of the job must have ended.
    pub cancel_s: f64,
    /// Time for which a worker waits for the response to a heartbeat.
    pub response_timeout_s: f64,
    /// Time after a failed heartbeat until the worker tries the next controller.
    pub retry_delay_s: f64,
    /// Shortest time between two heartbeats of a worker.
    pub min_heartbeat_interval_s: f64,
    /// Time for which users wait for the response to a submission or cancellation.
    pub user_timeout_s: f64,
    /// Time for which users wait for the response to a poll.
    pub poll_timeout_s: f64,
    /// Interval between two polls of a user for the same job.
    pub poll_interval_s: f64,
    /// Usual boot time of a machine.
    pub boot_time_s: f64,
    /// Usual time after which the cloud's list shows that a machine was created or deleted.
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
