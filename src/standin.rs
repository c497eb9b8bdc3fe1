//! `vanetally-standin`: runs one stand-in and prints the address that it listens on.

use anyhow::{Context, bail};
use lexopt::{Arg, ValueExt};
use std::{net::SocketAddr, time::Duration};
use vanetally_standin::{
    engine::{self, Engine},
    platform::Platform,
    service::Service,
    store::Store,
};

const HELP: &str = "\
Stand-ins for what stands outside of vanetally.

Usage: vanetally-standin ROLE [OPTIONS]

Roles:
  platform   --credential TEXT
  engine     --capacity-gib N --slots N --token-ms N --load-ms-per-gib N --store URL --unfenced
  store      --per-10s N --slots N
  service    --takes-ms N

Options:
  --listen IP:PORT   where to listen [127.0.0.1:0]
  --help, --version
";

struct Args {
    role: String,
    listen: SocketAddr,
    credential: String,
    engine: engine::Options,
    loads_per_10s: u32,
    run_time: Duration,
}

/// Parses the arguments; returns `None` if they only ask for the help or the version.
fn parse() -> anyhow::Result<Option<Args>> {
    let mut args = Args {
        role: String::new(),
        listen: "127.0.0.1:0".parse()?,
        credential: String::new(),
        engine: engine::Options::default(),
        loads_per_10s: 15,
        run_time: Duration::from_millis(1),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(role) if args.role.is_empty() => args.role = role.string()?,
            Arg::Long("listen") => args.listen = parser.value()?.parse()?,
            Arg::Long("credential") => args.credential = parser.value()?.string()?,
            Arg::Long("capacity-gib") => {
                args.engine.capacity = parser.value()?.parse::<u64>()? << 30;
            }
            Arg::Long("slots") => args.engine.slots = parser.value()?.parse()?,
            Arg::Long("token-ms") => args.engine.token_interval = parse_millis(&mut parser)?,
            Arg::Long("load-ms-per-gib") => args.engine.load_per_gib = parse_millis(&mut parser)?,
            Arg::Long("store") => args.engine.store_url = Some(parser.value()?.string()?),
            Arg::Long("unfenced") => args.engine.fenced = false,
            Arg::Long("per-10s") => args.loads_per_10s = parser.value()?.parse()?,
            Arg::Long("takes-ms") => args.run_time = parse_millis(&mut parser)?,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(None);
            }
            Arg::Long("version") => {
                println!("vanetally-standin {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(args))
}

fn parse_millis(parser: &mut lexopt::Parser) -> anyhow::Result<Duration> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

fn main() -> anyhow::Result<()> {
    env_logger::init();
    let Some(args) = parse()? else { return Ok(()) };
    let server = match args.role.as_str() {
        "platform" => Platform::try_start(args.listen, &args.credential),
        "engine" => Engine::try_start(args.listen, args.engine),
        "store" => Store::try_start(args.listen, args.loads_per_10s, args.engine.slots),
        "service" => Service::try_start(args.listen, args.run_time),
        role => bail!("`{role}` is no role: see --help"),
    };
    let (address, _stopper) =
        server.with_context(|| format!("{} at {}", args.role, args.listen))?;
    println!("listening {address}");
    loop {
        std::thread::park();
    }
}
