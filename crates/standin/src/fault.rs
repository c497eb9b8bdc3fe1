//! Fault injection: `POST /fault` sets the fields of `Faults` that its body names.

use serde::{Deserialize, Serialize};
use std::{
    sync::{Mutex, MutexGuard},
    thread,
    time::Duration,
};
use vanetally_link::http::{Exchange, Reply};

/// Faults that a stand-in injects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every protocol call is answered with status 500.
    pub down: bool,
    /// Added delay of each answer.
    pub slow_ms: u64,
    /// Whether protocol calls block until this is switched off.
    pub freeze: bool,
    /// Number of next writes, orders or runs that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of next writes or orders that are lost without effect.
    pub lose_requests: u32,
    /// Number of next orders that are answered as lost and take effect `late_ms` later.
    pub late_requests: u32,
    /// Delay with which the orders counted by `late_requests` take effect.
    pub late_ms: u64,
    /// Minimum age of the host list that is returned.
    pub list_lag_ms: u64,
    /// Maximum age of the engine reports that are returned.
    pub report_lag_ms: u64,
    /// Whether the stand-in announces that it is leaving and refuses new work.
    pub leaving: bool,
    /// Number of events after which a stream breaks; 0 for never.
    pub break_after: u64,
    /// Whether resuming a broken stream is refused.
    pub no_resume: bool,
    /// Number of bytes of answers that have no end, after which nothing more follows until this is 0 again.
    pub endless_bytes: usize,
}

/// The outcome of a write or an order under the injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It takes effect and is answered.
    Normal,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It has no effect and the answer is lost.
    RequestLost,
    /// It takes effect after this many milliseconds; the answer is lost.
    Delayed(u64),
}

/// The faults of one stand-in, settable at runtime.
#[derive(Debug, Default)]
pub struct FaultInjector(Mutex<Faults>);

const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl FaultInjector {
    /// Returns the current faults.
    pub fn current(&self) -> Faults {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sets the faults that the body of the request names; the others keep their values.
    pub fn update(&self, exchange: &Exchange) -> Reply {
        let body = exchange.body().unwrap_or_default();
        let mut faults = self.lock();
        let mut value = serde_json::to_value(&*faults).unwrap_or_default();
        let changes: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        for (key, field) in changes.as_object().into_iter().flatten() {
            value[key] = field.clone();
        }
        match serde_json::from_value::<Faults>(value) {
            Ok(updated) => {
                *faults = updated;
                Reply::new(200, "text/plain", "set\n")
            }
            Err(e) => Reply::new(400, "text/plain", format!("{e}\n")),
        }
    }

    /// Waits out the injected delay or freeze, then returns whether the stand-in is up.
    pub fn is_up_after_delay(&self) -> bool {
        loop {
            let faults = self.current();
            if !faults.freeze {
                thread::sleep(Duration::from_millis(faults.slow_ms));
                return !self.current().down;
            }
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    /// Waits until answers have an end again.
    pub fn wait_for_ends(&self) {
        while self.current().endless_bytes > 0 {
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    /// Returns the outcome of the next write or order and uses up the fault that causes it.
    pub fn next_outcome(&self) -> Outcome {
        let mut faults = self.lock();
        if faults.lose_requests > 0 {
            faults.lose_requests -= 1;
            return Outcome::RequestLost;
        }
        if faults.late_requests > 0 {
            faults.late_requests -= 1;
            return Outcome::Delayed(faults.late_ms);
        }
        if faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return Outcome::AnswerLost;
        }
        Outcome::Normal
    }
}

/// The reply sent in place of a lost answer: it does not show whether the request took effect.
pub fn lost_answer() -> Reply {
    Reply::new(500, "text/plain", "no answer\n")
}
