//! Faults of instances and of the network between them.

use std::{io, time::Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT};

impl Fleet {
    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.instances[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to an instance.
    pub fn terminate(&self, i: usize) {
        self.signal(i, Signal::TERM);
    }

    /// Suspends an instance with SIGSTOP.
    pub fn suspend(&self, i: usize) {
        self.signal(i, Signal::STOP);
    }

    /// Resumes a suspended instance with SIGCONT.
    pub fn resume(&self, i: usize) {
        self.signal(i, Signal::CONT);
    }

    fn signal(&self, i: usize, signal: Signal) {
        let pid = self.instances[i].pid().expect("the instance runs");
        let pid = Pid::from_raw(pid as i32).expect("not zero");
        kill_process(pid, signal).expect("a signal to a child process");
    }

    /// Waits for an instance to exit and returns its exit code.
    ///
    /// # Errors
    ///
    /// Fails if it does not exit in time.
    pub async fn wait_exit(&mut self, i: usize) -> io::Result<Option<i32>> {
        let start = Instant::now();
        loop {
            let child = self.instances[i].child.as_mut();
            let Some(child) = child else { return Ok(None) };
            if let Some(status) = child.try_wait()? {
                self.instances[i].child = None;
                return Ok(status.code());
            }
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(io::Error::other("the instance does not exit"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Cuts or restores all traffic between two instances.
    pub fn cut(&self, a: usize, b: usize, cut: bool) {
        for (x, y) in [(a, b), (b, a)] {
            self.cut_one_way(x, y, cut);
        }
    }

    /// Cuts or restores the connections that `from` opens to `to`, in both
    /// directions. An instance sends messages only on connections that it
    /// opened, so this affects only the messages from `from`.
    pub fn cut_one_way(&self, from: usize, to: usize, cut: bool) {
        let source = self.instances[from].ip;
        self.instances[to].proxy.update(|f| {
            f.cut_sources.retain(|&s| s != source);
            if cut {
                f.cut_sources.push(source);
            }
        });
    }

    /// Cuts or restores all traffic between one instance and the others.
    pub fn isolate(&self, i: usize, cut: bool) {
        for other in (0..self.instances.len()).filter(|&o| o != i) {
            self.cut(i, other, cut);
        }
    }
}
