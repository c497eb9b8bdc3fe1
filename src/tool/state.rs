//! The command `vanetally state HOST`.

use super::{Error, args::Args};
use anyhow::{Context, bail};
use serde_json::Value;
use std::{
    io::{Read, Write},
    time::Duration,
};
use vanetally_link::call::{Call, Client, Options};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: u64 = 64_000_000;

/// Fetches `path` as JSON from the operators' address of a daemon.
pub fn fetch(host: &str, path: &str) -> anyhow::Result<Value> {
    let client = Client::new(Options { connect_timeout: CALL_TIMEOUT, idle_timeout: CALL_TIMEOUT });
    let call = Call {
        method: "GET".into(),
        url: format!("http://{}{path}", host.trim_start_matches("http://").trim_end_matches('/')),
        headers: Vec::new(),
        body: Vec::new(),
        timeout: CALL_TIMEOUT,
    };
    let answer = client.send(&call).with_context(|| format!("ask {host}"))?;
    let mut bytes = Vec::new();
    answer.body.take(MAX_ANSWER_BYTES).read_to_end(&mut bytes)?;
    if answer.status != 200 {
        bail!("{host}: status {}: {}", answer.status, String::from_utf8_lossy(&bytes));
    }
    serde_json::from_slice(&bytes).with_context(|| format!("{host}: unreadable answer"))
}

/// Runs `vanetally state HOST`: prints the state of a daemon.
pub fn state(args: &Args, host: &str) -> Result<(), Error> {
    let state = fetch(host, "/state")?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&state).unwrap_or_default());
        return Ok(());
    }
    print_tables(&state)?;
    Ok(())
}

fn print_tables(state: &Value) -> anyhow::Result<()> {
    let mut out = tabwriter::TabWriter::new(std::io::stdout());
    let config = &state["config"];
    writeln!(
        out,
        "host {} domain {} ready {} stopping {} planner {}",
        format_cell(&state["host"]["name"]),
        format_cell(&state["domain"]),
        format_cell(&state["ready"]),
        format_cell(&state["stopping"]),
        format_cell(&state["planner"])
    )?;
    writeln!(
        out,
        "config revision {} from {} platform behind {}",
        format_cell(&config["revision"]),
        format_cell(&config["source"]),
        format_cell(&config["platform_behind"])
    )?;
    writeln!(
        out,
        "requests waiting {} running {}\n",
        format_cell(&state["requests"]["waiting"]),
        format_cell(&state["requests"]["running"])
    )?;
    write_table(
        &mut out,
        "HOST",
        &state["hosts"],
        &["name", "domain", "alive", "leaving", "silent_ms"],
    )?;
    let runner_keys = ["name", "stewardship", "reachable", "running", "held_bytes", "entries"];
    write_table(&mut out, "RUNNER", &state["runners"], &runner_keys)?;
    write_table(&mut out, "GROUP", &state["groups"], &["group", "role", "term", "steward"])?;
    let slot_keys =
        ["slot", "role", "mode", "epoch", "holder", "deputy", "ids", "unrecorded", "doubts"];
    write_table(&mut out, "SLOT", &state["slots"], &slot_keys)?;
    out.flush()?;
    Ok(())
}

/// Writes `rows` as a table with a column for each of `keys`; `title` is the heading of the first.
fn write_table(
    out: &mut impl Write,
    title: &str,
    rows: &Value,
    keys: &[&str],
) -> anyhow::Result<()> {
    let headings: Vec<String> = keys[1..].iter().map(|k| k.to_uppercase()).collect();
    writeln!(out, "{title}\t{}", headings.join("\t"))?;
    for row in rows.as_array().into_iter().flatten() {
        let cells: Vec<String> = keys.iter().map(|key| format_cell(&row[*key])).collect();
        writeln!(out, "{}", cells.join("\t"))?;
    }
    writeln!(out)?;
    Ok(())
}

/// Formats a JSON value as the text of a cell; `-` if it is empty.
fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) if list.is_empty() => "-".into(),
        Value::Array(list) => list.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Object(map) if map.is_empty() => "-".into(),
        Value::Object(map) => {
            map.iter().map(|(k, v)| format!("{k}={}", format_cell(v))).collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
