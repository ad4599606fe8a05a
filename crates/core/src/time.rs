/*!
Monotonic time, passed to reducers as an argument.

Reducers never read a clock. The daemon passes a [`Time`], which counts the
microseconds since the start of the process. Messages between instances carry
a deadline as the remaining time, never as a `Time`, because instances share
no clock.
*/

use std::{
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

/// A point in time, in microseconds since the process started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Returns the point `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Returns the point `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the number of microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in
    /// the future.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}
