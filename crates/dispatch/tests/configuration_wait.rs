//! How long a request that arrives before the configuration waits for it.

mod support;

use rstest::rstest;
use support::{START, configuration, options};
use vanetally_dispatch::{Dispatch, Event};

/// Guards against requests that are refused, or held for longer than callers can afford, just after a start.
#[rstest]
#[case::just_started(0, false, Some(3_000), Some(300))]
#[case::short_deadline(100, true, Some(400), Some(100))]
#[case::no_deadline(100, true, None, Some(300))]
#[case::store_late(100, false, Some(3_000), None)]
#[case::start_over(1_000, true, Some(3_000), None)]
fn wait(
    #[case] age_ms: u64,
    #[case] has_store: bool,
    #[case] deadline_ms: Option<u64>,
    #[case] expected_ms: Option<u64>,
) {
    let mut dispatch = Dispatch::new(START, options());
    if has_store {
        dispatch.handle(START, Event::StoreAnswered);
    }
    assert_eq!(dispatch.configuration_wait_ms(START + age_ms, deadline_ms), expected_ms);
    assert!(!dispatch.is_ready(START + age_ms));
    dispatch.handle(START + age_ms, Event::Configured(configuration(1, Vec::new())));
    assert_eq!(dispatch.configuration_wait_ms(START + age_ms, deadline_ms), None);
}
