//! `vanetally state HOST`.

use super::{Error, args::Args};
use anyhow::{Context, bail};
use serde_json::Value;
use std::{
    io::{Read, Write},
    time::Duration,
};
use vanetally_link::call::{Call, Client, Options};

const WITHIN: Duration = Duration::from_secs(5);
const MOST: u64 = 64_000_000;

/// Asks a daemon's operators' port.
pub fn fetch(host: &str, path: &str) -> anyhow::Result<Value> {
    let caller = Client::new(Options { connect_timeout: WITHIN, idle_timeout: WITHIN });
    let call = Call {
        method: "GET".into(),
        url: format!("http://{}{path}", host.trim_start_matches("http://").trim_end_matches('/')),
        headers: Vec::new(),
        body: Vec::new(),
        timeout: WITHIN,
    };
    let answer = caller.send(&call).with_context(|| format!("ask {host}"))?;
    let mut bytes = Vec::new();
    answer.body.take(MOST).read_to_end(&mut bytes)?;
    if answer.status != 200 {
        bail!("{host}: status {}: {}", answer.status, String::from_utf8_lossy(&bytes));
    }
    serde_json::from_slice(&bytes).with_context(|| format!("{host}: unreadable answer"))
}

/// Prints what a daemon knows.
pub fn state(args: &Args, host: &str) -> Result<(), Error> {
    let state = fetch(host, "/state")?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&state).unwrap_or_default());
        return Ok(());
    }
    tables(&state)?;
    Ok(())
}

fn tables(state: &Value) -> anyhow::Result<()> {
    let mut out = tabwriter::TabWriter::new(std::io::stdout());
    let config = &state["config"];
    writeln!(
        out,
        "host {} domain {} ready {} stopping {} planner {}",
        text(&state["host"]["name"]),
        text(&state["domain"]),
        text(&state["ready"]),
        text(&state["stopping"]),
        text(&state["planner"])
    )?;
    writeln!(
        out,
        "config revision {} from {} platform behind {}",
        text(&config["revision"]),
        text(&config["source"]),
        text(&config["platform_behind"])
    )?;
    writeln!(
        out,
        "requests waiting {} running {}\n",
        text(&state["requests"]["waiting"]),
        text(&state["requests"]["running"])
    )?;
    table(&mut out, "HOST", &state["hosts"], &["name", "domain", "alive", "leaving", "silent_ms"])?;
    let runner = ["name", "stewardship", "reachable", "running", "held_bytes", "entries"];
    table(&mut out, "RUNNER", &state["runners"], &runner)?;
    table(&mut out, "GROUP", &state["groups"], &["group", "role", "term", "steward"])?;
    let slot = ["slot", "role", "mode", "epoch", "holder", "deputy", "ids", "unrecorded", "doubts"];
    table(&mut out, "SLOT", &state["slots"], &slot)?;
    out.flush()?;
    Ok(())
}

fn table(out: &mut impl Write, title: &str, rows: &Value, keys: &[&str]) -> anyhow::Result<()> {
    let heads: Vec<String> = keys[1..].iter().map(|k| k.to_uppercase()).collect();
    writeln!(out, "{title}\t{}", heads.join("\t"))?;
    for row in rows.as_array().into_iter().flatten() {
        let cells: Vec<String> = keys.iter().map(|key| text(&row[*key])).collect();
        writeln!(out, "{}", cells.join("\t"))?;
    }
    writeln!(out)?;
    Ok(())
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) if list.is_empty() => "-".into(),
        Value::Array(list) => list.iter().map(text).collect::<Vec<_>>().join(","),
        Value::Object(map) if map.is_empty() => "-".into(),
        Value::Object(map) => {
            map.iter().map(|(k, v)| format!("{k}={}", text(v))).collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
