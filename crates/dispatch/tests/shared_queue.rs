//! The queue over all hosts under a burst.

#[path = "support/burst.rs"]
mod burst;
mod support;

use burst::{BURST_S, Burst, END_S, ROUTES, Replay};

const REPLAY: Replay =
    Replay { hosts: 70, engines: 6, is_shared: true, load: 4.0, partitioned: None, seed: 7 };

#[test]
fn print() {
    for is_shared in [false, true] {
        let burst = Burst::new(Replay { is_shared, ..REPLAY }).run();
        println!("shared {is_shared} capacity {}", burst.capacity());
        println!("arrived {:?}", burst.per_second(|r| Some(r.arrived)));
        println!("sent {:?}", burst.per_second(|r| r.sent));
        println!("on time {:?}", burst.per_second(|r| r.began.filter(|_| r.is_on_time())));
        println!("began {:?}", burst.per_second(|r| r.began));
        for route in 0..ROUTES.len() {
            println!(
                "{} {:?}",
                ROUTES[route].0,
                burst.per_second(|r| r.began.filter(|_| r.route == route && r.is_on_time()))
            );
            let mut refused: Vec<u64> = burst
                .records
                .iter()
                .filter(|r| r.route == route)
                .filter_map(|r| r.refused.map(|at| at.since(r.arrived)))
                .collect();
            refused.sort();
            println!(
                "  refused {} median {:?} p90 {:?}",
                refused.len(),
                refused.get(refused.len() / 2),
                refused.get(refused.len() * 9 / 10)
            );
        }
        println!("refused {:?}", burst.per_second(|r| r.refused));
        let _ = (BURST_S, END_S);
    }
}
