/*!
Monotonic time as an argument.

Reducers never read a clock. The daemon passes a [`Time`] that counts
microseconds from a fixed point in the life of the process. Deadlines cross
the network as remaining time, never as a `Time`, because instances share no
clock.
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

    /// Microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero if `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}
