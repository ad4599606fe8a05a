//! Log events of configuration, numbers 500 to 599.

use super::event_kinds;

event_kinds! {
    CONFIG_IN_FORCE = (501, Info, "A configuration version came into force on this instance.");
    LEASE_CHANGED = (502, Warn, "This instance gained or lost the right to serve.");
    LEASE_GAP = (503, Warn, "This instance did not run for longer than the lease and must be confirmed again before it serves.");
    FLEET_FALLBACK = (504, Warn, "The lease is renewed by a majority of the fleet because no control quorum answers, or no longer so.");
    GROUP_CHOSEN = (505, Info, "The first control quorum has confirmed; only this control group counts until restart.");
    CONFIG_CONFLICT = (506, Error, "Two different documents have the same version; check for a second control group.");
    CONFIG_REJECTED = (520, Error, "A committed configuration cannot be decoded by this release and was not brought into force. Update the instance.");
}
