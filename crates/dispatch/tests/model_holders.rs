//! A request goes to an upstream that holds its model, whatever was announced and reported before.

mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{Host, refusal, request, route, upstream};
use vanetally_dispatch::{Action, Event, Presence, ShortageKind};
use vanetally_ports::{ModelRef, RequestKind};
use vanetally_types::Incarnation;

const UPSTREAMS: u16 = 4;
const MODELS: [&str; 2] = ["m1", "m2"];
/// How long a report of the order holder counts.
const PRESENCE_MS: u64 = 4_000;
/// Longer than any request waits.
const MAX_WAIT_MS: u64 = 4_000;

#[derive(Clone, Debug)]
enum Step {
    Seen { upstream: u16, models: Vec<&'static str> },
    Gone { upstream: u16 },
    Reported { upstream: u16, model: &'static str },
    Request { model: &'static str },
}

fn step() -> impl Strategy<Value = Step> {
    let model = || prop::sample::select(&MODELS[..]);
    prop_oneof![
        (0..UPSTREAMS, prop::sample::subsequence(&MODELS[..], 0..=MODELS.len()))
            .prop_map(|(upstream, models)| Step::Seen { upstream, models }),
        (0..UPSTREAMS).prop_map(|upstream| Step::Gone { upstream }),
        (0..UPSTREAMS, model()).prop_map(|(upstream, model)| Step::Reported { upstream, model }),
        model().prop_map(|model| Step::Request { model }),
    ]
}

fn name(number: u16) -> Incarnation {
    format!("i-{number}").into()
}

/// Expected state of the upstreams: what each announced and was reported to hold.
#[derive(Default)]
struct ExpectedState {
    announced: BTreeMap<u16, Vec<&'static str>>,
    reported: BTreeMap<(u16, &'static str), u64>,
}

impl ExpectedState {
    fn holders(&self, model: &'static str, now: u64) -> Vec<Incarnation> {
        let holds = |number: &u16| {
            let reported = self.reported.get(&(*number, model));
            let is_reported = reported.is_some_and(|at| now - at <= PRESENCE_MS);
            is_reported || self.announced[number].contains(&model)
        };
        self.announced.keys().copied().filter(|number| holds(number)).map(name).collect()
    }
}

proptest! {
    #[test]
    fn request_goes_to_holder(steps in prop::collection::vec(step(), 1..60)) {
        let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
        let (mut expected, mut now) = (ExpectedState::default(), 0);
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Seen { upstream: id, models } => {
                    host.announce(&name(id).id, upstream("llm", 1 + id, &models));
                    expected.announced.insert(id, models);
                }
                Step::Gone { upstream } => {
                    host.handle(Event::UpstreamGone { id: name(upstream) });
                    expected.announced.remove(&upstream);
                    expected.reported.retain(|(id, _), _| *id != upstream);
                }
                Step::Reported { upstream, model } => {
                    let subject = ModelRef { model: model.into(), adapter: None };
                    let presence = Presence::Present;
                    host.handle(Event::PresenceReported {
                        runner: name(upstream),
                        subject,
                        presence,
                    });
                    if expected.announced.contains_key(&upstream) {
                        expected.reported.insert((upstream, model), now);
                    }
                }
                Step::Request { model } => {
                    let (id, actions) =
                        host.arrive(request(&format!("r{number}"), "offer", Some(model)));
                    let sent = actions.iter().find_map(|action| match action {
                        Action::Send { attempt, .. } => Some(attempt.upstream.clone()),
                        _ => None,
                    });
                    let holders = expected.holders(model, now);
                    match sent {
                        Some(upstream) => {
                            prop_assert!(holders.contains(&upstream), "{upstream} of {holders:?}");
                            host.end_attempt(id, vanetally_dispatch::AttemptEnd::Served);
                        }
                        None => {
                            prop_assert!(holders.is_empty(), "{holders:?}");
                            now += MAX_WAIT_MS;
                            let actions = host.advance(MAX_WAIT_MS);
                            prop_assert!(refusal(&actions, id).is_some());
                            let is_empty = expected.announced.is_empty();
                            let kind =
                                if is_empty { ShortageKind::Upstream } else { ShortageKind::Model };
                            prop_assert_eq!(shortage_kind(&actions), Some(kind));
                        }
                    }
                }
            }
        }
    }
}

fn shortage_kind(actions: &[Action]) -> Option<ShortageKind> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { context, .. } => context.shortage.map(|shortage| shortage.kind),
        _ => None,
    })
}
