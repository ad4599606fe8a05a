//! Log events of targets, numbers 200 to 299.

use super::event_kinds;

event_kinds! {
    TARGET_STATE = (201, Info, "A target changed its state, with the reason.");
    TARGET_LIMIT = (202, Info, "The number of requests that a target may run at the same time changed.");
    JOB_SHED = (203, Debug, "A job was refused by the home of its target and was not run.");
    CONNECTION_SILENT = (204, Warn, "A connection went silent while its target answers others; it was closed and its request failed.");
    ANSWER_REJECTED = (205, Warn, "An answer did not belong to its request or was damaged; its connection was closed.");
    CONNECTION_CAP = (206, Warn, "A target refused a connection as one too many; fewer are used for a while.");
    CONNECT_FAILED = (207, Info, "A connection to a target could not be opened or broke before its first answer; the next attempt waits.");
    ROLE_TAKEN = (208, Info, "This instance changed its part in serving a target.");
}
