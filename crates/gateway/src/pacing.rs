//! Asking pacers for the moments of prompts, and answering as one.

use crate::{hub::Hub, peers::PeerMessage};
use std::{collections::HashMap, rc::Rc};
use vanetally_dispatch::{self as dispatch, RequestId};
use vanetally_pacing::{BreakerTransition, Pacer, Pacers, Prompt, SlotReply};
use vanetally_types::{Incarnation, Name, Tick};

/// For a pacer to answer, in milliseconds: after that this host decides alone.
const ANSWER_MS: u64 = 40;

/// A question that another host has not answered.
struct Question {
    id: RequestId,
    reservation: u32,
    prompt: Prompt,
    host: Name,
    asked: Tick,
}

/// This host's part in pacing.
pub(crate) struct Pacing {
    pacer: Pacer,
    pacers: Pacers,
    questions: HashMap<u64, Question>,
    next_number: u64,
}

impl Pacing {
    /// Only this host is known.
    pub(crate) fn new(me: Name) -> Self {
        Self {
            pacer: Pacer::default(),
            pacers: Pacers::new(me),
            questions: HashMap::new(),
            next_number: 0,
        }
    }

    /// The hosts that live, with their capacities.
    pub(crate) fn set_hosts(&mut self, hosts: Vec<(Name, u32)>) {
        self.pacers.set_hosts(hosts);
    }

    /// An engine let go of a model.
    pub(crate) fn drop_model(&mut self, upstream: &Incarnation, model: &Name) {
        self.pacer.drop_model(upstream, model);
    }

    /// An engine has gone.
    pub(crate) fn forget(&mut self, upstream: &Incarnation) {
        self.pacer.forget(upstream);
    }

    /// Notes a question, and numbers it.
    fn ask(&mut self, question: Question) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.questions.insert(number, question);
        number
    }

    /// Takes out the questions that were not answered in time.
    fn take_unanswered(&mut self, now: Tick) -> Vec<Question> {
        let late = self.questions.extract_if(|_, question| now.since(question.asked) > ANSWER_MS);
        late.map(|(_, question)| question).collect()
    }
}

impl Hub {
    /// Asks the pacer of the prompt's engine for its moment.
    pub(crate) fn reserve(self: &Rc<Self>, id: RequestId, reservation: u32, prompt: Prompt) {
        let now = self.clock.now();
        let host = self.pacing.borrow_mut().pacers.pacer_of(now, &prompt.upstream.id).clone();
        if host == self.settings.host {
            return self.reserve_here(id, reservation, &prompt);
        }
        let question = Question { id, reservation, prompt: prompt.clone(), host, asked: now };
        let host = question.host.clone();
        let number = self.pacing.borrow_mut().ask(question);
        self.send(&host, &PeerMessage::Reserve { number, prompt });
    }

    fn reserve_here(self: &Rc<Self>, id: RequestId, reservation: u32, prompt: &Prompt) {
        let slot = self.pacing.borrow_mut().pacer.reserve(self.clock.now(), prompt);
        self.request_event(dispatch::Event::Reserved { id, reservation, slot });
    }

    /// Another host asks for a moment.
    pub(crate) fn reserve_for(&self, host: &Name, number: u64, prompt: &Prompt) {
        let slot = self.pacing.borrow_mut().pacer.reserve(self.clock.now(), prompt);
        self.send(host, &PeerMessage::Reserved { number, slot });
    }

    /// A pacer answered.
    pub(crate) fn reserved(self: &Rc<Self>, number: u64, slot: SlotReply) {
        let question = self.pacing.borrow_mut().questions.remove(&number);
        if let Some(Question { id, reservation, .. }) = question {
            self.request_event(dispatch::Event::Reserved { id, reservation, slot });
        }
    }

    /// Tells the pacer of an engine how a request ended there.
    pub(crate) fn tell_pacer(&self, upstream: Incarnation, is_good: bool) {
        let now = self.clock.now();
        let host = self.pacing.borrow_mut().pacers.pacer_of(now, &upstream.id).clone();
        if host == self.settings.host {
            return self.told_end(&host, &upstream, is_good);
        }
        self.send(&host, &PeerMessage::Ended { upstream, is_good });
    }

    /// A host told how a request ended at an engine that this one paces.
    pub(crate) fn told_end(&self, from: &Name, upstream: &Incarnation, is_good: bool) {
        let turn =
            self.pacing.borrow_mut().pacer.record_outcome(self.clock.now(), upstream, is_good);
        match turn {
            None => {}
            Some(BreakerTransition::Opened { pause_ms }) => {
                log::info!(
                    "event=engine_avoided upstream={upstream} by={from} pause_ms={pause_ms}"
                );
            }
            Some(BreakerTransition::Closed) => {
                log::info!("event=engine_answers upstream={upstream} by={from}")
            }
        }
    }

    /// Decides alone what pacers did not answer.
    pub(crate) fn check_pacers(self: &Rc<Self>) {
        let now = self.clock.now();
        let unanswered = self.pacing.borrow_mut().take_unanswered(now);
        for question in unanswered {
            log::info!(
                "event=pacer_silent host={} upstream={} after_ms={}",
                question.host,
                question.prompt.upstream,
                now.since(question.asked)
            );
            self.pacing.borrow_mut().pacers.mark_silent(now, &question.host);
            self.reserve_here(question.id, question.reservation, &question.prompt);
        }
    }
}
