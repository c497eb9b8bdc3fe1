//! Loads requested adapters on runners that hold their model.

use crate::{Action, Fit, Placement, machine::announce};
use vanetally_ports::{EngineSpec, FencingToken, ModelRef, Operation, Subject};
use vanetally_types::{Incarnation, Name, Tick};

/// Minimum idle time before an adapter may be evicted.
const MIN_ADAPTER_IDLE_MS: u64 = 1_000;

impl Placement {
    /// Orders the adapters that hosts requested.
    pub(crate) fn order_adapters(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        engine: &EngineSpec,
        actions: &mut Vec<Action>,
    ) {
        let requested = self.requested.keys().filter(|(name, _)| name == service);
        let requested: Vec<Subject> = requested
            .filter_map(|(_, subject)| {
                let adapter = Some(subject.adapter.clone()?);
                Some(Subject { model: subject.model.clone(), adapter })
            })
            .collect();
        for subject in requested {
            self.order_adapter(now, token, service, engine, subject, actions);
        }
    }

    /// Orders one adapter, unless a runner holds it or is loading it.
    pub(crate) fn order_adapter(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        engine: &EngineSpec,
        subject: Subject,
        actions: &mut Vec<Action>,
    ) {
        if self.is_placed(service, &subject)
            || self.load_adapter(now, token, service, engine, subject.clone(), actions)
        {
            return;
        }
        let Some(runner) = self.runner_for_adapter(service, engine, &subject, Fit::NeedsEviction)
        else {
            return;
        };
        let victim =
            self.replicated_adapter(&runner).or_else(|| self.idle_adapter(now, service, &runner));
        match victim {
            Some(victim) => {
                self.order(now, token, &runner, Operation::Unload, victim, actions);
            }
            // All held adapters are in use: another replica of the model offers room for more.
            None => {
                self.adapter_full.insert((service.clone(), subject.model), now);
            }
        }
    }

    /// Orders a load of the adapter on a runner where it fits without an eviction. Returns whether
    /// there is such a runner.
    pub(crate) fn load_adapter(
        &mut self,
        now: Tick,
        token: FencingToken,
        service: &Name,
        engine: &EngineSpec,
        subject: Subject,
        actions: &mut Vec<Action>,
    ) -> bool {
        let runner = self.runner_for_adapter(service, engine, &subject, Fit::Fits);
        let Some(runner) = runner else {
            return false;
        };
        self.order(now, token, &runner, Operation::Load, subject, actions);
        true
    }

    /// Announces again to hosts what they requested although a runner holds it.
    ///
    /// Hosts rely on an announcement for some seconds and then on the runner's entry in the store.
    /// If that entry is not updated in time, for example while the store is unavailable, hosts
    /// would not find a recently loaded model or adapter until it is.
    pub(crate) fn reannounce(
        &mut self,
        now: Tick,
        service: &Name,
        requested: &ModelRef,
        actions: &mut Vec<Action>,
    ) {
        let key = (service.clone(), requested.clone());
        if self.reannounced.contains_key(&key) {
            return;
        }
        let subject =
            Subject { model: requested.model.clone(), adapter: requested.adapter.clone() };
        let holders = self.ledgers.iter().filter(|(_, ledger)| {
            ledger.state.service == *service && !ledger.is_leaving() && ledger.holds(&subject)
        });
        let announcements: Vec<Action> =
            holders.map(|(runner, _)| announce(runner, &subject, true, 0)).collect();
        if !announcements.is_empty() {
            self.reannounced.insert(key, now);
            actions.extend(announcements);
        }
    }

    fn is_placed(&self, service: &Name, subject: &Subject) -> bool {
        self.ledgers.values().any(|ledger| {
            ledger.state.service == *service
                && !ledger.is_leaving()
                && ledger.will_hold_adapter(subject)
        })
    }

    /// The runner with the fewest adapters among those that hold the model and match `fit`.
    fn runner_for_adapter(
        &self,
        service: &Name,
        engine: &EngineSpec,
        subject: &Subject,
        fit: Fit,
    ) -> Option<Incarnation> {
        let fitting = self.ledgers.iter().filter(|(runner, ledger)| {
            let weights = Subject { model: subject.model.clone(), adapter: None };
            ledger.state.service == *service
                && ledger.holds_model(&subject.model)
                && !ledger.will_hold_adapter(subject)
                && ledger.next_count().is_some()
                && ledger.adapter_fit(engine) == fit
                && !self.pending_unloads.contains_key(&((*runner).clone(), weights))
        });
        let least_used = fitting.min_by_key(|(runner, ledger)| {
            (ledger.adapter_count(), vanetally_types::hash64(runner.id.as_bytes()))
        });
        least_used.map(|(runner, _)| runner.clone())
    }

    /// An adapter on the runner that another runner of its service holds as well.
    fn replicated_adapter(&self, runner: &Incarnation) -> Option<Subject> {
        let ledger = self.ledgers.get(runner)?;
        let others = || {
            self.ledgers.iter().filter(|(name, other)| {
                *name != runner && other.state.service == ledger.state.service
            })
        };
        ledger.adapters().find(|subject| {
            others().any(|(_, other)| {
                !other.is_leaving() && other.adapters().any(|held| held == *subject)
            })
        })
    }

    /// The adapter on the runner with the oldest last request, if it has been idle long enough.
    fn idle_adapter(&self, now: Tick, service: &Name, runner: &Incarnation) -> Option<Subject> {
        let last_request = |subject: &Subject| {
            let key = ModelRef { model: subject.model.clone(), adapter: subject.adapter.clone() };
            self.demand.adapter_last_request(service, &key)
        };
        let ledger = self.ledgers.get(runner)?;
        let oldest = ledger.adapters().min_by_key(|subject| last_request(subject))?;
        (now.since(last_request(&oldest)) > MIN_ADAPTER_IDLE_MS).then_some(oldest)
    }
}
