//! Log lines on standard output that never block the caller.
//!
//! Lines go through a bounded buffer to a thread that writes them. What finds no room is dropped
//! and counted; the next line that finds room is preceded by the count.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

/// Lines that may wait to be written.
const WAITING_LINES: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Sends all log lines of this process to standard output; `RUST_LOG` sets the level.
///
/// # Errors
/// If the writing thread can't be made or a logger is set already.
pub fn try_init() -> anyhow::Result<()> {
    let (sender, lines) = sync_channel(WAITING_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_all(&lines))?;
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(|out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(out, "time={} level={level} {}", out.timestamp_millis(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(Bounded { sender })))
        .try_init()?;
    Ok(())
}

struct Bounded {
    sender: SyncSender<Vec<u8>>,
}

impl Write for Bounded {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(line.to_vec()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut told = 0;
    while let Ok(line) = lines.recv() {
        let lost = dropped();
        if lost != told {
            told = lost;
            // Nobody is left to tell if standard output is gone.
            let _ = writeln!(out, "level=warn event=log_lines_dropped total={lost}");
        }
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}
