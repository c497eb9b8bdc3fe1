//! HTTP calls of a test, with their complete answers.

use super::MAX_WAIT;
use serde_json::Value;
use std::{io::Read, time::Duration};
use vanetally_link::call::{Call, Client, Error, Options};

/// A complete HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.body))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let named = |h: &&(String, String)| h.0.eq_ignore_ascii_case(name);
        self.headers.iter().find(named).map(|h| h.1.as_str())
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or("").to_owned()
    }

    pub fn verdict(&self) -> Option<&str> {
        self.header("x-verdict")
    }
}

fn client() -> Client {
    Client::new(Options { connect_timeout: Duration::from_secs(2), idle_timeout: MAX_WAIT })
}

pub fn try_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Answer, Error> {
    let call = Call {
        method: method.into(),
        url: url.into(),
        headers: headers.iter().map(|(n, v)| (n.to_string(), v.to_string())).collect(),
        body: body.to_vec(),
        timeout: MAX_WAIT,
    };
    let mut answer = client().send(&call)?;
    let mut text = Vec::new();
    answer.body.read_to_end(&mut text).map_err(|e| Error {
        verdict: vanetally_types::Verdict::MayHaveRun,
        unreachable: false,
        message: e.to_string(),
    })?;
    let body = String::from_utf8_lossy(&text).into_owned();
    Ok(Answer { status: answer.status, headers: answer.headers, body })
}

pub fn call(method: &str, url: &str, headers: &[(&str, &str)], body: &[u8]) -> Answer {
    try_call(method, url, headers, body).unwrap_or_else(|e| panic!("{method} {url}: {e}"))
}
