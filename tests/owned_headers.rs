//! Headers that the product itself sends to engines are never passed on from a caller.

mod gateway;

use gateway::Deployment;
use rstest::rstest;
use vanetally_platform_standin::{Behaviour, Client};

/// Headers that only the product may set, with values that a caller might forge.
const FORGED: [(&str, &str); 8] = [
    ("X-Expect-Instance", "i-somebody-else"),
    ("X-Request-Priority", "0"),
    ("X-Expect-Version", "999"),
    ("X-Pin-Ms", "4000"),
    ("X-Hold", "h-1"),
    ("X-Kv-Backup", "10.0.0.9:8000"),
    ("Kv-From", "10.0.0.9:8000/h-1"),
    ("Kv-Fetch", "10.0.0.9:8000"),
];

fn with_forged(client: Client) -> Client {
    FORGED.iter().fold(client, |client, (name, value)| client.with(name, value))
}

/// Returns the names of the forged headers that arrived unchanged.
fn passed_on(deployment: &Deployment) -> Vec<String> {
    let upstreams = deployment.engines.iter().chain(&deployment.desks);
    let requests = upstreams.flat_map(|upstream| upstream.requests());
    let forged = |request: &vanetally_platform_standin::Message| {
        let is_forged =
            |(name, value): &&(&str, &str)| request.header(&name.to_lowercase()) == Some(*value);
        let names = FORGED.iter().filter(is_forged).map(|(name, _)| (*name).to_owned());
        names.collect::<Vec<_>>()
    };
    requests.flat_map(|request| forged(&request)).collect()
}

#[rstest]
#[case::with_body(Client::new("POST", "/offer/1", "a1").with("X-Model", "m1").body(b"draft"))]
#[case::without_body(Client::new("GET", "/check/1", "a2"))]
fn not_passed_on(#[case] client: Client) {
    let deployment = Deployment::start();
    let host = deployment.host("front-1");
    assert_eq!(with_forged(client).send(host.front).status, 200);
    assert_eq!(passed_on(&deployment), Vec::<String>::new());
}

/// The same for a resumed stream.
#[test]
fn resumed() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::BreakOnce { after: 3, events: 5 });
    let host = deployment.host("front-1");
    let client = Client::new("POST", "/draft/1", "b1").with("X-Model", "m1");
    assert_eq!(with_forged(client).send(host.front).status, 200);
    assert_eq!(deployment.engines[0].requests().len(), 2, "resumed once");
    assert_eq!(passed_on(&deployment), Vec::<String>::new());
}

/// The same for a rejected request that is sent again.
#[test]
fn retried() {
    let deployment = Deployment::start();
    deployment.engines[0].set_behaviour(Behaviour::Full);
    let host = deployment.host("front-1");
    let client = Client::new("POST", "/offer/1", "c1").with("X-Model", "m1").deadline(1_000);
    assert_eq!(with_forged(client).send(host.front).status, 503);
    assert!(deployment.engines[0].requests().len() > 1, "sent again");
    assert_eq!(passed_on(&deployment), Vec::<String>::new());
}
