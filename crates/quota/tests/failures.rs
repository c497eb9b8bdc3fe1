//! Callers that leave, lost, late and doubled messages, and grantors that freeze, stop or are
//! replaced while requests wait.

mod common;

use common::{START, asker, grantor, replies, request, spend_all};
use vanetally_quota::{
    Asker, Grantor, Guards, QuotaAnswer, Rank, Received, Return, SpendQueries, SpendQuery,
};
use vanetally_types::{Name, Tick};

const COST: u32 = 1_000;
const GRANTED: QuotaAnswer = QuotaAnswer::Granted { is_below_quota: false };
/// Time within which a lost grant must be back at the grantor.
const LOST_MS: u64 = 2_000;

fn queries() -> SpendQueries {
    SpendQueries::new(0, Guards::ON)
}

fn query(grantor: &str, wait_ms: u64) -> SpendQuery {
    let organisation = "o".into();
    SpendQuery { grantor: grantor.into(), organisation, cost: COST, wait_ms, can_cancel: false }
}

fn cancel(grantor: &str, number: u64) -> Return {
    Return::Cancel { grantor: grantor.into(), number }
}

fn name(text: &str) -> Name {
    text.into()
}

/// A grantor at which request 0 of a host waits, and the host's state.
fn waiting() -> (Grantor, SpendQueries, u64) {
    let (mut grantor, mut queries) = (grantor(), queries());
    spend_all(&mut grantor, START);
    let number = queries.ask(START, query("g1", 1_000));
    let answer = grantor.request(START, request(number, Rank(1, 1), COST, 1_000));
    assert!(matches!(answer, QuotaAnswer::Queued { .. }), "{answer:?}");
    assert_eq!(queries.answered(START, &name("g1"), number, answer), Received::Waiting);
    (grantor, queries, number)
}

/// Whether the bucket can be spent from now on.
fn is_spendable(grantor: &mut Grantor, now: Tick) -> bool {
    matches!(grantor.spend(now, &"o".into(), 1), QuotaAnswer::Granted { .. })
}

#[test]
fn waiting_is_awaited() {
    let (mut grantor, mut queries, number) = waiting();
    let until = queries.awaited_until(number).expect("awaited");
    assert!(until.since(START) > 60, "the limit for the first answer does not apply");
    assert!(until.since(START) <= 210, "{}", until.since(START));
    let granted = replies(&mut grantor, START, 100);
    assert_eq!(granted.len(), 1);
    let received = queries.answered(granted[0].0, &name("g1"), number, granted[0].2);
    assert_eq!(received, Received::Answer(granted[0].2));
    assert_eq!(queries.take_answer(number), Some(granted[0].2));
    assert!(queries.is_empty());
}

/// The quota of a caller that has left while its request waited goes to the next.
#[test]
fn caller_leaves() {
    let (mut grantor, mut queries, number) = waiting();
    assert_eq!(queries.abandon(START + 5, number), Some(cancel("g1", number)));
    grantor.cancel(START + 6, &asker(number));
    assert_eq!(grantor.waiting(), 0);
    assert!(replies(&mut grantor, START + 6, 400).is_empty());
}

/// A grant that crosses the cancellation is returned, once.
#[test]
fn grant_crosses_cancellation() {
    let (mut grantor, mut queries, number) = waiting();
    assert_eq!(queries.abandon(START + 5, number), Some(cancel("g1", number)));
    let granted = replies(&mut grantor, START, 20);
    assert_eq!(granted.len(), 1);
    let now = granted[0].0;
    assert!(!is_spendable(&mut grantor, now));
    grantor.cancel(now, &asker(number));
    // The return of the crossing grant follows under the same number.
    let received = queries.answered(now, &name("g1"), number, granted[0].2);
    assert_eq!(received, Received::Unused(cancel("g1", number)));
    grantor.cancel(now, &asker(number));
    grantor.cancel(now, &asker(number));
    assert!(is_spendable(&mut grantor, now));
    spend_all(&mut grantor, now);
    let after = grantor.request(now, request(50, Rank(1, 1), COST, 100));
    assert!(matches!(after, QuotaAnswer::Queued { expected_ms } if expected_ms <= 1), "{after:?}");
}

/// A grant returned more than once must not fill the bucket beyond what was taken.
#[test]
fn returned_once() {
    let (mut grantor, _, number) = waiting();
    let granted = replies(&mut grantor, START, 20);
    let now = granted[0].0;
    for _ in 0..10 {
        grantor.cancel(now, &asker(number));
    }
    let mut spent = 0;
    while is_spendable(&mut grantor, now) {
        spent += 1;
    }
    assert!(spent <= 50, "{spent}: the bucket has the refill of a few milliseconds only");
}

/// A request that arrives twice is charged once, whether it waits or was granted.
#[test]
fn doubled_request() {
    let (mut grantor, _, number) = waiting();
    let again = grantor.request(START, request(number, Rank(1, 1), COST, 1_000));
    assert!(matches!(again, QuotaAnswer::Queued { .. }), "{again:?}");
    assert_eq!(grantor.waiting(), 1);
    let granted = replies(&mut grantor, START, 20);
    assert_eq!(granted.len(), 1, "{granted:?}");
    let now = granted[0].0 + 200;
    assert!(is_spendable(&mut grantor, now));
    spend_all(&mut grantor, now);
    let again = grantor.request(now, request(number, Rank(1, 1), COST, 1_000));
    assert_eq!(again, GRANTED);
    assert!(is_spendable(&mut grantor, now + 1), "its cost was not taken again");
}

/// A request that arrives after its cancellation must not be granted: nobody waits for it.
#[test]
fn cancellation_comes_first() {
    let mut grantor = grantor();
    grantor.cancel(START, &asker(1));
    let answer = grantor.request(START + 200, request(1, Rank(1, 1), COST, 1_000));
    assert!(matches!(answer, QuotaAnswer::Refused { .. }), "{answer:?}");
    assert_eq!(grantor.waiting(), 0);
}

/// A grant that arrives twice is used once, and not returned.
#[test]
fn doubled_grant() {
    let (_, mut queries, number) = waiting();
    assert_eq!(queries.answered(START, &name("g1"), number, GRANTED), Received::Answer(GRANTED));
    assert_eq!(queries.answered(START, &name("g1"), number, GRANTED), Received::Ignored);
    assert_eq!(queries.take_answer(number), Some(GRANTED));
    assert_eq!(queries.answered(START, &name("g1"), number, GRANTED), Received::Ignored);
}

/// A grant is lost on its way: the host decides by its share, and the quota is back within two
/// seconds.
#[test]
fn lost_grant() {
    let (mut grantor, mut queries, number) = waiting();
    let lost = replies(&mut grantor, START, 20);
    assert_eq!(lost.len(), 1);
    let until = queries.awaited_until(number).expect("awaited");
    assert!(until.since(START) < LOST_MS);
    let level_before = grantor.request(until, request(70, Rank(1, 1), 0, 0));
    assert_eq!(level_before, GRANTED);
    spend_all(&mut grantor, until);
    assert_eq!(queries.abandon(until, number), Some(cancel("g1", number)));
    grantor.cancel(until + 1, &asker(number));
    assert!(is_spendable(&mut grantor, until + 1));
    let mut spent = 1;
    while is_spendable(&mut grantor, until + 1) {
        spent += 1;
    }
    assert!((COST..COST + 50).contains(&spent), "{spent}");
}

/// The caller leaves between the arrival of its grant and its use.
#[test]
fn leaves_with_grant() {
    let (_, mut queries, number) = waiting();
    assert_eq!(queries.answered(START, &name("g1"), number, GRANTED), Received::Answer(GRANTED));
    assert_eq!(queries.abandon(START, number), Some(cancel("g1", number)));
    assert_eq!(queries.take_answer(number), None);
}

/// A grantor that stops granting says so to all that wait, and grants them nothing.
#[test]
fn grantor_stops() {
    let (mut grantor, mut queries, number) = waiting();
    grantor.set_granting(START + 5, false);
    grantor.serve(START + 500);
    let replies = grantor.take_replies();
    assert_eq!(replies.len(), 1, "{replies:?}");
    assert_eq!(replies[0].answer, QuotaAnswer::NotGranting);
    let received = queries.answered(START + 6, &name("g1"), number, replies[0].answer);
    assert_eq!(received, Received::Answer(QuotaAnswer::NotGranting));
    grantor.set_granting(START + 600, true);
    grantor.serve(START + 1_000);
    assert!(grantor.take_replies().is_empty(), "the queue ended with the grantor");
    // Its bucket starts empty, and takes back nothing of the time before.
    grantor.set_granting(START + 1_000, false);
    grantor.set_granting(START + 1_000, true);
    grantor.cancel(START + 1_000, &asker(number));
    assert!(!is_spendable(&mut grantor, START + 1_000));
}

/// A grantor that was frozen grants nothing to requests whose time has passed.
#[test]
fn grantor_freezes() {
    let (mut grantor, _, number) = waiting();
    let now = START + 3_000;
    grantor.set_granting(now, true);
    grantor.serve(now);
    let replies = grantor.take_replies();
    assert_eq!(replies.len(), 1);
    assert_eq!(replies[0].to, asker(number));
    assert!(matches!(replies[0].answer, QuotaAnswer::Refused { .. }), "{replies:?}");
    assert!(is_spendable(&mut grantor, now));
}

/// The grantor is replaced: the host asks the next one, and the grant of the former, which arrives
/// after that, is returned to the former.
#[test]
fn late_grant_of_former() {
    let (_, mut queries, first) = waiting();
    let until = queries.awaited_until(first).expect("awaited");
    assert_eq!(queries.abandon(until, first), Some(cancel("g1", first)));
    let second = queries.ask(until, query("g2", 500));
    assert_ne!(first, second);
    let received = queries.answered(until + 10, &name("g1"), first, GRANTED);
    assert_eq!(received, Received::Unused(cancel("g1", first)));
    let received = queries.answered(until + 11, &name("g2"), second, GRANTED);
    assert_eq!(received, Received::Answer(GRANTED));
}

/// An answer of another host than the one that was asked is for another request.
#[test]
fn answer_of_another_host() {
    let (_, mut queries, number) = waiting();
    assert_eq!(queries.answered(START, &name("g2"), number, GRANTED), Received::Ignored);
    assert_eq!(queries.take_answer(number), None);
}

/// A host that was frozen finds a grant that its request no longer waits for.
#[test]
fn host_freezes() {
    let (_, mut queries, number) = waiting();
    let received = queries.answered(START + 6_000, &name("g1"), number, GRANTED);
    assert_eq!(received, Received::Unused(cancel("g1", number)));
    assert_eq!(queries.take_answer(number), None);
}

/// Requests of a host that is gone take no quota.
#[test]
fn host_is_gone() {
    let (mut grantor, _, _) = waiting();
    let other = Asker { host: "h2".into(), number: 1 };
    let request = request(1, Rank(1, 1), COST, 1_000);
    grantor.request(START, vanetally_quota::SpendRequest { asker: other.clone(), ..request });
    grantor.forget_host(&name("h1"));
    assert_eq!(grantor.waiting(), 1);
    let granted = replies(&mut grantor, START, 20);
    assert_eq!(granted.len(), 1, "{granted:?}");
}

/// A grantor of an earlier build knows no numbers of grants: a late grant is given back, once.
#[test]
fn earlier_build() {
    let mut queries = queries();
    let number = queries.ask(START, query("g1", 1_000));
    assert_eq!(queries.abandon(START + 60, number), None);
    let returned = Return::GiveBack { grantor: "g1".into(), organisation: "o".into(), cost: COST };
    let received = queries.answered(START + 70, &name("g1"), number, GRANTED);
    assert_eq!(received, Received::Unused(returned));
    assert_eq!(queries.answered(START + 71, &name("g1"), number, GRANTED), Received::Ignored);
}

/// What was abandoned is forgotten after a while.
#[test]
fn abandoned_is_forgotten() {
    let mut queries = queries();
    for number in 0..100 {
        let number = queries.ask(START + number, query("g1", 100));
        queries.abandon(START + number + 60, number);
    }
    assert_eq!(queries.len(), 100);
    queries.forget_abandoned(START + 20_000);
    assert!(queries.is_empty());
}
