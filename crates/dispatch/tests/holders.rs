//! A request goes to an upstream that holds its model, whatever was announced and told before.

mod support;

use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{Host, refusal, request, route, upstream};
use vanetally_dispatch::{Action, Event, Presence, ShortageKind};
use vanetally_ports::{ModelRef, RequestKind};
use vanetally_types::Incarnation;

const UPSTREAMS: u16 = 4;
const MODELS: [&str; 2] = ["m1", "m2"];
/// What the holder of orders told counts for this long, in milliseconds.
const TOLD_MS: u64 = 4_000;
/// Longer than any caller waits, in milliseconds.
const PATIENCE_MS: u64 = 4_000;

#[derive(Clone, Debug)]
enum Step {
    Seen { upstream: u16, models: Vec<&'static str> },
    Gone { upstream: u16 },
    Told { upstream: u16, model: &'static str },
    Ask { model: &'static str },
}

fn step() -> impl Strategy<Value = Step> {
    let model = || prop::sample::select(&MODELS[..]);
    prop_oneof![
        (0..UPSTREAMS, prop::sample::subsequence(&MODELS[..], 0..=MODELS.len()))
            .prop_map(|(upstream, models)| Step::Seen { upstream, models }),
        (0..UPSTREAMS).prop_map(|upstream| Step::Gone { upstream }),
        (0..UPSTREAMS, model()).prop_map(|(upstream, model)| Step::Told { upstream, model }),
        model().prop_map(|model| Step::Ask { model }),
    ]
}

fn name(number: u16) -> Incarnation {
    format!("i-{number}").into()
}

/// What is known of the upstreams, kept as simply as possible: what each announced and was told.
#[derive(Default)]
struct Known {
    announced: BTreeMap<u16, Vec<&'static str>>,
    told: BTreeMap<(u16, &'static str), u64>,
}

impl Known {
    fn holders(&self, model: &'static str, now: u64) -> Vec<Incarnation> {
        let holds = |number: &u16| {
            let told = self.told.get(&(*number, model));
            let is_told = told.is_some_and(|at| now - at <= TOLD_MS);
            is_told || self.announced[number].contains(&model)
        };
        self.announced.keys().copied().filter(|number| holds(number)).map(name).collect()
    }
}

proptest! {
    #[test]
    fn holder_found(steps in prop::collection::vec(step(), 1..60)) {
        let mut host = Host::new(vec![route("offer", RequestKind::Stream, "llm")]);
        let (mut known, mut now) = (Known::default(), 0);
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Seen { upstream: id, models } => {
                    host.see(&name(id).id, upstream("llm", 1 + id, &models));
                    known.announced.insert(id, models);
                }
                Step::Gone { upstream } => {
                    host.tell(Event::UpstreamGone { id: name(upstream) });
                    known.announced.remove(&upstream);
                    known.told.retain(|(id, _), _| *id != upstream);
                }
                Step::Told { upstream, model } => {
                    let subject = ModelRef { model: model.into(), adapter: None };
                    let presence = Presence::Present;
                    host.tell(Event::PresenceReported { runner: name(upstream), subject, presence });
                    if known.announced.contains_key(&upstream) {
                        known.told.insert((upstream, model), now);
                    }
                }
                Step::Ask { model } => {
                    let (id, actions) =
                        host.arrive(request(&format!("r{number}"), "offer", Some(model)));
                    let sent = actions.iter().find_map(|action| match action {
                        Action::Send { attempt, .. } => Some(attempt.upstream.clone()),
                        _ => None,
                    });
                    let holders = known.holders(model, now);
                    match sent {
                        Some(upstream) => {
                            prop_assert!(holders.contains(&upstream), "{upstream} of {holders:?}");
                            host.end(id, vanetally_dispatch::AttemptEnd::Served);
                        }
                        None => {
                            prop_assert!(holders.is_empty(), "{holders:?}");
                            now += PATIENCE_MS;
                            let actions = host.pass(PATIENCE_MS);
                            prop_assert!(refusal(&actions, id).is_some());
                            let is_nobody = known.announced.is_empty();
                            let lack = if is_nobody { ShortageKind::Upstream } else { ShortageKind::Model };
                            prop_assert_eq!(lacked(&actions), Some(lack));
                        }
                    }
                }
            }
        }
    }
}

fn lacked(actions: &[Action]) -> Option<ShortageKind> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { context, .. } => context.shortage.map(|shortage| shortage.kind),
        _ => None,
    })
}
