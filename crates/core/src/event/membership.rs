//! Log events of placement and membership, numbers 300 to 399.

use super::event_kinds;

event_kinds! {
    MEMBER_CHANGED = (301, Info, "The state of a member of the fleet changed.");
    HOME_MOVED = (302, Info, "The home of a bundle of targets changed.");
    SUSPICION_REFUTED = (303, Warn, "Other members held an incorrect record of this instance. It raised its incarnation to refute the record.");
    RESUMED_AFTER_GAP = (304, Warn, "This instance did not run for longer than the suspicion timeout. Pending probe results were discarded.");
    LEAVING = (305, Info, "This instance announced that it is leaving the fleet.");
    PLATFORM_LEAVING = (306, Info, "The platform's list names a member as leaving. It is marked as leaving until it refutes this.");
    MEMBER_FORGOTTEN = (307, Info, "A member that has been dead for a long time was removed from the member table.");
    MEMBER_LIMIT = (308, Error, "A new member was ignored because the member table is full.");
}
