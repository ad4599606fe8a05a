//! Log events of the daemon, numbers 600 to 699.

use super::event_kinds;

event_kinds! {
    STARTED = (601, Info, "The daemon has started and listens on its addresses.");
    DRAINING = (602, Info, "The daemon received a stop request and is draining.");
    STOPPED = (603, Info, "The daemon has stopped.");
    HELD_SHORT = (604, Warn, "Room for bodies or connections of others is short, so some are refused or closed. Logged once until room is back; if it stays, look for clients that hold many slow or endless requests.");
    HELD_ROOM = (605, Info, "Nothing was refused for lack of room in the last 10 s.");
}
