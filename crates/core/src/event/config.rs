//! Log events of configuration, numbers 500 to 599.

use super::event_kinds;

event_kinds! {
    CONFIG_IN_FORCE = (501, Info, "A configuration version came into force on this instance.");
    LEASE_CHANGED = (502, Warn, "This instance gained or lost the lease that allows it to serve.");
    LEASE_GAP = (503, Warn, "This instance did not run for longer than the lease. It does not serve until its configuration is confirmed again.");
    FLEET_FALLBACK = (504, Warn, "The lease is renewed by a majority of the fleet because no quorum of the control group answers, or this has ended.");
    GROUP_CHOSEN = (505, Info, "A quorum of a control group confirmed the configuration for the first time. Other control groups are ignored until restart.");
    CONFIG_CONFLICT = (506, Error, "Two different configurations have the same version. Check for a second control group.");
    ROSTER_ADOPTED = (507, Info, "This instance counts majorities of the fleet by a new roster.");
    CONFIG_REJECTED = (520, Error, "A committed configuration cannot be decoded by this release and was not applied. Update the instance.");
}
