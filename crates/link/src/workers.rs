//! A pool of threads that execute jobs.
//!
//! Idle threads are reused for a while, because under load creating a thread for each exchange
//! costs more than the exchange itself.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::Duration,
};

type Job = Box<dyn FnOnce() + Send>;

/// Idle threads: the id and job sender of each.
type IdleWorkers = Mutex<Vec<(u64, Sender<Job>)>>;

/// A pool that grows with the number of parallel jobs.
pub(crate) struct Workers {
    name: String,
    stack_bytes: usize,
    idle: Arc<IdleWorkers>,
    last_id: u64,
}

/// Time after which an idle thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

fn lock(idle: &IdleWorkers) -> MutexGuard<'_, Vec<(u64, Sender<Job>)>> {
    idle.lock().unwrap_or_else(|e| e.into_inner())
}

impl Workers {
    /// Creates a pool without threads.
    pub fn new(name: &str, stack_bytes: usize) -> Self {
        Self { name: name.to_owned(), stack_bytes, idle: Arc::default(), last_id: 0 }
    }

    /// Executes `job` on an idle thread or a new one.
    pub fn run(&mut self, job: Job) {
        let worker = lock(&self.idle).pop();
        let job = match worker {
            None => job,
            Some((_, sender)) => match sender.send(job) {
                Ok(()) => return,
                Err(unsent) => unsent.0,
            },
        };
        self.last_id += 1;
        let (idle, id) = (self.idle.clone(), self.last_id);
        let builder = thread::Builder::new().name(self.name.clone()).stack_size(self.stack_bytes);
        if let Err(e) = builder.spawn(move || run_worker(job, &idle, id)) {
            log::error!("event=thread-failed name={} error=\"{e}\"", self.name);
        }
    }
}

fn run_worker(first: Job, idle: &IdleWorkers, id: u64) {
    let (sender, inbox) = channel();
    first();
    loop {
        lock(idle).push((id, sender.clone()));
        match next_job(&inbox, idle, id) {
            Some(job) => job(),
            None => return,
        }
    }
}

/// Waits for the next job; `None` after the idle timeout.
fn next_job(inbox: &Receiver<Job>, idle: &IdleWorkers, id: u64) -> Option<Job> {
    if let Ok(job) = inbox.recv_timeout(IDLE_TIMEOUT) {
        return Some(job);
    }
    let mut workers = lock(idle);
    let position = workers.iter().position(|(n, _)| *n == id);
    match position {
        Some(index) => {
            workers.remove(index);
            None
        }
        // `Workers::run` has just taken this thread from the list and is sending it a job.
        None => {
            drop(workers);
            inbox.recv().ok()
        }
    }
}
