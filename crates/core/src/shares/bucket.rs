//! A grantor's part of a token bucket.

use std::{collections::VecDeque, time::Duration};

use super::Millitokens;
use crate::{id::InstanceId, time::Time};

/// Identifies a grant: its holder, and the sequence number of the request.
pub type GrantKey = (InstanceId, u64);

/// Tokens that were granted and may still be spent.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    end: Time,
    tokens: f64,
    /// `None` once the holder has given a part of them back.
    key: Option<GrantKey>,
}

/// Rate and capacity of a grantor's part of a bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Tokens a second.
    pub per_second: f64,
    /// Most tokens in the bucket and outstanding.
    pub capacity: f64,
}

/// A token bucket that counts what it has granted until the end of the grant.
///
/// The tokens in the bucket and those that are granted and have not ended
/// never exceed the capacity. From any time on, therefore, no more tokens can
/// be spent than the capacity and what flows in afterwards.
#[derive(Clone, Debug)]
pub struct Bucket {
    level: f64,
    /// Sorted by end.
    grants: VecDeque<Outstanding>,
    outstanding: f64,
    /// Time up to which tokens have flowed in.
    filled_at: Time,
    /// Requests for tokens that got fewer than they wanted, less the tokens
    /// that have flowed in since.
    backlog: f64,
}

impl Bucket {
    /// Creates a bucket with `level` tokens.
    pub fn new(now: Time, level: f64) -> Bucket {
        Bucket {
            level,
            grants: VecDeque::new(),
            outstanding: 0.0,
            filled_at: now,
            backlog: 0.0,
        }
    }

    /// Lets tokens flow in until `now`.
    pub fn fill(&mut self, now: Time, part: Part) {
        while let Some(&Outstanding { end, tokens, .. }) = self.grants.front()
            && end <= now
        {
            self.flow(end, part);
            self.grants.pop_front();
            self.outstanding = match self.grants.is_empty() {
                true => 0.0,
                false => self.outstanding - tokens,
            };
        }
        self.flow(now, part);
    }

    fn flow(&mut self, until: Time, part: Part) {
        let elapsed = until.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(until);
        let inflow = part.per_second * elapsed;
        self.backlog = (self.backlog - inflow).max(0.0);
        let room = (part.capacity - self.outstanding).max(0.0);
        self.level = (self.level + inflow).min(room);
    }

    /// Grants up to `wanted` tokens, which end within `validity`.
    ///
    /// Whole tokens are granted, so that no fractions are lost at many
    /// holders; a part that cannot hold one is granted as it is.
    pub fn grant(
        &mut self,
        now: Time,
        part: Part,
        wanted: f64,
        validity: Duration,
        key: GrantKey,
    ) -> f64 {
        self.fill(now, part);
        let tokens = if self.level >= 1.0 {
            wanted.min(self.level.floor())
        } else if part.capacity < 1.0 && self.level * 2.0 >= part.capacity {
            wanted.min(self.level)
        } else {
            0.0
        };
        // Millitokens are exact in messages, and so in the bucket.
        let tokens = Millitokens::floor(tokens).tokens();
        if tokens > 0.0 {
            let (end, key) = (now + validity, Some(key));
            self.grants.push_back(Outstanding { end, tokens, key });
            self.outstanding += tokens;
            self.level = (self.level - tokens).max(0.0);
        }
        if tokens < wanted {
            self.backlog += 1.0;
        }
        tokens
    }

    /// Puts tokens back that a holder has returned before their end.
    pub fn put_back(
        &mut self,
        now: Time,
        part: Part,
        key: GrantKey,
        tokens: f64,
    ) {
        self.fill(now, part);
        let grant = self.grants.iter_mut().find(|g| g.key == Some(key));
        let Some(grant) = grant else { return };
        let tokens = tokens.min(grant.tokens);
        grant.key = None;
        grant.tokens -= tokens;
        self.outstanding -= tokens;
        self.level += tokens;
        self.backlog = (self.backlog - tokens).max(0.0);
    }

    /// Returns the time until the bucket has a token that nobody before has
    /// been refused.
    pub fn empty_for(&self, part: Part) -> Duration {
        let missing = part.capacity.min(1.0) - self.level;
        let missing = missing.max(0.0) + (self.backlog - 1.0).max(0.0);
        if part.per_second <= 0.0 {
            return Duration::MAX;
        }
        Duration::try_from_secs_f64(missing / part.per_second)
            .unwrap_or(Duration::MAX)
    }

    /// Returns whether the bucket is less than half full.
    pub fn is_low(&self, part: Part) -> bool {
        2.0 * self.level < part.capacity
    }

    /// Returns the tokens in the bucket and those outstanding.
    pub fn total(&self) -> f64 {
        self.level + self.outstanding
    }
}
