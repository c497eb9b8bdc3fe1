//! Compatibility with recorded messages: each build must read the bytes that earlier builds wrote.
//!
//! To record a new kind of message, run its test: it prints what this build writes if that differs from the record.

use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use vanetally_dispatch::{DemandRow, Digest, LimitRow, LoadRow, WaitCounts, WaitRow};
use vanetally_limit::{PermitAnswer, PermitRequest};
use vanetally_link::peer::{decode, encode};
use vanetally_pacing::{Prefix, Prompt, SendSlot, SlotReply};
use vanetally_types::{Incarnation, Rank};

/// A digest from builds whose rows had no limit.
const DIGEST: &str = "a2656c6f61647381a6617571692d304031373530303030303030303030617203617018c8616b1903846167046162016664\
     656d616e6481a56173636c6c6d616d626d316161626131616e0461771878";
const DIGEST_WITH_LIMIT: &str = "a2656c6f61647381a7617571692d304031373530303030303030303030617203617018c8616b1903846167046162016\
     16ca2616efb3ffccccccccccccd616118fa6664656d616e6481a56173636c6c6d616d626d316161626131616e0461771878";
const DIGEST_WITH_WAITING: &str = "a3656c6f616473806664656d616e64806777616974696e6782bf6173636c6c6d616d626d31616b820102616e1828617509616c03616419012c616502ffbf6173636c6c6d616b820102616c01ff";
const PROMPT: &str = "a6617571692d304031373530303030303030303030616d626d31617381a2616b07617418286174187861721834616719012c";
const GRANTED: &str = "a1674772616e746564a46864656c61795f6d730366756e7265616418506861686561645f6d73056869735f747269616cf5";
const BUSY: &str = "a16442757379a16872657472795f6d730c";
const PERMIT_REQUEST: &str =
    "a3617571692d304031373530303030303030303030616efb3ffccccccccccccd6177190320";
const DELAYED: &str = "a1674772616e746564a16864656c61795f6d731901f4";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(|digit| !digit.is_whitespace()).collect();
    let pair = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16);
    digits.chunks(2).map(|digits| pair(digits).expect("hexadecimal digits")).collect()
}

/// Asserts that `recorded` decodes to `value`.
fn assert_reads<T: DeserializeOwned + PartialEq + Debug>(recorded: &str, value: &T) {
    assert_eq!(decode::<T>(&bytes(recorded)).as_ref(), Some(value));
}

/// Asserts that this build encodes `value` as `recorded`.
fn assert_writes<T: Serialize>(value: &T, recorded: &str) {
    let written = encode(value).expect("encodable");
    let hex: String = written.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(written.to_vec(), bytes(recorded), "this build writes {hex}");
}

fn upstream() -> Incarnation {
    Incarnation::new("i-0", Some(1_750_000_000_000))
}

fn digest(limit: Option<LimitRow>) -> Digest {
    let load = LoadRow {
        upstream: upstream(),
        running: 3,
        unread_tokens: 200,
        held_tokens: 900,
        good: 4,
        bad: 1,
        limit,
    };
    let demand = DemandRow {
        service: "llm".into(),
        model: "m1".into(),
        adapter: Some("a1".into()),
        arrived: 4,
        work_ms: 120,
    };
    Digest { loads: vec![load], demand: vec![demand], waiting: Vec::new() }
}

/// A digest without a limit is encoded exactly as by earlier builds.
#[test]
fn digests() {
    assert_reads(DIGEST, &digest(None));
    assert_writes(&digest(None), DIGEST);
    let limit = LimitRow { rate: Some(1.8), age_ms: 250 };
    assert_reads(DIGEST_WITH_LIMIT, &digest(Some(limit)));
    assert_writes(&digest(Some(limit)), DIGEST_WITH_LIMIT);
}

/// Rows of waiting requests are absent in digests of earlier builds, which are still read; zero counts are omitted.
#[test]
fn waiting_requests() {
    let earlier: Digest = decode(&bytes(DIGEST)).expect("a digest of an earlier build");
    assert_eq!(earlier.waiting, []);
    let row = |model: Option<&str>, counts| WaitRow {
        service: "llm".into(),
        model: model.map(Into::into),
        rank: Rank(1, 2),
        counts,
    };
    let all = WaitCounts { on_time: 40, due_soon: 9, late: 3, sent: 300, sent_late: 2 };
    let few = WaitCounts { late: 1, ..Default::default() };
    let waiting = vec![row(Some("m1"), all), row(None, few)];
    let digest = Digest { loads: Vec::new(), demand: Vec::new(), waiting };
    assert_writes(&digest, DIGEST_WITH_WAITING);
    assert_reads(DIGEST_WITH_WAITING, &digest);
}

/// A row from a later build may have counts that this one does not know.
#[test]
fn unknown_counts() {
    #[derive(Serialize)]
    struct LaterRow {
        s: &'static str,
        k: (u8, u8),
        n: u32,
        x: Vec<u8>,
    }
    let later = encode(&LaterRow { s: "desk", k: (0, 3), n: 7, x: vec![1] }).expect("encodable");
    let row: WaitRow = decode(&later).expect("a row");
    assert_eq!((row.model, row.rank, row.counts.on_time), (None, Rank(0, 3), 7));
}

#[test]
fn pacing() {
    let shared = vec![Prefix { key: 7, tokens: 40 }];
    let prompt = Prompt {
        upstream: upstream(),
        model: "m1".into(),
        shared,
        tokens: 120,
        per_token_us: 52,
        gap_ms: 300,
    };
    assert_reads(PROMPT, &prompt);
    assert_writes(&prompt, PROMPT);
    let slot = SendSlot { delay_ms: 3, unread: 80, ahead_ms: 5, is_trial: true };
    assert_reads(GRANTED, &SlotReply::Granted(slot));
    assert_writes(&SlotReply::Granted(slot), GRANTED);
    assert_reads(BUSY, &SlotReply::Busy { retry_ms: 12 });
    assert_writes(&SlotReply::Busy { retry_ms: 12 }, BUSY);
}

#[test]
fn permits() {
    let request = PermitRequest { upstream: upstream(), rate: 1.8, max_wait_ms: 800 };
    assert_reads(PERMIT_REQUEST, &request);
    assert_writes(&request, PERMIT_REQUEST);
    assert_reads(DELAYED, &PermitAnswer::Granted { delay_ms: 500 });
    assert_writes(&PermitAnswer::Granted { delay_ms: 500 }, DELAYED);
}

/// A later build may send more fields: unknown ones are ignored, and the known ones are still read.
#[test]
fn unknown_fields() {
    #[derive(Serialize)]
    struct LaterLimit {
        n: Option<f64>,
        a: u32,
        until: &'static str,
    }
    #[derive(Serialize)]
    struct LaterRequest {
        u: Incarnation,
        n: f64,
        w: u32,
        urgency: Vec<u8>,
    }
    let limit = encode(&LaterLimit { n: None, a: 7, until: "noon" }).expect("encodable");
    assert_eq!(decode(&limit), Some(LimitRow { rate: None, age_ms: 7 }));
    let request = LaterRequest { u: upstream(), n: 0.5, w: 1, urgency: vec![1, 2] };
    let request = encode(&request).expect("encodable");
    let read: Option<PermitRequest> = decode(&request);
    assert_eq!(read, Some(PermitRequest { upstream: upstream(), rate: 0.5, max_wait_ms: 1 }));
}
