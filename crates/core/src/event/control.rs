//! Log events of agreement and storage, numbers 400 to 499.

use super::event_kinds;

event_kinds! {
    ROLE_CHANGED = (401, Info, "A control replica changed its role or term.");
    REPLICA_RECOVERED = (402, Info, "A control replica has read its data folder.");
    GROUP_FOUNDED = (403, Info, "A control group was founded with this replica as its only voter.");
    BOOTSTRAP_REFUSED = (404, Error, "The founding of a control group was refused, because the replica is in a group already. Use the existing group.");
    GROUP_JOINED = (405, Info, "A new replica heard from the leader of a control group and joined it.");
    FOREIGN_GROUP = (406, Warn, "A message of another control group was dropped. Two groups share addresses; check the peers in the settings.");
    ELECTION_STARTED = (407, Info, "A replica stands for election.");
    VOTE_GRANTED = (408, Info, "A replica voted for another one.");
    LEADER_ELECTED = (409, Info, "A replica was elected leader.");
    LEADER_STEPPED_DOWN = (410, Warn, "A leader gave up, because no majority answers or there is a newer term.");
    LOG_CONFLICT = (411, Error, "A leader contradicts a committed entry. A data folder was changed or copied; remove this replica and let it join anew.");
    MEMBERS_PROPOSED = (412, Info, "The leader proposed a change of the members.");
    MEMBERS_REFUSED = (413, Warn, "The leader refused a change of the members.");
    MEMBERS_CHANGED = (414, Info, "A change of the members is committed.");
    SNAPSHOT_TAKEN = (415, Info, "A replica took a snapshot of its state.");
    SNAPSHOT_SENT = (416, Info, "The leader sends a snapshot to a replica that is far behind.");
    SNAPSHOT_INSTALLED = (417, Info, "A replica took over a snapshot of the leader.");
    CHANGE_ACCEPTED = (420, Info, "A change of the configuration was accepted.");
    CHANGE_CONFLICT = (421, Warn, "A change of the configuration was refused, because it was made from another version.");
    CHANGE_REPEATED = (422, Info, "A change of the configuration was sent again and got its first outcome.");
    CLAIM_DECIDED = (423, Debug, "A claim of a request id was decided.");
    CONTROL_REFUSED = (424, Warn, "A request was refused by the control leader; nothing was proposed.");
    CONTROL_GAVE_UP = (425, Warn, "A request to the control leader got no answer within its time.");
    REPAIR_STEP = (426, Info, "The leader repairs the control group by a change of its members.");
    REPAIR_FAILED = (427, Warn, "A step of the repair of the control group failed; it will be tried again.");
    STORAGE_FULL = (429, Warn, "The disk of the control replica is full. The replica acknowledges nothing until there is room; free some.");
    COMMAND_MALFORMED = (428, Error, "A committed command cannot be decoded and has no effect. The replicas run different releases; update the older ones.");
}
