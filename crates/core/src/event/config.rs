//! Log events of configuration, numbers 500 to 599.

use super::event_kinds;

event_kinds! {
    CONFIG_IN_FORCE = (501, Info, "A configuration version came into force on this instance.");
    LEASE_CHANGED = (502, Warn, "This instance gained or lost the right to serve.");
}
