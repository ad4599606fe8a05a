//! Log events of the forwarding path, numbers 700 to 799.

use super::event_kinds;

event_kinds! {
    REQUEST_SERVED = (701, Debug, "A request was answered in full and within its objective.");
    REQUEST_DEGRADED = (702, Info, "A request was answered late or without some of its shards.");
    REQUEST_FAILED = (703, Info, "A request got no answer; the line says what its shards waited for.");
    REQUEST_REFUSED = (704, Info, "A request was refused before anything was sent.");
    ATTEMPT_SENT = (705, Debug, "A request was sent to a target; `extra` says that another target was asked before.");
    DELEGATED = (706, Debug, "Shards of a request were handed to another instance.");
    ATTEMPT_ENDED = (707, Debug, "A target answered or failed; the line says how and after what time.");
    TARGET_PAUSED = (710, Info, "A target failed or refused requests and is passed over for a while.");
    TARGET_UNREACHABLE = (711, Warn, "A target accepts no connection; it is used again once a later reading of the platform's list names it.");
    TARGET_REPLACED = (712, Info, "Another incarnation answers at a target's address.");
    DELEGATE_SILENT = (713, Info, "An instance did not acknowledge shards of a request in time; they are asked from here.");
    DIRECTORY_INSTALLED = (720, Debug, "A changed reading of the platform's list is in use.");
    DIRECTORY_FAILED = (721, Warn, "The platform's list could not be read; the last reading stays in use.");
    TABLE_INSTALLED = (730, Info, "A table of forwarding routes came into force.");
    TABLE_REJECTED = (731, Error, "A table of forwarding routes has problems and is not in force.");
}
