//! Routes that this host does not know although its configuration may be outdated.
//!
//! Guards against a host that refuses a route as unknown by an older configuration than the newest one.

mod support;

use rstest::rstest;
use support::{Host, START, configuration, refusal, request, route};
use vanetally_dispatch::Event;
use vanetally_ports::{Refusal, RefusalCause, RequestKind};
use vanetally_types::Verdict;

/// Time without confirmation after which routes may exist that this host does not know.
const MAX_AGE_MS: u64 = 5_000;

fn host() -> Host {
    let mut host = Host::new(vec![route("quote", RequestKind::Once, "desk")]);
    host.handle(Event::Confirmed(START));
    host
}

fn refuse_unknown(host: &mut Host) -> Refusal {
    let (id, actions) = host.arrive(request("r", "new", None));
    refusal(&actions, id).expect("a refusal")
}

#[rstest]
#[case::just_confirmed(0, RefusalCause::NoRoute)]
#[case::recently_confirmed(MAX_AGE_MS - 100, RefusalCause::NoRoute)]
#[case::unconfirmed(MAX_AGE_MS + 100, RefusalCause::NotConfigured)]
fn unconfirmed_configuration(#[case] age_ms: u64, #[case] cause: RefusalCause) {
    let mut host = host();
    host.advance(age_ms);
    let refusal = refuse_unknown(&mut host);
    assert_eq!((refusal.cause, refusal.verdict), (cause, Verdict::NotRun));
    assert_eq!(refusal.retry_after_ms.is_some(), cause == RefusalCause::NotConfigured);
}

/// A host that has never been confirmed to have the newest configuration knows of no newer one.
#[test]
fn never_confirmed() {
    let mut host = Host::new(vec![route("quote", RequestKind::Once, "desk")]);
    host.advance(2 * MAX_AGE_MS);
    assert_eq!(refuse_unknown(&mut host).cause, RefusalCause::NoRoute);
}

/// While a newer configuration is on its way here, this host does not know which routes there are.
#[test]
fn newer_version_heard() {
    let mut host = host();
    host.handle(Event::VersionHeard(2));
    assert_eq!(refuse_unknown(&mut host).cause, RefusalCause::NotConfigured);
    host.handle(Event::Configured(configuration(2, Vec::new())));
    assert_eq!(refuse_unknown(&mut host).cause, RefusalCause::NoRoute);
}
