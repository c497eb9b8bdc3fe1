//! Callers that do not behave, many at once, at one host.
//!
//! Guards against hosts that hold more for their callers than the memory and the descriptors of their machine.

mod gateway;

use gateway::{
    crowd::{Crowd, Script, chunks},
    crowd_site::{BODY_BYTES, CROWD, SPARE_FDS, Site, alone, wait_for_answer},
    wait_for,
};
use rstest::rstest;
use serde_json::json;
use std::{thread, time::Duration};
use vanetally_platform_standin::{Behaviour, Client};

const RESTING: usize = 1_000;
const HEADER_MS: u64 = 1_000;
const IDLE_MS: u64 = 2_000;

fn short() -> Script {
    Script::with_length(BODY_BYTES, BODY_BYTES - 1)
}

fn in_pieces() -> Script {
    Script { piece: 4_096, ..short() }
}

fn tiny_chunks() -> Script {
    Script::in_chunks(chunks(50_000, 1))
}

fn large_chunk() -> Script {
    let mut body = format!("{BODY_BYTES:x}\r\n").into_bytes();
    body.extend(vec![b'x'; BODY_BYTES - 1]);
    Script::in_chunks(body)
}

fn announced() -> Script {
    Script::with_length(64 * BODY_BYTES, BODY_BYTES)
}

fn endless_chunks() -> Script {
    Script::in_chunks(chunks(8 * BODY_BYTES, 32_768))
}

#[rstest]
#[case::short(short())]
#[case::in_pieces(in_pieces())]
#[case::tiny_chunks(tiny_chunks())]
#[case::large_chunk(large_chunk())]
#[case::announced(announced())]
#[case::endless_chunks(endless_chunks())]
fn bodies_that_do_not_end(#[case] script: Script) {
    let _turn = alone();
    let mut site = Site::start();
    let mut crowd = Crowd::connect(site.host.front, CROWD, &script);
    site.settle(&mut crowd);
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    drop(crowd);
    site.check_calm();
}

#[rstest]
#[case::stream("/offer/1", "")]
#[case::resumable("/draft/1", "")]
#[case::taken_up("/draft/1", "Last-Event-Id: 3\r\n")]
#[case::plain("/check/1", "")]
fn whole_bodies_that_wait(#[case] path: &'static str, #[case] header: &str) {
    let _turn = alone();
    let mut site = Site::start();
    site.deployment.engines[0].set_behaviour(Behaviour::Unresponsive);
    if path == "/check/1" {
        site.deployment.desks[0].set_behaviour(Behaviour::Unresponsive);
    }
    let mut script = Script { path, ..Script::with_length(BODY_BYTES, BODY_BYTES) };
    script.headers.push_str("X-Model: m1\r\nX-Token-Count: 10,10\r\n");
    script.headers.push_str(header);
    let mut crowd = Crowd::connect(site.host.front, CROWD, &script);
    site.settle(&mut crowd);
    site.check_bounds();
    site.deployment.desks[0].set_behaviour(Behaviour::Complete);
    drop(crowd);
    site.check_calm();
}

#[test]
fn half_a_body_then_the_next_connection() {
    let _turn = alone();
    let mut site = Site::start();
    let half = Script::with_length(BODY_BYTES, BODY_BYTES / 2);
    let mut left = Crowd::connect(site.host.front, CROWD, &half);
    site.settle(&mut left);
    let mut next = Crowd::connect(site.host.front, CROWD, &half);
    site.settle(&mut next);
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    drop((left, next));
    site.check_calm();
}

/// Other callers send while a crowd keeps what it has sent.
#[test]
fn large_body_beside_a_crowd_that_stays() {
    let _turn = alone();
    let site = Site::start();
    let mut crowd = Crowd::connect(site.host.front, CROWD, &short());
    site.settle(&mut crowd);
    wait_for("a body of full size is served", || site.is_served("large", BODY_BYTES));
}

#[test]
fn connections_that_rest_leave_descriptors() {
    let _turn = alone();
    let mut site = Site::start();
    let silent = Script { headers: String::new(), piece: 0, ..short() };
    let crowd = Crowd::connect(site.host.front, RESTING, &silent);
    thread::sleep(Duration::from_secs(1));
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    site.check_bounds();
    drop(crowd);
    site.check_calm();
}

#[test]
fn connections_to_the_metrics_leave_descriptors() {
    let _turn = alone();
    let mut site = Site::start();
    let silent = Script { piece: 0, ..short() };
    let crowd = Crowd::connect(site.host.metrics, RESTING, &silent);
    thread::sleep(Duration::from_secs(1));
    site.check_bounds();
    assert!(site.is_served("during", 100), "an ordinary request is served");
    assert!(site.host.is_ready(), "the readiness is told");
    assert!(site.host.metric("vanetally_order_holder").is_some(), "metrics are told");
    drop(crowd);
    site.check_calm();
}

#[test]
fn heads_without_an_end_are_closed() {
    let _turn = alone();
    let limits = json!({ "max_body_bytes": BODY_BYTES, "header_timeout_ms": HEADER_MS });
    let mut site = Site::with_limits(&limits);
    let mut crowd = Crowd::connect(site.host.front, CROWD, &Script { piece: 1, ..short() });
    (0..20).for_each(|_| {
        crowd.step();
    });
    crowd.members.iter_mut().for_each(|member| member.stop());
    let max = site.calm_fds + SPARE_FDS;
    wait_for("the connections are closed", || site.host.usage().descriptors() <= max);
    site.check_calm();
}

#[test]
fn bodies_without_progress_are_closed() {
    let _turn = alone();
    let limits = json!({ "max_body_bytes": BODY_BYTES, "idle_timeout_ms": IDLE_MS });
    let mut site = Site::with_limits(&limits);
    let few = Script::with_length(1_000, 999);
    let mut crowd = Crowd::connect(site.host.front, CROWD, &few);
    crowd.settle();
    let max = site.calm_fds + SPARE_FDS;
    wait_for("the connections are closed", || {
        crowd.step();
        site.host.usage().descriptors() <= max
    });
    for member in &crowd.members {
        assert_eq!(member.status(), Some(408), "the caller learns that it has not run");
    }
    site.check_calm();
}

#[test]
fn resting_connections_are_closed_after_the_idle_time() {
    let _turn = alone();
    let limits = json!({ "max_body_bytes": BODY_BYTES, "idle_timeout_ms": IDLE_MS });
    let mut site = Site::with_limits(&limits);
    let mut crowd = Crowd::connect(site.host.front, CROWD, &Script::with_length(100, 100));
    wait_for_answer(&mut crowd);
    let max = site.calm_fds + SPARE_FDS;
    wait_for("the connections are closed", || site.host.usage().descriptors() <= max);
    site.check_calm();
}

/// A legal caller may use a connection that has rested for up to four fifths of the idle time, and may pause as long
/// inside a body.
#[test]
fn slow_callers_within_the_limits_are_served() {
    let _turn = alone();
    let limits = json!({ "max_body_bytes": BODY_BYTES, "idle_timeout_ms": IDLE_MS });
    let site = Site::with_limits(&limits);
    let pause = Duration::from_millis(IDLE_MS * 4 / 5);
    let mut session = vanetally_platform_standin::Session::new();
    for number in 0..3 {
        let request = Client::new("POST", "/check/1", &format!("kept-{number}"));
        assert_eq!(request.send_on(&mut session, site.host.front).status, 200);
        thread::sleep(pause);
    }
    for script in
        [Script::with_length(4, 4), Script::in_chunks([chunks(1, 1), b"0\r\n\r\n".into()].concat())]
    {
        let mut caller = Crowd::connect(site.host.front, 1, &Script { piece: 1 << 10, ..script });
        caller.members[0].pause_in_body(pause);
        wait_for_answer(&mut caller);
        assert_eq!(caller.members[0].status(), Some(200));
    }
}

/// The caller writes its whole body before it reads.
#[rstest]
#[case::announced(Script::with_length(BODY_BYTES + 1, BODY_BYTES + 1))]
#[case::in_chunks(Script::in_chunks(chunks(2 * BODY_BYTES, 1_024)))]
fn refusal_of_a_long_body_reaches_its_caller(#[case] script: Script) {
    let _turn = alone();
    let site = Site::start();
    let mut crowd = Crowd::connect(site.host.front, 8, &Script { reads: false, ..script });
    crowd.settle();
    crowd.members.iter_mut().for_each(|member| member.start_reading());
    crowd.settle();
    for member in &crowd.members {
        assert_eq!(member.status(), Some(413), "answer: {}", member.answer());
    }
}

/// A caller that is reset while it sends may not look for an answer.
#[rstest]
#[case::announced(Script::with_length(4 * BODY_BYTES, 4 * BODY_BYTES))]
#[case::in_chunks(Script::in_chunks(chunks(2 * BODY_BYTES, 1_024)))]
fn refused_callers_are_not_reset(#[case] script: Script) {
    let _turn = alone();
    let site = Site::start();
    let mut crowd = Crowd::connect(site.host.front, 8, &Script { reads: false, ..script });
    crowd.settle();
    crowd.members.iter_mut().for_each(|member| member.start_reading());
    crowd.settle();
    for member in &crowd.members {
        assert!(!member.is_cut(), "the caller could send all");
        assert_eq!(member.status(), Some(413), "answer: {}", member.answer());
    }
}

#[test]
fn stop_beside_a_crowd_ends() {
    let _turn = alone();
    let mut site = Site::start();
    let mut crowd = Crowd::connect(site.host.front, CROWD, &short());
    site.settle(&mut crowd);
    site.host.signal("TERM");
    crowd.settle();
    assert_eq!(site.host.wait(), Some(0));
}
