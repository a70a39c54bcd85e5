//! Measures the rate of events over a sliding window, and forecasts it from its trend.

use std::collections::VecDeque;

/// Maximum number of events that a meter keeps. When another event is added, the oldest is dropped.
const MAX_EVENTS: usize = 4096;
/// Number of windows for which events are kept: the current one and, for the trend, the one before it.
const WINDOWS_KEPT: f64 = 2.0;
/// Shortest time span over which a rate is computed, in seconds. Applies when counting has just begun.
const MIN_SPAN_S: f64 = 1.0;
/// Lower bound of a forecast, as a share of the current rate.
const MIN_FORECAST_SHARE: f64 = 0.5;

/// An event with its time, in seconds, and its weight in the rate.
#[derive(Debug, Clone, Copy)]
struct Event {
    at: f64,
    weight: f64,
}

/// Keeps recent events with their weights. A rate is the total weight of a window's events, divided by the window.
#[derive(Debug, Clone, Default)]
pub struct RateMeter {
    events: VecDeque<Event>,
}

impl RateMeter {
    /// Records an event with a weight that takes place at `now`, which must not be earlier than the previous event.
    pub fn add(&mut self, weight: f64, now: f64) {
        self.events.push_back(Event { at: now, weight });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Drops events that are older than two windows of `window_s` seconds, which no rate or forecast uses.
    pub fn trim(&mut self, window_s: f64, now: f64) {
        let is_old = |event: &Event| now - event.at > WINDOWS_KEPT * window_s;
        while self.events.front().is_some_and(is_old) {
            self.events.pop_front();
        }
    }

    /// Returns the rate per second over the last window, or over the time since counting began at
    /// `started_at` if that is shorter, but over at least one second.
    pub fn rate(&self, window_s: f64, started_at: f64, now: f64) -> f64 {
        let span_s = window_s.min(now - started_at).max(MIN_SPAN_S);
        self.total_weight(now - span_s, now) / span_s
    }

    /// Returns the rate extrapolated by one window: the current rate plus its change since the window
    /// before, but at least half of the current rate. Returns the current rate if less than two windows have passed
    /// since counting began at `started_at`.
    pub fn forecast(&self, window_s: f64, started_at: f64, now: f64) -> f64 {
        let rate = self.rate(window_s, started_at, now);
        if now - started_at < WINDOWS_KEPT * window_s {
            return rate;
        }
        let window_start = now - window_s;
        let earlier_rate = self.total_weight(window_start - window_s, window_start) / window_s;
        let trend = rate - earlier_rate;
        (rate + trend).max(rate * MIN_FORECAST_SHARE)
    }

    /// Returns the total weight of the events after `after` and up to `until`.
    fn total_weight(&self, after: f64, until: f64) -> f64 {
        let in_span = |event: &&Event| event.at > after && event.at <= until;
        let events = self.events.iter().filter(in_span);
        events.map(|event| event.weight).sum()
    }
}
