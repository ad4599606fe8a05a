//! Loopback addresses of a fleet.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Addresses that no other fleet uses. With shared ones, the port of an
/// instance that does not run could be taken by another fleet.
#[derive(Clone, Copy)]
pub(super) struct Network([u8; 3]);

impl Network {
    pub(super) fn next() -> Network {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let second = 1 + pid % 254;
        let third = (pid / 254 + count) % 256;
        Network([127, second as u8, third as u8])
    }

    pub(super) fn with(self, last: u8) -> IpAddr {
        let Network([a, b, c]) = self;
        Ipv4Addr::new(a, b, c, last).into()
    }
}
