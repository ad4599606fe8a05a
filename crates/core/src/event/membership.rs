//! Log events of placement and membership, numbers 300 to 399.

use super::event_kinds;

event_kinds! {
    MEMBER_CHANGED = (301, Info, "A member of the fleet changed its state.");
    HOME_MOVED = (302, Info, "A target got another home instance.");
    SUSPICION_REFUTED = (303, Warn, "Others held a wrong record of this instance, and it raised its incarnation.");
    RESUMED_AFTER_GAP = (304, Warn, "This instance did not run for longer than the suspicion timeout; probe results were discarded.");
    LEAVING = (305, Info, "This instance announces that it leaves.");
    PLATFORM_LEAVING = (306, Info, "The platform's list names a member as leaving, and it is marked so until it refutes.");
    MEMBER_FORGOTTEN = (307, Info, "A member that has been dead for long was removed from the table.");
    MEMBER_LIMIT = (308, Error, "A new member was ignored because the table is full.");
}
