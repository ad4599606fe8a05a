//! The clock of the reducer.

use primrosemast_core::time::Time;
use rustix::time::{ClockId, Timespec, clock_gettime};

/// A monotonic clock that starts at zero and also counts the time during which
/// the machine was suspended. If it did not, an instance could hold its lease
/// for longer than the other instances granted it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start_us: u64,
}

impl Clock {
    pub(crate) fn start() -> Clock {
        Clock { start_us: boot_time_us() }
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_micros(boot_time_us().saturating_sub(self.start_us))
    }
}

/// Returns the time since the machine was booted, in microseconds.
fn boot_time_us() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    tv_sec as u64 * 1_000_000 + tv_nsec as u64 / 1_000
}
