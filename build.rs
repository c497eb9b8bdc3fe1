//! Sets `VANETALLY_BUILD` to the commit that is built, so that logs, metrics and `--version` show
//! which build runs on a host.

use std::{path::Path, process::Command};

/// Returns the abbreviated hash of the commit; `unknown` outside a repository.
fn commit_hash() -> String {
    let output = Command::new("git").args(["rev-parse", "--short=8", "HEAD"]).output();
    let output = output.ok().filter(|output| output.status.success());
    let text = output.and_then(|output| String::from_utf8(output.stdout).ok());
    text.map_or_else(|| "unknown".to_owned(), |text| text.trim().to_owned())
}

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    // The reflog changes with each commit.
    if Path::new(".git/logs/HEAD").exists() {
        println!("cargo::rerun-if-changed=.git/logs/HEAD");
    }
    println!("cargo::rustc-env=VANETALLY_BUILD={}", commit_hash());
}
