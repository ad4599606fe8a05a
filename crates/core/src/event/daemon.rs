//! Log events of the daemon, numbers 600 to 699.

use super::event_kinds;

event_kinds! {
    STARTED = (601, Info, "The daemon has started and listens on its addresses.");
    DRAINING = (602, Info, "The daemon received a stop request and is draining.");
    STOPPED = (603, Info, "The daemon has stopped.");
}
