/*!
When an instance may grant, and how large its part is.

A grantor needs a confirmation of the list of voters by a majority of them,
which counts from when it was asked for. Successive lists have a majority in
common, so no list is confirmed to a request that was sent after a newer one
was committed. A grantor of an older list therefore ends within the lease.

- A new grantor, one that has started again, and one whose list changed while
  it had no confirmation wait for `hold`, which covers the lease and the
  validity of what a former grantor has granted. They start without tokens.
- A grantor whose list changes uses the smallest part, that of the largest
  possible list, until `hold` has passed.
*/

use super::{ShareOptions, VoterList};
use crate::time::Time;

/// The result of a confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The authority goes on.
    Renewed,
    /// The authority begins anew. What was granted before has ended when it
    /// takes effect.
    Begun,
}

/// The authority of this instance to grant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Authority {
    current: Option<Current>,
}

#[derive(Clone, Copy, Debug)]
struct Current {
    index: u64,
    voters: u32,
    /// End of the last confirmation.
    until: Time,
    /// When this instance may begin to grant.
    starts_at: Time,
    /// Time until which the smallest part is used.
    cautious_until: Time,
}

impl Authority {
    /// Records a confirmation that arrived at `now`. Returns `None` if it has
    /// ended already.
    pub fn confirm(
        &mut self,
        now: Time,
        list: VoterList,
        options: &ShareOptions,
    ) -> Option<Change> {
        let VoterList { index, voters, confirmed_at } = list;
        let until = confirmed_at + options.lease;
        if until <= now {
            return None;
        }
        let hold_end = now + options.hold;
        if let Some(current) = &mut self.current {
            let valid = now < current.until;
            if current.index == index {
                current.until = current.until.max(until);
                return Some(Change::Renewed);
            }
            if valid {
                let waits = now < current.starts_at;
                *current = Current {
                    index,
                    voters,
                    until,
                    starts_at: match waits {
                        true => hold_end,
                        false => current.starts_at,
                    },
                    cautious_until: hold_end,
                };
                return Some(Change::Renewed);
            }
        }
        self.current = Some(Current {
            index,
            voters,
            until,
            starts_at: hold_end,
            cautious_until: hold_end,
        });
        Some(Change::Begun)
    }

    /// Ends the authority of an instance that is no voter.
    pub fn end(&mut self) {
        self.current = None;
    }

    /// Returns whether this instance may grant.
    pub fn holds(&self, now: Time) -> bool {
        self.current.is_some_and(|c| now < c.until && now >= c.starts_at)
    }

    /// Returns when tokens begin to flow in.
    pub fn starts_at(&self) -> Option<Time> {
        self.current.map(|c| c.starts_at)
    }

    /// Returns when the part of this instance becomes that of its list.
    pub fn cautious_until(&self) -> Option<Time> {
        self.current.map(|c| c.cautious_until)
    }

    /// Returns the part of each limit that this instance grants.
    pub fn fraction(&self, now: Time, options: &ShareOptions) -> f64 {
        let Some(current) = self.current else { return 0.0 };
        let voters = match now < current.cautious_until {
            true => current.voters.max(options.max_voters),
            false => current.voters,
        };
        1.0 / f64::from(voters.max(1))
    }
}
