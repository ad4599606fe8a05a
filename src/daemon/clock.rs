//! The clock of the reducer.

use primrosemast_core::time::Time;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// Counts from its start, including the time in which the machine was
/// suspended. A lease that is measured without that time would outlive what
/// the other instances grant.
#[derive(Debug)]
pub(super) struct Clock {
    start_us: u64,
}

impl Clock {
    pub(super) fn start() -> Clock {
        Clock { start_us: read_us() }
    }

    pub(super) fn now(&self) -> Time {
        Time::from_micros(read_us().saturating_sub(self.start_us))
    }
}

fn read_us() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec as u64 * 1_000_000 + tv_nsec as u64 / 1_000
}
