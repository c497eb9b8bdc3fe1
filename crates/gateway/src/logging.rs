//! Log output on standard output that never blocks the caller.
//!
//! Lines pass through a bounded queue to a thread that writes them. Lines that find the queue full
//! are dropped and counted; the next line written is preceded by the count.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Directs all log output of this process to standard output; `RUST_LOG` sets the level.
///
/// # Errors
/// If the writer thread can't be started or a logger is already set.
pub fn try_init() -> anyhow::Result<()> {
    let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new().name("log".into()).spawn(move || write_all(&lines))?;
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(|out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(out, "time={} level={level} {}", out.timestamp_millis(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(LineQueue { sender })))
        .try_init()?;
    Ok(())
}

struct LineQueue {
    sender: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
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
    let mut reported = 0;
    while let Ok(line) = lines.recv() {
        let dropped_total = dropped();
        if dropped_total != reported {
            reported = dropped_total;
            // There is nowhere to report a failure of standard output.
            let _ = writeln!(out, "level=warn event=log_lines_dropped total={dropped_total}");
        }
        let _ = out.write_all(&line);
        let _ = out.flush();
    }
}
