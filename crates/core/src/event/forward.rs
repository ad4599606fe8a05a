//! Log events of the forwarding path, numbers 700 to 799.

use super::event_kinds;

event_kinds! {
    REQUEST_SERVED = (701, Debug, "A request was answered in full and within its objective.");
    REQUEST_DEGRADED = (702, Info, "A request was answered late or without some of its shards.");
    REQUEST_FAILED = (703, Info, "A request could not be answered. The details say what its shards were waiting for.");
    REQUEST_REFUSED = (704, Info, "A request was refused before anything was sent to a target.");
    ATTEMPT_SENT = (705, Debug, "A request was sent to a target. `extra` says whether another target was asked before.");
    DELEGATED = (706, Debug, "Shards of a request were delegated to another instance.");
    ATTEMPT_ENDED = (707, Debug, "A target answered or failed. The details give the outcome and the elapsed time.");
    TARGET_PAUSED = (710, Info, "A target failed or refused requests. It is not used for some time.");
    TARGET_UNREACHABLE = (711, Warn, "A target accepts no connections. It is used again once a later reading of the platform's list contains it.");
    TARGET_REPLACED = (712, Info, "The target at this address was replaced by another incarnation.");
    DELEGATE_SILENT = (713, Info, "An instance did not acknowledge delegated shards in time. This instance requests them itself.");
    DIRECTORY_INSTALLED = (720, Debug, "A changed reading of the platform's list was installed.");
    DIRECTORY_FAILED = (721, Warn, "The platform's list could not be read. The last reading stays in use.");
    DIRECTORY_OUTDATED = (722, Warn, "The last reading of the platform's list is so old that targets may have left since, or a new one was installed after that.");
    TABLE_INSTALLED = (730, Info, "A forwarding table came into force.");
    TABLE_REJECTED = (731, Error, "A forwarding table is invalid and was not installed.");
    KEYS_CONFIRMED = (733, Warn, "Requests with a key are refused because no control quorum confirms that the keys are still in use, or this has ended.");
    KEYS_WITHDRAWN = (734, Info, "A forwarding table withdrew the keys of requests in flight. Their shards that were not sent are given up.");
    ROLLOUT_BRAKE = (735, Warn, "A new version failed at this instance, which sends it nothing for some time. The control leader decides on the roll-out.");
    ROLLOUT_STAGE = (736, Info, "A stage of a roll-out came into force at this instance.");
    ZONES_OUT_CHANGED = (732, Info, "The availability zones that this instance sends nothing to have changed.");
    GRANTOR_CHANGED = (740, Info, "This instance began or stopped granting tokens of the limits that all instances share.");
    GRANTOR_SILENT = (741, Info, "A grantor of shared limits did not answer in time. Another one is asked.");
}
