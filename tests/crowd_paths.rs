//! Crowds of callers on other paths: hosts without a configuration, and hosts that use others as exits.
//!
//! Guards against hosts that hold more for their callers than the memory of their machine.

mod gateway;

use gateway::{
    Deployment, Host,
    crowd::{Crowd, Script, chunks},
    crowd_site::{
        BODY_BYTES, CROWD, MAX_FDS, MEMORY_BYTES, MEMORY_MB, Site, alone, check_bounds, settle,
        wait_for_answer,
    },
    taps::TappedDeployment,
    wait_for,
};
use rstest::rstest;
use serde_json::json;
use vanetally_platform_standin::{Behaviour, Client, EndlessPart, TapMode};

/// Bodies that wait for the first configuration of their host.
#[test]
fn whole_bodies_without_a_configuration() {
    let _turn = alone();
    let deployment = Deployment::start();
    deployment.store.remove("op/config");
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let host = deployment.spawn_limited("front-0", &machine);
    wait_for("the host answers", || host.readiness() != 0);
    let mut site = Site { deployment, host, max_fds: MAX_FDS, calm_fds: 0 };
    site.calm_fds = site.host.usage().descriptors();
    let whole = Script::with_length(BODY_BYTES, BODY_BYTES);
    let mut crowd = Crowd::connect(site.host.front, CROWD, &whole);
    site.settle(&mut crowd);
    site.check_bounds();
    site.deployment.configure_limits(2, &json!({ "max_body_bytes": BODY_BYTES }), CROWD);
    wait_for("a request is served", || site.is_served("during", 100));
    drop(crowd);
    site.check_calm();
}

/// What a host without a configuration refuses may be allowed by the configuration.
#[test]
fn long_body_without_a_configuration_may_come_back() {
    const LONG: usize = 5 << 20;
    let _turn = alone();
    let deployment = Deployment::start();
    deployment.store.remove("op/config");
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let host = deployment.spawn_limited("front-0", &machine);
    wait_for("the host answers", || host.readiness() != 0);
    for script in [Script::with_length(LONG, LONG), Script::in_chunks(chunks(LONG, 1_024))] {
        let mut caller = Crowd::connect(host.front, 1, &script);
        wait_for_answer(&mut caller);
        assert_eq!(caller.members[0].status(), Some(503));
        let answer = caller.members[0].answer().to_ascii_lowercase();
        assert!(answer.contains("retry-after"), "answer: {answer}");
    }
}

/// A body that needs more than the share of bodies is served in calm.
#[test]
fn body_beyond_the_share_of_bodies_is_served_alone() {
    const LONG: usize = 24 << 20;
    let _turn = alone();
    let site = Site::with_limits(&json!({ "max_body_bytes": LONG }));
    wait_for("the limits are in force", || site.is_served("long", LONG));
}

/// Callers of a host that is cut off from all upstreams, and so uses other hosts as exits.
#[rstest]
#[case::waiting(Behaviour::Unresponsive)]
#[case::unread(Behaviour::Endless(EndlessPart::Body))]
fn crowd_through_exits(#[case] behaviour: Behaviour) {
    let _turn = alone();
    let machine = json!({ "memory_mb": MEMORY_MB, "max_fds": MAX_FDS });
    let mut site = TappedDeployment::start_limited(3, 2, 2, &machine);
    site.deployment.configure_limits(2, &json!({ "max_body_bytes": BODY_BYTES }), CROWD);
    site.set_mode(0..1, TapMode::Reset);
    let check = |host: &Host, id: &str| {
        Client::new("POST", "/check/1", id).body(b"ordinary").send(host.front).status == 200
    };
    wait_for("a request is served through an exit", || check(&site.hosts[0], "first"));
    site.deployment.engines.iter().for_each(|engine| engine.set_behaviour(behaviour));
    let mut script =
        Script { path: "/offer/1", reads: false, ..Script::with_length(BODY_BYTES, BODY_BYTES) };
    script.headers.push_str("X-Model: m1\r\nX-Token-Count: 10,10\r\n");
    let mut crowd = Crowd::connect(site.hosts[0].front, CROWD, &script);
    settle(&site.hosts[0], &mut crowd);
    site.hosts.iter_mut().for_each(|host| check_bounds(host, MAX_FDS));
    assert!(check(&site.hosts[1], "during"), "an ordinary request is served at an exit");
    drop(crowd);
    wait_for("a request is served through an exit", || check(&site.hosts[0], "after"));
    for host in &mut site.hosts {
        wait_for("memory is free again", || host.usage().memory() <= MEMORY_BYTES / 2);
        check_bounds(host, MAX_FDS);
    }
}
