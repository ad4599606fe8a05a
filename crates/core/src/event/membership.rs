//! Log events of placement and membership, numbers 300 to 399.

use super::event_kinds;

event_kinds! {
    MEMBER_CHANGED = (301, Info, "A member of the fleet changed its state.");
    HOME_MOVED = (302, Info, "A target got another home instance.");
}
