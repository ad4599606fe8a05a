//! Log events of targets, numbers 200 to 299.

use super::event_kinds;

event_kinds! {
    TARGET_STATE = (201, Info, "The state of a target changed, for the given reason.");
    TARGET_LIMIT = (202, Info, "The limit on the number of concurrent requests to a target changed.");
    JOB_SHED = (203, Debug, "The home of a target refused a request. The target did not run it.");
    CONNECTION_SILENT = (204, Warn, "A connection stopped delivering data while its target answered a health probe. The connection was closed and its request failed.");
    ANSWER_REJECTED = (205, Warn, "An answer did not match its request or was corrupt. Its connection was closed.");
    CONNECTION_CAP = (206, Warn, "A target refused a connection because it has too many. The number of connections to it is reduced for some time.");
    CONNECT_FAILED = (207, Info, "A connection to a target could not be opened, or failed before its first answer. The next attempt is delayed.");
    ROLE_TAKEN = (208, Info, "The role of this instance for a target changed.");
    REVOKE_UNCONFIRMED = (209, Warn, "The standby of a cold target did not confirm in time that it sends nothing to the target. The home sends again.");
}
