//! Limits of the account.

use std::time::Duration;

use super::{Holder, Listener};

/// Bytes that a holder may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Bytes that other holders cannot take.
    pub reserved: usize,
    /// Most bytes at the same time.
    pub max: usize,
}

/// Memory that a connection costs beside bodies, in bytes: its task, and the
/// buffers for a head of 16 KiB and for a response.
const CONNECTION_BYTES: usize = 32 << 10;

/// Bytes for answers of targets if the memory is not limited.
const ANSWER_BYTES: usize = 32 << 20;

/// Limits of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldOptions {
    /// Bytes of all holders together.
    pub bytes: usize,
    /// Bytes of each holder, by its number.
    pub shares: [Share; Holder::ALL.len()],
    /// Connections of each listener, by its number.
    pub connections: [usize; Listener::ALL.len()],
    /// Time without progress after which a body or a response has stalled.
    pub stall: Duration,
    /// Time without a refusal after which the shortage is over.
    pub calm: Duration,
}

impl Default for HeldOptions {
    fn default() -> HeldOptions {
        let unlimited = Share { reserved: 0, max: usize::MAX };
        let answers = Share { reserved: 0, max: ANSWER_BYTES };
        HeldOptions {
            bytes: usize::MAX,
            shares: [unlimited, unlimited, answers, unlimited],
            connections: [usize::MAX; Listener::ALL.len()],
            stall: Duration::from_millis(500),
            calm: Duration::from_secs(10),
        }
    }
}

impl HeldOptions {
    /// Limits the bytes of all holders together, and the connections by what
    /// they cost.
    #[must_use]
    pub fn with_bytes(mut self, bytes: usize) -> HeldOptions {
        let part = |eighths: usize| bytes / 8 * eighths;
        self.bytes = bytes;
        self.shares = [
            Share { reserved: part(1), max: part(4) },
            // One configuration of 16 MiB on the smallest instances.
            Share { reserved: part(2), max: part(6) },
            Share { reserved: part(2), max: part(4) },
            Share { reserved: 0, max: usize::MAX },
        ];
        self.with_connections(bytes / CONNECTION_BYTES)
    }

    /// Limits the connections of all listeners together, unless there is a
    /// lower limit.
    #[must_use]
    pub fn with_connections(mut self, count: usize) -> HeldOptions {
        // Health checks are few, but have to reach a full process.
        let parts = [count / 4 * 3, count / 8, count / 8];
        for (limit, part) in self.connections.iter_mut().zip(parts) {
            *limit = part.max(1).min(*limit);
        }
        self
    }
}
