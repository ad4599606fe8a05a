//! Log events of targets, numbers 200 to 299.

use super::event_kinds;

event_kinds! {
    TARGET_STATE = (201, Info, "A target changed its state or its limit.");
}
