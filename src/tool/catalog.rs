//! Commands about the catalog.

use super::{Error, args::Args, state};
use anyhow::{Context, anyhow};
use std::{path::Path, sync::Arc, thread, time::Duration};
use vanetally_config::{
    Catalog, Revision, check, diff, jsonc,
    publish::{Event, Head, Publication, Step},
};
use vanetally_link::platform::{HttpPlatform, Platform, PutOutcome};

/// The key that holds the present revision.
const HEAD: &str = "config/head";
/// For one call of the platform.
const WITHIN: Duration = Duration::from_secs(5);
/// Between two tries while the platform does not answer, and how many there are.
const PAUSE: Duration = Duration::from_millis(500);
const TRIES: u32 = 60;

fn load(file: &str) -> Result<Catalog, Error> {
    let catalog: Catalog =
        jsonc::from_path(Path::new(file)).map_err(|e| Error::Usage(e.to_string()))?;
    let faults = check::check(&catalog);
    if faults.is_empty() {
        return Ok(catalog);
    }
    let lines: Vec<String> = faults.iter().map(|f| format!("{file}: {f}")).collect();
    Err(Error::Usage(format!("the catalog is not sound\n{}", lines.join("\n"))))
}

/// `vanetally check FILE`.
pub fn check(file: &str) -> Result<(), Error> {
    let catalog = load(file)?;
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

fn platform(args: &Args) -> Result<HttpPlatform, Error> {
    let usage = |what: &str| Error::Usage(format!("{what} is missing; see --help"));
    let url = args.platform.as_ref().ok_or_else(|| usage("--platform"))?;
    let credential = args.credential.as_ref().ok_or_else(|| usage("--credential"))?;
    Ok(HttpPlatform::new(url, credential.as_str().into(), WITHIN))
}

fn head(platform: &dyn Platform) -> anyhow::Result<Head> {
    match platform.get(HEAD)? {
        None => Ok(Head { version: 0, revision: Arc::new(Revision::default()) }),
        Some(value) => {
            let revision =
                serde_json::from_slice(&value.bytes).context("the revision is unreadable")?;
            Ok(Head { version: value.version, revision: Arc::new(revision) })
        }
    }
}

/// `vanetally show`.
pub fn show(args: &Args) -> Result<(), Error> {
    let head = head(&platform(args)?)?;
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

/// `vanetally diff FILE`.
pub fn diff(args: &Args, file: &str) -> Result<(), Error> {
    let catalog = load(file)?;
    let head = head(&platform(args)?)?;
    println!("against revision {}", head.revision.number);
    for line in diff::diff(&head.revision.catalog, &catalog) {
        println!("{line}");
    }
    Ok(())
}

/// `vanetally apply FILE`.
pub fn apply(args: &Args, file: &str) -> Result<(), Error> {
    let catalog = load(file)?;
    publish(args, catalog, args.floor)
}

/// `vanetally restore HOST`: the host's revision gets a number above its own.
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
    let platform = platform(args)?;
    let change = args.change.clone().unwrap_or_else(random_name);
    let mut publish = Publication::new(change.as_str().into(), catalog.clone(), args.base, floor);
    let mut step = publish.start();
    for _ in 0..TRIES {
        let event = match step {
            Step::Read => read(&platform),
            Step::Write { base, ref revision } => write(&platform, base, revision)?,
            Step::Wait => {
                thread::sleep(PAUSE);
                read(&platform)
            }
            Step::Applied(number) => {
                println!("applied as revision {number}, change {change}");
                return Ok(());
            }
            Step::Unchanged(number) => {
                println!("revision {number} says the same already");
                return Ok(());
            }
            Step::Conflict(present) => return Err(beaten(&present, &catalog)),
        };
        step = publish.next(event);
    }
    let text = format!(
        "the platform does not answer: it is not known whether change {change} took effect; \
         `apply` again with `--change {change}` tells"
    );
    Err(anyhow!(text).into())
}

fn read(platform: &dyn Platform) -> Event {
    match head(platform) {
        Ok(head) => Event::Read(head),
        Err(e) => {
            eprintln!("vanetally: {e:#}; trying again");
            Event::NoAnswer
        }
    }
}

fn write(platform: &dyn Platform, base: u64, revision: &Revision) -> Result<Event, Error> {
    let bytes = serde_json::to_vec(revision).context("the revision can't be written")?;
    Ok(match platform.put(HEAD, base, &bytes) {
        Ok(PutOutcome::Written(_)) => Event::Written,
        Ok(PutOutcome::Conflict(_)) => Event::Conflict,
        Err(vanetally_link::platform::Error::Rejected(text)) => return Err(anyhow!(text).into()),
        Err(e) => {
            eprintln!("vanetally: {e}; looking whether the change took effect");
            Event::NoAnswer
        }
    })
}

fn beaten(present: &Revision, wanted: &Catalog) -> Error {
    let lines = diff::diff(&present.catalog, wanted).join("\n");
    Error::Failed(anyhow!(
        "not applied: revision {} (change {}) came first; from it to yours it would be\n{lines}",
        present.number,
        present.change
    ))
}

fn random_name() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// `vanetally token`.
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
