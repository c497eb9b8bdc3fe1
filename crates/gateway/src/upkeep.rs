//! Housekeeping and the state dump.

use crate::{hub::Hub, telemetry};

impl Hub {
    /// Runs the housekeeping, about once per second.
    pub(crate) fn upkeep(&self) {
        self.pool.sweep();
        self.control_pool.sweep();
        self.store.sweep();
        let is_holder = self.order_lease.borrow().is_holding(self.clock.now());
        if is_holder {
            self.log_placement();
        }
        self.log_quota_queues();
        let dispatch = self.dispatch.borrow();
        telemetry::set_gauges(dispatch.counts(), dispatch.version(), self.is_ready());
        self.served_tunnels.sweep();
        let reach = self.reach.borrow();
        let served = self.served_tunnels.open();
        telemetry::set_reach_gauges(reach.blocked(), reach.exits.tunnels(), served);
        let (held, suspected) = dispatch.quarantine().counts(self.clock.now());
        telemetry::set_content_gauges(held, suspected, self.evidence.borrow().len());
        telemetry::set_caller_gauges(self.callers.counts());
        telemetry::order_holder(is_holder);
        telemetry::link_traffic(self.links.traffic());
    }

    fn log_placement(&self) {
        let summary = self.placement.borrow().summary(self.clock.now());
        let models = summary.iter().map(|model| {
            let (load, holders, loading) = (model.load, model.holders, model.loading);
            format!("{}:{load:.2}:{holders}+{loading}", model.model)
        });
        let runners = self.placement.borrow().runners();
        let obstacles = runners.obstacles.iter();
        let obstacles = obstacles.map(|(obstacle, count)| format!("{}:{count}", obstacle.as_str()));
        log::info!(
            "event=placement open={} making_room={} obstacles={} free_places={} models={}",
            runners.available,
            runners.evicting,
            obstacles.collect::<Vec<_>>().join(","),
            runners.free_places,
            models.collect::<Vec<_>>().join(",")
        );
    }

    /// Returns the state of the process as text.
    pub(crate) fn dump(&self) -> String {
        let now = self.clock.now();
        let dispatch = self.dispatch.borrow();
        let peers = self.peers.borrow();
        let loads = dispatch.summaries(now).into_iter().map(|load| format!("{load:?}\n"));
        let loads: String = loads.collect();
        format!(
            "host={}\nversion={:?}\ncounts={:?}\nstage={:?}\nholder={:?}\ntoken={:?}\npeers={:?}\n{loads}",
            self.settings.host,
            dispatch.version(),
            dispatch.counts(),
            *self.stage.borrow(),
            self.holder.borrow(),
            self.order_lease.borrow().token(now),
            peers.keys().collect::<Vec<_>>(),
        )
    }
}
