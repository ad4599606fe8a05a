//! Log events of consensus and storage, numbers 400 to 499.

use super::event_kinds;

event_kinds! {
    ROLE_CHANGED = (401, Info, "The role or term of a control replica changed.");
    REPLICA_RECOVERED = (402, Info, "A control replica recovered its state from its data folder.");
    GROUP_FOUNDED = (403, Info, "A control group was bootstrapped with this replica as its only voter.");
    BOOTSTRAP_REFUSED = (404, Error, "The bootstrap of a control group was refused, because the replica already belongs to a group. Use the existing group.");
    GROUP_JOINED = (405, Info, "A new replica received a message from the leader of a control group and joined the group.");
    FOREIGN_GROUP = (406, Warn, "A message from another control group was dropped. Two groups use the same addresses; check the peers in the settings.");
    ELECTION_STARTED = (407, Info, "A replica became a candidate and started an election.");
    VOTE_GRANTED = (408, Info, "A replica granted its vote to a candidate.");
    LEADER_ELECTED = (409, Info, "A replica was elected leader.");
    LEADER_STEPPED_DOWN = (410, Warn, "A leader stepped down, because it lost contact with a majority, there is a newer term, or it was removed from the group.");
    LOG_CONFLICT = (411, Error, "A leader sent an entry that conflicts with a committed entry. A data folder was changed or copied; remove this replica and let it join again.");
    MEMBERS_PROPOSED = (412, Info, "The leader proposed a change to the members of the control group.");
    MEMBERS_REFUSED = (413, Warn, "The leader refused a change to the members of the control group.");
    MEMBERS_CHANGED = (414, Info, "A change to the members of the control group was committed.");
    SNAPSHOT_TAKEN = (415, Info, "A replica took a snapshot of its state.");
    SNAPSHOT_SENT = (416, Info, "The leader is sending a snapshot to a replica that lags too far behind the log.");
    SNAPSHOT_INSTALLED = (417, Info, "A replica installed a snapshot received from the leader.");
    CHANGE_ACCEPTED = (420, Info, "A configuration change was accepted.");
    CHANGE_CONFLICT = (421, Warn, "A configuration change was refused, because it was based on a version that is not the current one.");
    CHANGE_REPEATED = (422, Info, "A configuration change was received again. The first outcome was returned.");
    CLAIM_DECIDED = (423, Debug, "A claim of a request id was granted or denied.");
    CONTROL_REFUSED = (424, Warn, "The control leader refused a request. Nothing was proposed.");
    CONTROL_GAVE_UP = (425, Warn, "A request to the control leader was refused, or got no definite answer before its timeout.");
    REPAIR_STEP = (426, Info, "The leader is repairing the control group by changing its members.");
    REPAIR_FAILED = (427, Warn, "A step in the repair of the control group failed. It will be retried.");
    STORAGE_FULL = (429, Warn, "The disk of the control replica is full. The replica acknowledges nothing until disk space is freed.");
    ZONE_ORDERED = (430, Info, "An order for an availability zone was accepted.");
    ZONE_ORDER_OUTDATED = (431, Info, "An order for an availability zone had no effect, because another one came after its sender had read the number of orders.");
    ROLLOUT_MOVED = (432, Info, "A roll-out was ordered, or its stage changed. The reason has the figures that decided it.");
    ROLLOUT_UNCHANGED = (433, Info, "An order for a roll-out or a change of its stage had no effect, because it was repeated, came too late, or another roll-out of the service is running.");
    ROLLOUT_DECIDED = (434, Info, "The control leader proposes another stage of a roll-out. The reason has the figures that decided it.");
    COMMITS_STALLED = (435, Warn, "The control leader has entries that wait to be committed, and has committed none for a second or more. The reason has what waits, and the log of each member as the leader knows it.");
    COMMITS_RESUMED = (436, Info, "The control leader commits entries again.");
    WRITE_WAITS = (437, Warn, "A write of the control replica has waited for its disk for a second or more. Nothing that it holds is acknowledged meanwhile.");
    STRAY_MESSAGE = (438, Warn, "A consensus message for another replica was dropped, such as one to a former replica of this instance whose disk was lost. Logged once for each sender.");
    ROSTER_PROPOSED = (439, Info, "The control leader proposes a new roster: the instances whose majority renews leases and accepts changes.");
    FLEET_NOT_REACHED = (440, Warn, "The control leader refuses changes, because it does not reach a majority of the roster. The instances that it does not reach may renew their lease for an older configuration.");
    CHANGE_HELD = (441, Warn, "A change was committed, but not acknowledged within a second, because no majority of the roster reported that it holds the new version.");
    COMMAND_MALFORMED = (428, Error, "A committed command cannot be decoded and has no effect. The replicas run different releases; update the older ones.");
}
