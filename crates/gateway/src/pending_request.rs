//! An admitted request, from the side of its caller's connection.

use crate::{
    charge::Charge,
    command::{Command, RequestRefusal},
    hub::Hub,
    telemetry,
};
use std::rc::Rc;
use tokio::sync::mpsc;
use vanetally_dispatch::{Attempt, AttemptEnd, Event, RequestId};
use vanetally_ports::{Refusal, RefusalCause, RequestError};
use vanetally_reach::{AttemptId, Event as ReachEvent};
use vanetally_types::{Name, Tick};

/// Why an attempt ends before its response does.
pub(crate) enum Interrupt {
    /// The attempt ends like this.
    Ended(AttemptEnd),
    /// The request is refused.
    Refused(RequestRefusal),
}

/// Waits for a command that ends `attempt`.
pub(crate) async fn next_interrupt(
    commands: &mut mpsc::UnboundedReceiver<Command>,
    attempt: &Attempt,
) -> Interrupt {
    loop {
        match commands.recv().await {
            Some(Command::Refuse(refused)) => return Interrupt::Refused(refused),
            Some(Command::Abandon { number }) if number == attempt.number => {
                return Interrupt::Ended(AttemptEnd::Broken);
            }
            Some(Command::PathLost) if attempt.may_repeat => {
                return Interrupt::Ended(AttemptEnd::Lost);
            }
            // Refers to an earlier attempt that had already ended.
            Some(Command::Abandon { .. } | Command::PathLost) => {}
            Some(Command::Send(_)) | None => return Interrupt::Refused(cut_short()),
        }
    }
}

/// The refusal of a request that can't go on, as when its command channel closed.
fn cut_short() -> RequestRefusal {
    Refusal::may_have_run(RefusalCause::UpstreamFailed).into()
}

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// An admitted request whose response is not complete. Dropping it before
/// [`PendingRequest::finish`] reports that the caller disconnected.
pub(crate) struct PendingRequest {
    pub hub: Rc<Hub>,
    pub id: RequestId,
    /// The request id given by the caller.
    pub name: Name,
    arrived: Tick,
    pub commands: mpsc::UnboundedReceiver<Command>,
    /// The quota charged to the request's organisation.
    charge: Option<Charge>,
    is_finished: bool,
}

impl PendingRequest {
    /// Wraps the newly admitted request `id`, which was read completely at `arrived`.
    pub(crate) fn new(
        hub: Rc<Hub>,
        arrived: Tick,
        id: RequestId,
        name: Name,
        commands: mpsc::UnboundedReceiver<Command>,
        charge: Option<Charge>,
    ) -> Self {
        Self { hub, id, name, arrived, commands, charge, is_finished: false }
    }

    /// Milliseconds since the request arrived.
    fn age_ms(&self) -> u64 {
        self.hub.clock.now().since(self.arrived)
    }

    /// Seconds since the request arrived, for metrics.
    pub(crate) fn age_seconds(&self) -> f64 {
        self.age_ms() as f64 / MILLIS_PER_SECOND
    }

    /// Marks the response as complete.
    pub(crate) fn finish(&mut self) {
        self.is_finished = true;
        self.leave_path(false);
        self.hub.forget(self.id);
    }

    /// Reports the end of an attempt. The dispatcher responds with a command unless it was served.
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
        self.leave_path(end == AttemptEnd::Lost);
        self.hub.request_event(Event::AttemptEnded { id: self.id, end, answered });
    }

    /// Ends the attempt in progress, if any, on its path to the upstream.
    fn leave_path(&self, is_broken: bool) {
        let attempt = AttemptId::Own(self.id.0);
        self.hub.reach_event(ReachEvent::Ended { attempt, is_broken });
    }

    /// Returns the next attempt, or the refusal that ends the request.
    pub(crate) async fn next_attempt(&mut self) -> Result<Attempt, RequestRefusal> {
        loop {
            match self.commands.recv().await {
                Some(Command::Send(attempt)) => {
                    if let Some(charge) = &self.charge {
                        charge.sent();
                    }
                    return Ok(attempt);
                }
                Some(Command::Refuse(refused)) => return Err(refused),
                // The attempt had already ended.
                Some(Command::Abandon { .. } | Command::PathLost) => {}
                // The hub keeps the sender until the request is forgotten, which only its end does.
                None => return Err(cut_short()),
            }
        }
    }

    /// Ends a request whose answer has begun and can't go on.
    pub(crate) fn give_up(&mut self) {
        // The dispatcher would resume it; to it the request ends like one whose caller has left.
        self.hub.request_event(Event::CallerLeft { id: self.id });
        self.record_refusal(&cut_short());
    }

    /// Ends a request that can't be built for its attempt: another form of it must not be sent.
    pub(crate) fn give_up_unbuilt(&mut self, error: &RequestError) -> RequestRefusal {
        log::error!("event=request_not_built request={} error=\"{error}\"", self.name);
        self.give_up();
        cut_short()
    }

    /// Logs and counts a refusal generated by this host, and finishes the request.
    pub(crate) fn record_refusal(&mut self, refused: &RequestRefusal) {
        let RequestRefusal { refusal, context } = refused;
        let lack = context.shortage.map_or("-", |shortage| shortage.kind.as_str());
        telemetry::request_refused(refusal.cause, lack);
        let forecast = context.forecast;
        if forecast.is_some() {
            telemetry::refused_by_forecast();
        }
        log::info!(
            "event=request_refused request={} route={} subject={} lack={lack} holders={} sendings={} \
             forecast_ms={} ahead={} per_s={} held={} cause={} verdict={} retry_after_ms={} after_ms={}",
            self.name,
            context.route,
            context.subject.as_ref().map_or_else(|| "-".into(), ToString::to_string),
            context.shortage.map_or(0, |shortage| shortage.holders),
            context.attempts,
            forecast.map_or_else(|| "-".into(), |forecast| forecast.turn_ms.to_string()),
            forecast.map_or(0, |forecast| forecast.ahead),
            forecast.map_or(0, |forecast| forecast.rate),
            context.was_held,
            refusal.cause.as_str(),
            refusal.verdict,
            refusal.retry_after_ms.unwrap_or(0),
            self.age_ms()
        );
        self.finish();
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        self.leave_path(false);
        telemetry::caller_left();
        log::info!("event=caller_left request={} after_ms={}", self.name, self.age_ms());
        self.hub.forget(self.id);
        self.hub.request_event(Event::CallerLeft { id: self.id });
    }
}
