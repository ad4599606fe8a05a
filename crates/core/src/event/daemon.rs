//! Log events of the daemon, numbers 600 to 699.

use super::event_kinds;

event_kinds! {
    STARTED = (601, Info, "The daemon serves on its addresses.");
    DRAINING = (602, Info, "The daemon was told to stop and drains.");
    STOPPED = (603, Info, "The daemon has stopped.");
}
