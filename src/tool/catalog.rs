//! The commands for catalogs and tokens.

use super::{Error, args::Args, state};
use anyhow::{Context, anyhow};
use std::{path::Path, sync::Arc, thread, time::Duration};
use vanetally_config::{
    Catalog, Revision, check, diff, jsonc,
    publish::{Event, Head, Publication, Step},
};
use vanetally_link::platform::{HttpPlatform, Platform, PutOutcome};

/// Key of the current revision in the platform's store.
const HEAD_KEY: &str = "config/head";
/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts while the platform does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of steps of a publication, repeated ones included.
const MAX_STEPS: u32 = 60;

/// Loads and checks the catalog in `file`.
fn load_catalog(file: &str) -> Result<Catalog, Error> {
    let catalog: Catalog =
        jsonc::from_path(Path::new(file)).map_err(|e| Error::Usage(e.to_string()))?;
    let faults = check::check(&catalog);
    if faults.is_empty() {
        return Ok(catalog);
    }
    let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
    Err(Error::Usage(format!("the catalog is not sound\n{}", lines.join("\n"))))
}

/// Runs `vanetally check FILE`.
pub fn check(file: &str) -> Result<(), Error> {
    let catalog = load_catalog(file)?;
    println!(
        "{file}: sound ({} models, {} adapters, {} runners, {} services, {} callers)",
        catalog.models.len(),
        catalog.adapters.len(),
        catalog.runners.len(),
        catalog.services.len(),
        catalog.callers.len()
    );
    Ok(())
}

/// Returns a client of the platform's service.
fn platform_client(args: &Args) -> Result<HttpPlatform, Error> {
    let missing = |what: &str| Error::Usage(format!("{what} is missing; see --help"));
    let url = args.platform.as_ref().ok_or_else(|| missing("--platform"))?;
    let credential = args.credential.as_ref().ok_or_else(|| missing("--credential"))?;
    Ok(HttpPlatform::new(url, credential.as_str().into(), CALL_TIMEOUT))
}

/// Reads the current revision; version and number are 0 if there is none.
fn read_head(platform: &dyn Platform) -> anyhow::Result<Head> {
    match platform.get(HEAD_KEY)? {
        None => Ok(Head { version: 0, revision: Arc::new(Revision::default()) }),
        Some(value) => {
            let revision =
                serde_json::from_slice(&value.bytes).context("the revision is unreadable")?;
            Ok(Head { version: value.version, revision: Arc::new(revision) })
        }
    }
}

/// Runs `vanetally show`.
pub fn show(args: &Args) -> Result<(), Error> {
    let head = read_head(&platform_client(args)?)?;
    if args.json {
        print_json(&*head.revision)?;
        return Ok(());
    }
    println!("// revision {} change {}", head.revision.number, head.revision.change);
    print_json(&head.revision.catalog)?;
    Ok(())
}

fn print_json(value: &impl serde::Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Runs `vanetally diff FILE`.
pub fn diff(args: &Args, file: &str) -> Result<(), Error> {
    let catalog = load_catalog(file)?;
    let head = read_head(&platform_client(args)?)?;
    println!("against revision {}", head.revision.number);
    for line in diff::diff(&head.revision.catalog, &catalog) {
        println!("{line}");
    }
    Ok(())
}

/// Runs `vanetally apply FILE`.
pub fn apply(args: &Args, file: &str) -> Result<(), Error> {
    let catalog = load_catalog(file)?;
    publish(args, catalog, args.floor)
}

/// Runs `vanetally restore HOST`: publishes the catalog of the host's revision under a higher
/// number.
pub fn restore(args: &Args, host: &str) -> Result<(), Error> {
    let value = state::fetch(host, "/revision")?;
    let revision: Revision =
        serde_json::from_value(value).context("the host's revision is unreadable")?;
    if revision.number == 0 {
        return Err(anyhow!("{host} follows no revision").into());
    }
    publish(args, revision.catalog, revision.number.max(args.floor))
}

fn publish(args: &Args, catalog: Catalog, floor: u64) -> Result<(), Error> {
    let platform = platform_client(args)?;
    let change = args.change.clone().unwrap_or_else(random_change);
    let mut publication =
        Publication::new(change.as_str().into(), catalog.clone(), args.base, floor);
    let mut step = publication.start();
    for _ in 0..MAX_STEPS {
        let event = match step {
            Step::Read => run_read(&platform),
            Step::Write { base, ref revision } => run_write(&platform, base, revision)?,
            Step::Wait => {
                thread::sleep(RETRY_INTERVAL);
                run_read(&platform)
            }
            Step::Applied(number) => {
                println!("applied as revision {number}, change {change}");
                return Ok(());
            }
            Step::Unchanged(number) => {
                println!("revision {number} says the same already");
                return Ok(());
            }
            Step::Conflict(current) => return Err(conflict_error(&current, &catalog)),
        };
        step = publication.next(event);
    }
    let message = format!(
        "the platform does not answer: it is not known whether change {change} took effect; \
         `apply` again with `--change {change}` tells"
    );
    Err(anyhow!(message).into())
}

/// Reads the head and returns the event for the publication.
fn run_read(platform: &dyn Platform) -> Event {
    match read_head(platform) {
        Ok(head) => Event::Read(head),
        Err(e) => {
            eprintln!("vanetally: {e:#}; trying again");
            Event::NoAnswer
        }
    }
}

/// Writes the head and returns the event for the publication.
fn run_write(platform: &dyn Platform, base: u64, revision: &Revision) -> Result<Event, Error> {
    let bytes = serde_json::to_vec(revision).context("the revision can't be written")?;
    Ok(match platform.put(HEAD_KEY, base, &bytes) {
        Ok(PutOutcome::Written(_)) => Event::Written,
        Ok(PutOutcome::Conflict(_)) => Event::Conflict,
        Err(vanetally_link::platform::Error::Rejected(text)) => return Err(anyhow!(text).into()),
        Err(e) => {
            eprintln!("vanetally: {e}; looking whether the change took effect");
            Event::NoAnswer
        }
    })
}

/// The error for a change that lost to `current`.
fn conflict_error(current: &Revision, catalog: &Catalog) -> Error {
    let lines = diff::diff(&current.catalog, catalog).join("\n");
    Error::Failed(anyhow!(
        "not applied: revision {} (change {}) came first; from it to yours it would be\n{lines}",
        current.number,
        current.change
    ))
}

fn random_change() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Runs `vanetally token`.
pub fn token() -> Result<(), Error> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line).context("no token on standard input")?;
    let token = line.trim();
    if token.is_empty() {
        return Err(Error::Usage("the token on standard input is empty".into()));
    }
    println!("{}", vanetally_daemon::token_hash(token));
    Ok(())
}
