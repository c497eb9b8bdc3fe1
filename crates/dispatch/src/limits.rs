//! Stated rate limits of upstreams, from answers and from other hosts.

use crate::{Action, Digest, Dispatch, LimitRow};
use vanetally_limit::LimitStatement;
use vanetally_types::{Incarnation, Name, Tick};

impl Dispatch {
    /// Records the rate limit stated in an answer, or that it stated none.
    pub(crate) fn stated(
        &mut self,
        now: Tick,
        id: Incarnation,
        sent: Tick,
        rate: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        let upstream = self.upstreams.get_mut(&id);
        let change = upstream.and_then(|upstream| upstream.limit.record_answer(now, sent, rate));
        self.loads.mark_active(&id);
        actions.extend(change.map(|change| Action::LimitChanged {
            upstream: id,
            change,
            reported_by: None,
        }));
    }

    /// Records the rate limits that another host reported.
    pub(crate) fn peer_limits(
        &mut self,
        now: Tick,
        host: &Name,
        digest: &Digest,
        actions: &mut Vec<Action>,
    ) {
        let rows = digest.loads.iter().filter_map(|row| Some((&row.upstream, row.limit?)));
        for (id, row) in rows {
            let at = Tick(now.0.saturating_sub(u64::from(row.age_ms)));
            let upstream = self.upstreams.get_mut(id);
            let change = upstream
                .and_then(|known| known.limit.record_report(LimitStatement { rate: row.rate, at }));
            let limited = |change| Action::LimitChanged {
                upstream: id.clone(),
                change,
                reported_by: Some(host.clone()),
            };
            actions.extend(change.map(limited));
        }
    }
}

/// Converts a statement for a digest.
pub(crate) fn limit_row(now: Tick, statement: LimitStatement) -> LimitRow {
    LimitRow { rate: statement.rate, age_ms: now.since(statement.at) as u32 }
}
