//! Rates of events over a sliding window, and their trend.

use std::collections::VecDeque;

/// Events that a meter keeps; the oldest are dropped beyond.
const MAX_EVENTS: usize = 4096;
/// Windows for which events are kept: the present one, and the one before for the trend.
const WINDOWS_KEPT: f64 = 2.0;
/// Shortest span over which a rate is taken, in seconds.
const MIN_SPAN_S: f64 = 1.0;
/// Part of the present rate below which no forecast falls.
const MIN_FORECAST_SHARE: f64 = 0.5;

/// An event with its weight, and when it took place.
#[derive(Debug, Clone, Copy)]
struct Event {
    at: f64,
    weight: f64,
}

/// Counts events over a sliding window.
#[derive(Debug, Clone, Default)]
pub struct RateMeter {
    events: VecDeque<Event>,
}

impl RateMeter {
    /// Adds an event of some weight.
    pub fn add(&mut self, weight: f64, now: f64) {
        self.events.push_back(Event { at: now, weight });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Drops what is older than two windows.
    pub fn trim(&mut self, window_s: f64, now: f64) {
        let is_old = |event: &Event| now - event.at > WINDOWS_KEPT * window_s;
        while self.events.front().is_some_and(is_old) {
            self.events.pop_front();
        }
    }

    /// Events per second over the last window, or over the time since `from` if that is shorter.
    pub fn rate(&self, window_s: f64, from: f64, now: f64) -> f64 {
        let span_s = window_s.min(now - from).max(MIN_SPAN_S);
        self.total_weight(now - span_s, now) / span_s
    }

    /// The rate with its trend carried on by one window; never below half of the present rate.
    pub fn forecast(&self, window_s: f64, from: f64, now: f64) -> f64 {
        let rate = self.rate(window_s, from, now);
        if now - from < WINDOWS_KEPT * window_s {
            return rate;
        }
        let window_start = now - window_s;
        let earlier_rate = self.total_weight(window_start - window_s, window_start) / window_s;
        let trend = rate - earlier_rate;
        (rate + trend).max(rate * MIN_FORECAST_SHARE)
    }

    /// Weight of the events after `from` and until `to`.
    fn total_weight(&self, from: f64, to: f64) -> f64 {
        let in_span = |event: &&Event| event.at > from && event.at <= to;
        let events = self.events.iter().filter(in_span);
        events.map(|event| event.weight).sum()
    }
}
