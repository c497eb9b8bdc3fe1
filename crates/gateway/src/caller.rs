//! A request that has no whole answer yet, as its caller's side sees it.

use crate::{
    hub::{Command, Hub, Refused},
    quotas::Charge,
    telemetry,
};
use std::rc::Rc;
use tokio::sync::mpsc;
use vanetally_dispatch::{Attempt, AttemptEnd, Event, RequestId};
use vanetally_ports::{Refusal, RefusalCause};
use vanetally_types::{Name, Tick};

/// What ends an attempt from this side.
pub(crate) enum Interrupt {
    /// Its upstream has ended: it counts as broken off.
    Abandoned,
    /// The request has its final answer.
    Refused(Refused),
}

/// Waits for what ends `attempt`.
pub(crate) async fn interrupted(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    attempt: &Attempt,
) -> Interrupt {
    loop {
        match commands.recv().await {
            Some(Command::Refuse(refused)) => return Interrupt::Refused(refused),
            Some(Command::Abandon { number }) if number == attempt.number => {
                return Interrupt::Abandoned;
            }
            // An earlier attempt had ended by itself when it was to be given up.
            Some(Command::Abandon { .. }) => {}
            Some(Command::Send(_)) | None => return Interrupt::Refused(lost()),
        }
    }
}

/// For a request whose commands make no sense any more.
fn lost() -> Refused {
    Refusal::may_have_run(RefusalCause::UpstreamFailed).into()
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A request that has no whole answer yet. Dropped before its end, it tells that its caller left.
pub(crate) struct Caller {
    pub hub: Rc<Hub>,
    pub id: RequestId,
    /// The caller's name for the request.
    pub name: Name,
    arrived: Tick,
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// What it took of its organisation's quota.
    charge: Option<Charge>,
    is_over: bool,
}

impl Caller {
    /// The request `id` has just been admitted.
    pub(crate) fn new(
        hub: Rc<Hub>,
        id: RequestId,
        name: Name,
        commands: mpsc::UnboundedReceiver<Command>,
        charge: Option<Charge>,
    ) -> Self {
        let arrived = hub.clock.now();
        Self { hub, id, name, arrived, commands, charge, is_over: false }
    }

    /// Milliseconds since the request arrived.
    fn age_ms(&self) -> u64 {
        self.hub.clock.now().since(self.arrived)
    }

    /// The same in seconds, for metrics.
    pub(crate) fn age_seconds(&self) -> f64 {
        self.age_ms() as f64 / MILLIS_PER_SECOND
    }

    /// The request has its final answer.
    pub(crate) fn finish(&mut self) {
        self.is_over = true;
        self.hub.forget(self.id);
    }

    /// An attempt ended; the decisions answer with a command unless it was served.
    pub(crate) fn attempt_ended(&self, attempt: &Attempt, end: AttemptEnd, answered: bool) {
        telemetry::attempt_ended(end);
        if let Some(charge) = &self.charge {
            charge.attempt_ended(end);
        }
        if end != AttemptEnd::Served {
            log::info!(
                "event=attempt_ended request={} upstream={} number={} end={} answered={answered} \
                 after_ms={}",
                self.name,
                attempt.upstream,
                attempt.number,
                end.as_str(),
                self.age_ms()
            );
        }
        self.hub.request_event(Event::AttemptEnded { id: self.id, end, answered });
    }

    /// The next sending, or the final answer.
    pub(crate) async fn command(&mut self) -> Result<Attempt, Refused> {
        loop {
            match self.commands.recv().await {
                Some(Command::Send(attempt)) => {
                    if let Some(charge) = &self.charge {
                        charge.sent();
                    }
                    return Ok(attempt);
                }
                Some(Command::Refuse(refused)) => return Err(refused),
                // The attempt had ended by itself.
                Some(Command::Abandon { .. }) => {}
                // The sender lives until the request is forgotten, which only its end does.
                None => return Err(lost()),
            }
        }
    }

    /// Notes the final answer of the product's own.
    pub(crate) fn refused(&mut self, refused: &Refused) {
        let Refused { refusal, context } = refused;
        let lack = context.shortage.map_or("-", |shortage| shortage.kind.as_str());
        telemetry::refused(refusal.cause, lack);
        log::info!(
            "event=request_refused request={} route={} subject={} lack={lack} holders={} sendings={} \
             cause={} verdict={} retry_after_ms={} after_ms={}",
            self.name,
            context.route,
            context.subject.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            context.shortage.map_or(0, |shortage| shortage.holders),
            context.attempts,
            refusal.cause.as_str(),
            refusal.verdict,
            refusal.retry_after_ms.unwrap_or(0),
            self.age_ms()
        );
        self.finish();
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        telemetry::caller_left();
        log::info!("event=caller_left request={} after_ms={}", self.name, self.age_ms());
        self.hub.forget(self.id);
        self.hub.request_event(Event::CallerLeft { id: self.id });
    }
}
