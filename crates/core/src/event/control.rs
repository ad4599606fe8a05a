//! Log events of agreement and storage, numbers 400 to 499.

use super::event_kinds;

event_kinds! {
    ROLE_CHANGED = (401, Info, "A control replica changed its role or term.");
}
