//! Allocation of loopback addresses.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Loopback subnet that no other fleet uses. In a shared subnet, another fleet
/// could take the port of an instance that does not run.
#[derive(Clone, Copy)]
pub(super) struct Subnet([u8; 3]);

impl Subnet {
    pub(super) fn allocate() -> Subnet {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let second = 1 + pid % 254;
        let third = (pid / 254 + count) % 256;
        Subnet([127, second as u8, third as u8])
    }

    pub(super) fn host(self, last: u8) -> IpAddr {
        let Subnet([a, b, c]) = self;
        Ipv4Addr::new(a, b, c, last).into()
    }
}
