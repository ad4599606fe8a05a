//! The grantor: buckets of all limits, and the answers to requests for tokens.

use super::{
    Grant, Message, Millitokens, Returned, ShareOptions, VoterList, Want,
    authority::{Authority, Change},
    bucket::{Bucket, GrantKey, Part},
};
use crate::{
    forward::table::RateLimit,
    id::{InstanceId, LimitId},
    time::Time,
};

/// A limit and the part of it at this grantor.
#[derive(Clone, Debug)]
struct Entry {
    id: LimitId,
    limit: RateLimit,
    bucket: Bucket,
}

/// The state of a grantor.
#[derive(Clone, Debug)]
pub struct Grantor {
    options: ShareOptions,
    authority: Authority,
    /// Sorted by identifier.
    entries: Vec<Entry>,
    /// The part of each limit that flows in.
    fraction: f64,
    serving: bool,
    /// Tokens granted since the start.
    granted: f64,
}

impl Grantor {
    /// Creates a grantor without authority.
    pub fn new(options: ShareOptions) -> Grantor {
        Grantor {
            options,
            authority: Authority::default(),
            entries: Vec::new(),
            fraction: 0.0,
            serving: false,
            granted: 0.0,
        }
    }

    /// Returns the number of tokens granted since the start.
    pub fn granted(&self) -> f64 {
        self.granted
    }

    /// Returns whether tokens can be granted.
    pub fn active(&self, now: Time) -> bool {
        self.serving && self.authority.holds(now)
    }

    /// Returns the part of each limit that this instance grants.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Sets whether this instance has a configuration that is confirmed. An
    /// older one may have higher limits.
    pub fn set_serving(&mut self, serving: bool) {
        self.serving = serving;
    }

    /// Ends the authority of an instance that is no voter.
    pub fn end(&mut self) {
        self.authority.end();
        self.fraction = 0.0;
        self.entries.iter_mut().for_each(|e| {
            e.bucket = Bucket::new(Time::ZERO, 0.0);
        });
    }

    /// Records a confirmation of the list of voters.
    pub fn confirm(&mut self, now: Time, list: VoterList) {
        self.update(now);
        self.fill_all(now);
        let change = self.authority.confirm(now, list, &self.options);
        if change == Some(Change::Begun) {
            // Tokens begin to flow in when the authority takes effect.
            let starts_at = self.authority.starts_at().unwrap_or(now);
            for entry in &mut self.entries {
                entry.bucket = Bucket::new(starts_at, 0.0);
            }
        }
        if change.is_some() {
            self.fraction = self.authority.fraction(now, &self.options);
        }
    }

    /// Fills all buckets up to the time at which the part of this instance
    /// last changed.
    fn update(&mut self, now: Time) {
        let Some(at) = self.authority.cautious_until() else { return };
        let fraction = self.authority.fraction(now, &self.options);
        if fraction != self.fraction {
            self.fill_all(at.min(now));
            self.fraction = fraction;
        }
    }

    fn fill_all(&mut self, now: Time) {
        for entry in &mut self.entries {
            let part = part(&self.options, self.fraction, entry.limit);
            entry.bucket.fill(now, part);
        }
    }

    /// Replaces the limits. A bucket keeps its tokens, up to the capacity of
    /// the new limit; that of an added limit is full.
    pub fn set_limits(&mut self, now: Time, limits: &[(LimitId, RateLimit)]) {
        self.update(now);
        self.fill_all(now);
        let old = std::mem::take(&mut self.entries);
        let started =
            self.authority.starts_at().filter(|starts_at| *starts_at <= now);
        self.entries = limits
            .iter()
            .map(|&(id, limit)| {
                let found = old.binary_search_by_key(&id, |e| e.id);
                let bucket = match (found, started) {
                    (Ok(i), _) => old[i].bucket.clone(),
                    (Err(_), Some(_)) => {
                        let part = part(&self.options, self.fraction, limit);
                        Bucket::new(now, part.capacity)
                    }
                    (Err(_), None) => {
                        let at = self.authority.starts_at();
                        Bucket::new(at.unwrap_or(now), 0.0)
                    }
                };
                Entry { id, limit, bucket }
            })
            .collect();
        // The level of a lowered limit is cut at once.
        self.fill_all(now);
    }

    /// Answers a request for tokens.
    pub fn ask(
        &mut self,
        now: Time,
        from: InstanceId,
        sequence: u64,
        validity_us: u32,
        wants: &[Want],
    ) -> Message {
        self.update(now);
        let accounted = self.options.validity.as_micros();
        // A holder with another setting would use tokens that no longer count.
        if !self.active(now) || u128::from(validity_us) > accounted {
            return Message::NotGrantor { sequence };
        }
        let key = (from, sequence);
        let grants = wants.iter().map(|w| self.grant(now, key, *w)).collect();
        Message::Granted { sequence, grants }
    }

    /// Puts tokens back into the buckets.
    pub fn put_back(
        &mut self,
        now: Time,
        from: InstanceId,
        returned: &[Returned],
    ) {
        self.update(now);
        for &Returned { sequence, limit: id, tokens } in returned {
            let found = self.entries.binary_search_by_key(&id, |e| e.id);
            let Ok(i) = found else { continue };
            let entry = &mut self.entries[i];
            let part = part(&self.options, self.fraction, entry.limit);
            let (key, tokens) = ((from, sequence), tokens.tokens());
            entry.bucket.put_back(now, part, key, tokens);
        }
    }

    fn grant(&mut self, now: Time, key: GrantKey, want: Want) -> Grant {
        let Want { limit: id, tokens: wanted } = want;
        let options = &self.options;
        let found = self.entries.binary_search_by_key(&id, |e| e.id);
        // The limit may have been removed here and not yet at the holder, or
        // have been added there and not yet here.
        let Ok(i) = found else {
            let empty_us = options.ask_timeout.as_micros() as u32;
            let tokens = Millitokens(0);
            return Grant { limit: id, tokens, empty_us, low: true };
        };
        let entry = &mut self.entries[i];
        let part = part(options, self.fraction, entry.limit);
        let tokens = entry.bucket.grant(
            now,
            part,
            wanted.tokens(),
            options.validity,
            key,
        );
        self.granted += tokens;
        let tokens = Millitokens::floor(tokens);
        let empty_us = match tokens < wanted {
            true => {
                let empty = entry.bucket.empty_for(part);
                empty.min(options.max_empty).as_micros() as u32
            }
            false => 0,
        };
        let low = entry.bucket.is_low(part);
        Grant { limit: id, tokens, empty_us, low }
    }
}

/// Returns a part of a limit.
fn part(options: &ShareOptions, fraction: f64, limit: RateLimit) -> Part {
    Part {
        per_second: limit.per_second * fraction,
        capacity: options.capacity(limit) * fraction,
    }
}
