//! Checks of a request that need no decision of the core: authentication, admission, deadline and
//! idempotency key.

use crate::refusal::Refusal;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use subtle::ConstantTimeEq;
use vanetally_config::{
    Catalog,
    catalog::{Caller, Target},
};
use vanetally_types::Tick;

/// Returns the SHA-256 of a bearer token, hex-encoded as in the catalog.
pub fn token_hash(token: &str) -> String {
    let mut text = String::new();
    for byte in Sha256::digest(token.as_bytes()) {
        // Writing to a `String` can't fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the caller that the `Authorization` header authenticates.
///
/// # Errors
/// 401 if the bearer token is missing or unknown.
pub(crate) fn authenticate<'a>(
    catalog: &'a Catalog,
    authorization: Option<&str>,
) -> Result<&'a Caller, Refusal> {
    let token = authorization
        .and_then(|a| a.strip_prefix("Bearer "))
        .ok_or_else(|| Refusal::new(401, "missing_token", "send `Authorization: Bearer TOKEN`"))?;
    let hash = token_hash(token.trim());
    let mut found = None;
    for caller in &catalog.callers {
        // Compares all callers, each in constant time, so that the time reveals no token.
        let equal = caller.token_sha256.to_ascii_lowercase().as_bytes().ct_eq(hash.as_bytes());
        if bool::from(equal) {
            found = Some(caller);
        }
    }
    found.ok_or_else(|| Refusal::new(401, "unknown_token", "nobody is known by this token"))
}

/// Checks that `caller` may reach `target`.
///
/// # Errors
/// 404 if there is no such target, 403 if no rule admits the caller.
pub(crate) fn admit(
    catalog: &Catalog,
    caller: &Caller,
    kind: &str,
    name: &str,
    target: Option<Target>,
) -> Result<Target, Refusal> {
    let target = target.ok_or_else(|| {
        Refusal::new(404, &format!("{kind}_not_found"), &format!("there is no {kind} `{name}`"))
    })?;
    if !catalog.admits(&caller.labels, &target.labels) {
        let text = format!("caller `{}` may not reach {kind} `{name}`", caller.name);
        return Err(Refusal::new(403, "not_admitted", &text));
    }
    Ok(target)
}

/// Returns the deadline in the `X-Deadline` header, in Unix milliseconds; `default_ms` from now
/// without the header.
///
/// # Errors
/// 400 if it is not a number or more than `horizon_ms` ahead, 408 if it has passed.
pub(crate) fn deadline(
    header: Option<&str>,
    now: Tick,
    default_ms: u64,
    horizon_ms: u64,
) -> Result<Tick, Refusal> {
    let Some(text) = header else {
        return Ok(now + default_ms);
    };
    let bad_deadline = |text: &str| Refusal::new(400, "bad_deadline", text);
    let millis: u64 = text
        .trim()
        .parse()
        .map_err(|_| bad_deadline("X-Deadline must be Unix time in whole milliseconds"))?;
    let deadline = Tick(millis);
    if deadline <= now {
        return Err(Refusal::new(408, "deadline_passed", "the deadline has passed"));
    }
    if deadline.since(now) > horizon_ms {
        return Err(bad_deadline(&format!("the deadline lies more than {horizon_ms} ms ahead")));
    }
    Ok(deadline)
}

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Returns the idempotency key of a once-only request; `None` if the request may run repeatedly.
///
/// `required` states whether the target's requests are once-only, `marker` is the `X-Once-Only`
/// header.
///
/// # Errors
/// 400 if a once-only request has no key, or the key has an invalid length.
pub(crate) fn idempotency_key<'a>(
    required: bool,
    key: Option<&'a str>,
    marker: Option<&str>,
) -> Result<Option<&'a str>, Refusal> {
    let once_only = marker.is_some_and(|m| m.eq_ignore_ascii_case("true"));
    match key.map(str::trim) {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Refusal::new(
            400,
            "bad_idempotency_key",
            "Idempotency-Key must have 1 to 256 bytes",
        )),
        Some(key) => Ok(Some(key)),
        None if required || once_only => Err(Refusal::new(
            400,
            "missing_idempotency_key",
            "this request runs at most once: send an Idempotency-Key",
        )),
        None => Ok(None),
    }
}
