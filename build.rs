//! Names the commit that is built, so that logs, metrics and `--version` tell builds side by side apart.

use std::{path::Path, process::Command};

/// The short name of the commit; `unknown` outside a repository.
fn commit() -> String {
    let output = Command::new("git").args(["rev-parse", "--short=8", "HEAD"]).output();
    let text = output.ok().filter(|output| output.status.success());
    let text = text.and_then(|output| String::from_utf8(output.stdout).ok());
    text.map_or_else(|| "unknown".to_owned(), |text| text.trim().to_owned())
}

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    // Changes with each commit.
    if Path::new(".git/logs/HEAD").exists() {
        println!("cargo::rerun-if-changed=.git/logs/HEAD");
    }
    println!("cargo::rustc-env=VANETALLY_BUILD={}", commit());
}
