//! Threads that run attempts.
//!
//! An attempt blocks on its target, so it has a thread for as long as it runs;
//! waiting requests have none. Threads are made when no idle one is there, up to
//! a bound, and end after `IDLE` without work. Beyond the bound jobs wait in
//! order; the kernel grants no more than the targets' slots, so that is rare.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a thread waits for work before it ends.
const IDLE: Duration = Duration::from_secs(10);

/// Stack of a thread in bytes.
const STACK: usize = 512 << 10;

type Job = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    jobs: VecDeque<Job>,
    threads: usize,
    idle: usize,
    stopped: bool,
}

struct Shared {
    state: Mutex<State>,
    work: Condvar,
    limit: usize,
}

/// A bounded pool of threads.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

impl Pool {
    /// A pool of at most `limit` threads.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let shared = Shared {
            state: Mutex::default(),
            work: Condvar::new(),
            limit,
        };
        let shared = Arc::new(shared);
        Self { shared }
    }

    /// Runs a job on a thread of the pool.
    ///
    /// # Errors
    ///
    /// When no thread runs and none can be started; the job is dropped.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let mut state = self.shared.lock();
        state.jobs.push_back(Box::new(job));
        if state.idle >= state.jobs.len() || state.threads >= self.shared.limit {
            drop(state);
            self.shared.work.notify_one();
            return Ok(());
        }
        state.threads += 1;
        drop(state);
        let shared = Arc::clone(&self.shared);
        let started = std::thread::Builder::new()
            .name("attempt".to_owned())
            .stack_size(STACK)
            .spawn(move || shared.serve());
        match started {
            Ok(_) => Ok(()),
            Err(err) => self.shared.unstarted(err),
        }
    }

    /// Ends the threads as they become idle.
    pub fn stop(&self) {
        self.shared.lock().stopped = true;
        self.shared.work.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A thread could not be started: others will take the job, if there are any.
    fn unstarted(&self, err: io::Error) -> io::Result<()> {
        let mut state = self.lock();
        state.threads -= 1;
        if state.threads > 0 {
            return Ok(());
        }
        state.jobs.pop_back();
        Err(err)
    }

    fn serve(&self) {
        while let Some(job) = self.next() {
            job();
        }
    }

    fn next(&self) -> Option<Job> {
        let mut state = self.lock();
        loop {
            if let Some(job) = state.jobs.pop_front() {
                return Some(job);
            }
            if state.stopped {
                state.threads -= 1;
                return None;
            }
            state.idle += 1;
            let waited = self.work.wait_timeout(state, IDLE);
            let (back, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            state = back;
            state.idle -= 1;
            if timeout.timed_out() && state.jobs.is_empty() {
                state.threads -= 1;
                return None;
            }
        }
    }
}
