//! Streams that break off in many forms at upstreams of several versions, and that callers take up elsewhere.

use crate::{
    callers::Exchange,
    faults::EVENTS,
    invariants::Violation,
    site::{Site, is_other_build, other_build},
};
use rand::{RngExt, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};
use vanetally_platform_standin::{
    Behaviour, ClientAnswer, StreamFault, StreamFraming, StreamShape,
};

/// Share of the faults after which engines break their streams off, and share of these that concern all engines.
const SHARE: f64 = 0.3;
const ALL_SHARE: f64 = 0.6;
const FRAMINGS: [StreamFraming; 2] = [StreamFraming::Chunks, StreamFraming::Close];
const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];
/// What comes before the first event; comments are none.
const OPENINGS: [&str; 2] = ["", ": here\n\n"];
/// Versions of the engines.
const VERSIONS: [&str; 2] = ["v1", "v1.2"];

/// What a request takes up.
#[derive(Clone, Debug)]
pub struct TakenUp {
    /// Request that brought the first event of the stream.
    pub first: String,
    /// Number of the last event that arrived.
    pub after: u32,
}

/// Sets the versions of the engines.
pub fn set_versions(site: &Site) {
    let engines = site.deployment.engines.iter();
    engines.zip(VERSIONS.iter().cycle()).for_each(|(engine, version)| engine.set_version(version));
}

/// Makes an engine, or all of them, break their streams off, with the probability `SHARE`. Does nothing beside another
/// build, which may take each close for the end of an answer.
pub fn inject(rng: &mut StdRng, site: &Site) {
    if other_build().is_some() || !rng.random_bool(SHARE) {
        return;
    }
    let fault = StreamFault {
        after: rng.random_range(0..EVENTS),
        is_reset: rng.random_bool(0.3),
        is_lasting: rng.random_bool(0.5),
    };
    let shape = StreamShape {
        framing: FRAMINGS[rng.random_range(0..FRAMINGS.len())],
        line_end: LINE_ENDS[rng.random_range(0..LINE_ENDS.len())],
        opening: OPENINGS[rng.random_range(0..OPENINGS.len())],
        events: EVENTS,
        padding: 0,
        fault: Some(fault),
    };
    let engines = &site.deployment.engines;
    let first = rng.random_range(0..engines.len());
    let count = if rng.random_bool(ALL_SHARE) { engines.len() } else { 1 };
    let broken = engines.iter().cycle().skip(first).take(count);
    broken.for_each(|engine| engine.set_behaviour(Behaviour::Shaped(shape)));
}

/// Returns what the caller of a broken stream takes up, if it is one with events.
pub fn rest_of(id: &str, taken_up: Option<&TakenUp>, answer: &ClientAnswer) -> Option<TakenUp> {
    let is_broken = answer.status == 200 && !answer.is_complete;
    let after = whole_events(answer).last().copied().filter(|_| is_broken)?;
    let first = taken_up.map_or_else(|| id.to_owned(), |taken_up| taken_up.first.clone());
    Some(TakenUp { first, after })
}

/// Returns the numbers of the events that arrived whole.
fn whole_events(answer: &ClientAnswer) -> Vec<u32> {
    let text = answer.body.replace("\r\n", "\n").replace('\r', "\n");
    // What follows the last empty line is no whole event.
    let mut events: Vec<&str> = text.split("\n\n").collect();
    events.pop();
    let ids = events
        .iter()
        .filter_map(|event| event.lines().find_map(|line| line.strip_prefix("id: ")?.parse().ok()));
    ids.collect()
}

fn versions(answer: &ClientAnswer) -> BTreeSet<String> {
    let lines = answer.body.split(['\r', '\n']).filter(|line| line.starts_with("data: "));
    let named = lines.filter_map(|line| line.split(" of ").nth(1));
    named.filter(|version| VERSIONS.contains(version)).map(str::to_owned).collect()
}

/// No stream holds events of two versions, within an answer or over its caller's requests.
pub fn check(exchanges: &[Exchange]) -> Vec<Violation> {
    let mut streams: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for exchange in exchanges {
        let Some(answer) = &exchange.answer else {
            continue;
        };
        // A host of another build need not know of versions.
        if is_other_build(exchange.host, exchange.incarnation) {
            continue;
        }
        let first = exchange.taken_up.as_ref().map_or(&*exchange.id, |taken_up| &taken_up.first);
        streams.entry(first).or_default().extend(versions(answer));
    }
    let joined = streams.into_iter().filter(|(_, versions)| versions.len() > 1);
    joined.map(|(id, versions)| Violation::VersionsJoined { id: id.into(), versions }).collect()
}
