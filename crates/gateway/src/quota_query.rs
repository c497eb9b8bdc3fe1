//! Open queries of this host's requests for quota.

use crate::{hub::Hub, telemetry};
use std::{rc::Rc, time::Duration};
use tokio::{sync::Notify, time::timeout};
use vanetally_quota::QuotaAnswer;
use vanetally_types::Tick;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A query of a request to the grantor. Dropping it without its answer abandons the query.
pub(crate) struct OpenQuery {
    pub hub: Rc<Hub>,
    pub number: u64,
    pub wait_ms: u64,
    pub asked_at: Tick,
    /// Wakes the request when an answer has come.
    pub answered: Rc<Notify>,
}

impl OpenQuery {
    /// Waits for the final answer; `None` if it does not come in time.
    pub(crate) async fn answer(&self) -> Option<QuotaAnswer> {
        loop {
            let now = self.hub.clock.now();
            let left_ms = {
                let queries = &mut self.hub.quotas.borrow_mut().queries;
                let has_waited = queries.has_waited(self.number);
                if let Some(answer) = queries.take_answer(self.number) {
                    if has_waited {
                        self.record_wait(now, wait_end(answer));
                    }
                    return Some(answer);
                }
                queries.awaited_until(self.number).map_or(0, |until| until.since(now))
            };
            if left_ms == 0 {
                return None;
            }
            // Whether an answer has come is looked up above.
            let _ = timeout(Duration::from_millis(left_ms), self.answered.notified()).await;
        }
    }

    fn record_wait(&self, now: Tick, end: &'static str) {
        telemetry::quota_waited(end, now.since(self.asked_at) as f64 / MILLIS_PER_SECOND);
    }
}

impl Drop for OpenQuery {
    fn drop(&mut self) {
        let now = self.hub.clock.now();
        let returned = {
            let quotas = &mut self.hub.quotas.borrow_mut();
            quotas.answered.remove(&self.number);
            if quotas.queries.has_waited(self.number) {
                self.record_wait(now, "abandoned");
            }
            quotas.queries.abandon(now, self.number)
        };
        if let Some(returned) = returned {
            self.hub.return_grant(returned);
        }
    }
}

/// Returns how a wait ended, for metrics.
fn wait_end(answer: QuotaAnswer) -> &'static str {
    match answer {
        QuotaAnswer::Granted { .. } => "granted",
        QuotaAnswer::Refused { .. } => "refused",
        QuotaAnswer::NotGranting | QuotaAnswer::Queued { .. } => "not_granting",
    }
}
