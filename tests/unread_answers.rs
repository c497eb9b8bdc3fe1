//! Callers that take nothing of their answers, many at once, at one host.
//!
//! Guards against hosts that hold more for their callers than the memory of their machine.

mod gateway;

use gateway::{
    crowd::{Crowd, Script},
    crowd_site::{BODY_BYTES, CROWD, Site, alone},
    wait_for,
};
use rstest::rstest;
use std::{thread, time::Duration};
use vanetally_platform_standin::{Behaviour, EndlessPart};

/// Engines of a site whose answers nobody reads: enough slots for most of a crowd.
const ENGINES: usize = 16;
/// Descriptors of a machine whose memory bounds its connections.
const MANY_FDS: usize = 4_100;
/// Callers of such a machine.
const MANY: usize = 600;

#[rstest]
#[case::body("/offer/1", EndlessPart::Body)]
#[case::event("/offer/1", EndlessPart::Event)]
#[case::resumable_body("/draft/1", EndlessPart::Body)]
#[case::resumable_event("/draft/1", EndlessPart::Event)]
fn answers_that_nobody_reads(#[case] path: &'static str, #[case] part: EndlessPart) {
    let _turn = alone();
    let mut site = Site::start();
    (1..ENGINES).for_each(|_| site.deployment.add_engine());
    for engine in &site.deployment.engines {
        engine.set_behaviour(Behaviour::Endless(part));
    }
    // The host learns of the engines before the crowd comes.
    let upstreams = (ENGINES + site.deployment.desks.len()) as f64;
    wait_for("the engines are known", || {
        site.host.metric("vanetally_upstreams") == Some(upstreams)
    });
    thread::sleep(Duration::from_secs(2));
    let mut script = Script { path, reads: false, ..Script::with_length(10, 10) };
    script.headers.push_str("X-Model: m1\r\nX-Token-Count: 10,10\r\n");
    let mut crowd = Crowd::connect(site.host.front, CROWD, &script);
    site.settle(&mut crowd);
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    drop(crowd);
    site.check_calm();
}

/// As many callers as connections are allowed take nothing of their answers; some send on behind their requests.
#[rstest]
#[case::stream("/offer/1", 0)]
#[case::resumable("/draft/1", 0)]
#[case::more_behind("/offer/1", BODY_BYTES)]
fn many_answers_that_nobody_reads(#[case] path: &'static str, #[case] behind: usize) {
    let _turn = alone();
    let mut site = Site::with_slots(MANY_FDS, MANY);
    site.deployment.engines[0].set_behaviour(Behaviour::Endless(EndlessPart::Body));
    let mut script = Script { path, reads: false, ..Script::with_length(10, 10 + behind) };
    script.headers.push_str("X-Model: m1\r\nX-Token-Count: 10,10\r\n");
    let mut crowd = Crowd::connect(site.host.front, MANY, &script);
    site.settle(&mut crowd);
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    drop(crowd);
    site.check_calm();
}

#[test]
fn metrics_that_nobody_reads() {
    let _turn = alone();
    let mut site = Site::start();
    let again = b"GET /metrics HTTP/1.1\r\nHost: site.example\r\n\r\n".repeat(10_000);
    let script =
        Script { method: "GET", path: "/metrics", reads: false, ..Script::in_chunks(again) };
    let script = Script { headers: String::new(), ..script };
    let mut crowd = Crowd::connect(site.host.metrics, CROWD, &script);
    site.settle(&mut crowd);
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    assert!(site.host.metric("vanetally_order_holder").is_some(), "metrics are told");
    drop(crowd);
    site.check_calm();
}
