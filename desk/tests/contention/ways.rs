//! Ways to limit the statements of a node at an instance.

use std::time;

use mangotray_desk::concurrency::controller;
use mangotray_desk::concurrency::exchange;
use mangotray_desk::room::window;

/// The fixed limit of today, for four slots.
const FIXED: usize = 5;
/// Most connections of a node.
const MAX: usize = 12;

/// A way to limit statements, and to choose an instance by its load.
pub trait Way {
    fn limit(&self) -> usize;
    fn record(&mut self, now: time::Duration, exchange: &exchange::Exchange);
    /// Expected time of an exchange, in seconds.
    fn expected(&self) -> f64 {
        0.02
    }
    /// Cost of one more statement where `load` others run or wait.
    fn cost(&self, load: f64) -> f64 {
        (load + 1.0) * self.expected()
    }
}

/// Today's rule.
pub struct Today(window::Window);

pub fn today() -> Box<dyn Way> {
    Box::new(Today(window::Window::new(FIXED)))
}

impl Way for Today {
    fn limit(&self) -> usize {
        self.0.size()
    }
    fn record(&mut self, now: time::Duration, exchange: &exchange::Exchange) {
        match exchange.outcome {
            exchange::Outcome::Done => self.0.record_success(now, exchange.took, exchange.full),
            exchange::Outcome::Refused => self.0.record_refusal(now),
            _ => {}
        }
    }
}

/// A fixed limit, and the choice by the learned time of an exchange.
pub struct LeastTime(controller::Controller);

pub fn least_time() -> Box<dyn Way> {
    Box::new(LeastTime(controller::Controller::new(FIXED, MAX)))
}

impl Way for LeastTime {
    fn limit(&self) -> usize {
        FIXED
    }
    fn record(&mut self, now: time::Duration, exchange: &exchange::Exchange) {
        let _ = self.0.record(now, exchange);
    }
    fn expected(&self) -> f64 {
        let known = self.0.expected();
        known.map_or(0.02, |expected| expected.as_secs_f64())
    }
}

/// Additive increase, multiplicative decrease on observed queueing: the product's.
pub struct Queueing(controller::Controller);

pub fn queueing() -> Box<dyn Way> {
    Box::new(Queueing(controller::Controller::new(FIXED, MAX)))
}

impl Way for Queueing {
    fn limit(&self) -> usize {
        self.0.limit()
    }
    fn record(&mut self, now: time::Duration, exchange: &exchange::Exchange) {
        let _ = self.0.record(now, exchange);
    }
    fn expected(&self) -> f64 {
        let known = self.0.expected();
        known.map_or(0.02, |expected| expected.as_secs_f64())
    }
}

/// A gradient on latency: the limit is multiplied by the ratio of the long to the short mean of
/// the times, and some room is added.
pub struct Gradient {
    size: f64,
    short: f64,
    long: f64,
    count: u32,
}

pub fn gradient() -> Box<dyn Way> {
    Box::new(Gradient {
        size: 2.0,
        short: 0.0,
        long: 0.0,
        count: 0,
    })
}

impl Way for Gradient {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn limit(&self) -> usize {
        self.size as usize
    }
    fn record(&mut self, _now: time::Duration, exchange: &exchange::Exchange) {
        let took = exchange.took.as_secs_f64();
        match exchange.outcome {
            exchange::Outcome::Refused => self.size = (self.size * 0.9).max(1.0),
            exchange::Outcome::Failed => {}
            _ => {
                self.count += 1;
                let weight = |most: u32| 1.0 / f64::from(self.count.min(most));
                self.short += (took - self.short) * weight(24);
                self.long += (took - self.long) * weight(600);
                // A long mean far above recovers at once.
                if self.long > 2.0 * self.short {
                    self.long *= 0.95;
                }
                let gradient = (1.5 * self.long / self.short).clamp(0.5, 1.0);
                let target = self.size * gradient + self.size.sqrt() / 2.0;
                if exchange.full || gradient < 1.0 {
                    self.size = (self.size * 0.95 + target * 0.05).clamp(1.0, 12.0);
                }
            }
        }
    }
    fn expected(&self) -> f64 {
        if self.count > 0 { self.short } else { 0.02 }
    }
}
