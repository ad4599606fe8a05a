/*!
The holder: tokens of this instance, and the requests that wait for them.

A request is admitted at once if there is a token for it. Otherwise it waits
while a grantor is asked, one after the other: those of the own zone first,
then by rendezvous hashing, so that an instance asks the same grantor for a
limit and the instances are spread among the grantors. Once a grantor is less
than half full the next one is asked, and if all are, they take turns. What is
left for a burst is then the same at all of them. One message to a grantor
is under way at a time; what is wanted meanwhile goes into the next, for all
limits together. An instance with many requests of a limit asks for more tokens
than it needs at once, by the recent rate.
*/

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{
    Grant, Message, Millitokens, Returned, ShareCounts, ShareEffect,
    ShareOptions, Want,
};
use crate::{
    event::{LogEvent, forward as kinds},
    forward::table::RateLimit,
    id::{InstanceId, LimitId, Token, ZoneId},
    placement::{BundleKey, Candidate, highest_ranked},
    time::Time,
};

/// Shortest and longest time after which a refused caller may try again.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(2));

/// Time after which a caller may try again if no grantor answered.
const SILENT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Number of tokens in thousandths above which a request is admitted. The sum
/// of fractions from several grantors may fall short of a token by rounding.
const ONE: u32 = Millitokens::ONE.0;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    token: Token,
    until: Time,
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug)]
struct Parcel {
    grantor: InstanceId,
    /// Sequence number of the request.
    sequence: u64,
    end: Time,
    tokens: Millitokens,
}

/// Tokens of a limit, and the requests that need them.
#[derive(Clone, Debug)]
struct Stock {
    id: LimitId,
    limit: RateLimit,
    /// Grantors in the order in which they are asked.
    order: Vec<InstanceId>,
    /// Sorted by end.
    parcels: Vec<Parcel>,
    /// Sorted by arrival.
    waiters: Vec<Waiter>,
    /// Grantors that had too few tokens, and the time until which they
    /// probably have none.
    empty: Vec<(InstanceId, Time)>,
    /// Grantors that were less than half full, and the time until which they
    /// count as such.
    low: Vec<(InstanceId, Time)>,
    /// Number of grantors that were asked while all were less than half full.
    turn: usize,
    rate: Rate,
}

/// A token that was spent and has not ended.
#[derive(Clone, Copy, Debug)]
struct Spent {
    token: Token,
    limit: LimitId,
    parcel: Parcel,
}

/// Requests a second, as an average that decays with the validity of tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated_at: Time,
}

impl Rate {
    fn record(&mut self, now: Time, period: Duration) {
        self.per_second = self.get(now, period) + 1.0 / period.as_secs_f64();
        self.updated_at = now;
    }

    fn get(&self, now: Time, period: Duration) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / period.as_secs_f64()).exp()
    }
}

impl Stock {
    fn new(id: LimitId, limit: RateLimit) -> Stock {
        Stock {
            id,
            limit,
            order: Vec::new(),
            parcels: Vec::new(),
            waiters: Vec::new(),
            empty: Vec::new(),
            low: Vec::new(),
            turn: 0,
            rate: Rate::default(),
        }
    }

    /// Drops tokens that have ended and returns their number.
    fn expire(&mut self, now: Time) -> f64 {
        let ended = self.parcels.partition_point(|p| p.end <= now);
        let drained = self.parcels.drain(..ended);
        drained.map(|p| p.tokens.tokens()).sum()
    }

    fn held(&self) -> u32 {
        self.parcels.iter().map(|p| p.tokens.0).sum()
    }

    /// Spends one token. Those that end first are spent first. Returns the
    /// first part of the token, which is all of it unless it was put together
    /// from fractions.
    fn spend(&mut self) -> Option<Parcel> {
        if self.held() < ONE {
            return None;
        }
        let mut missing = ONE;
        let mut first = None;
        for parcel in &mut self.parcels {
            let spent = missing.min(parcel.tokens.0);
            parcel.tokens.0 -= spent;
            missing -= spent;
            let tokens = Millitokens(spent);
            first.get_or_insert(Parcel { tokens, ..*parcel });
        }
        self.parcels.retain(|p| p.tokens.0 > 0);
        first
    }

    fn add(&mut self, parcel: Parcel) {
        let i = self.parcels.partition_point(|p| p.end <= parcel.end);
        self.parcels.insert(i, parcel);
    }

    /// Number of tokens that will probably be spent before they end, beyond
    /// those of the requests that wait.
    fn expected(&self, now: Time, options: &ShareOptions) -> f64 {
        let validity = options.validity;
        let rate = self.rate.get(now, validity).min(self.limit.per_second);
        // Half of the validity, because requests come unevenly.
        (rate * validity.as_secs_f64() / 2.0).floor()
    }

    fn is_empty_at(&self, now: Time, grantor: InstanceId) -> bool {
        self.empty.iter().any(|e| e.0 == grantor && now < e.1)
    }

    /// Chooses the grantor to ask among those that are usable.
    fn choose(
        &mut self,
        now: Time,
        usable: impl Fn(InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let candidates: Vec<InstanceId> = self
            .order
            .iter()
            .copied()
            .filter(|&id| !self.is_empty_at(now, id) && usable(id))
            .collect();
        let is_low =
            |id: InstanceId| self.low.iter().any(|l| l.0 == id && now < l.1);
        let full = candidates.iter().copied().find(|&id| !is_low(id));
        if full.is_some() || candidates.is_empty() {
            return full;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(candidates[self.turn % candidates.len()])
    }
}

/// A request for tokens that a grantor has not answered.
#[derive(Clone, Debug)]
struct Asked {
    sequence: u64,
    sent_at: Time,
    wants: Vec<Want>,
}

/// What is known of a grantor.
#[derive(Clone, Debug)]
struct Link {
    grantor: InstanceId,
    zone: ZoneId,
    /// Requests whose grants could still be used, oldest first.
    asked: Vec<Asked>,
    /// Whether the newest of them is waited for.
    waits: bool,
    /// Tokens for the next request, sorted by limit.
    wants: Vec<Want>,
    /// Time until which it is not asked, because it did not answer or is not
    /// a grantor.
    avoided_until: Time,
}

impl Link {
    /// Tokens of a limit that this grantor is asked for, or will be.
    fn wanted(&self, limit: LimitId) -> u32 {
        let asked = self.asked.last().filter(|_| self.waits);
        let asked = asked.map_or(&[][..], |a| &a.wants);
        let wants = asked.iter().chain(&self.wants);
        wants.filter(|w| w.limit == limit).map(|w| w.tokens.0).sum()
    }

    fn add_want(&mut self, want: Want) {
        match self.wants.binary_search_by_key(&want.limit, |w| w.limit) {
            Ok(i) => self.wants[i].tokens.0 += want.tokens.0,
            Err(i) => self.wants.insert(i, want),
        }
    }
}

/// The state of a holder.
#[derive(Clone, Debug)]
pub struct Holder {
    own_id: InstanceId,
    zone: ZoneId,
    options: ShareOptions,
    rng: Pcg32,
    /// Sorted by limit.
    stocks: Vec<Stock>,
    /// Sorted by grantor.
    links: Vec<Link>,
    /// Tokens that can be taken back, in the order in which they were spent.
    spent: VecDeque<Spent>,
    last_sequence: u64,
    pub(super) counts: ShareCounts,
    effects: Vec<ShareEffect>,
}

impl Holder {
    /// Creates a holder without tokens.
    pub fn new(
        own_id: InstanceId,
        zone: ZoneId,
        options: ShareOptions,
        seed: u64,
    ) -> Holder {
        let mut rng = Pcg32::seed_from_u64(seed);
        Holder {
            own_id,
            zone,
            options,
            stocks: Vec::new(),
            links: Vec::new(),
            spent: VecDeque::new(),
            // A random start keeps replies to requests from before a restart
            // from matching.
            last_sequence: rng.random(),
            rng,
            counts: ShareCounts::default(),
            effects: Vec::new(),
        }
    }

    /// Returns the whole tokens of a limit that this instance holds.
    pub fn held(&self, limit: LimitId) -> u32 {
        self.stock(limit).map_or(0, |i| self.stocks[i].held() / ONE)
    }

    fn stock(&self, limit: LimitId) -> Option<usize> {
        self.stocks.binary_search_by_key(&limit, |s| s.id).ok()
    }

    fn link(&self, grantor: InstanceId) -> Option<usize> {
        self.links.binary_search_by_key(&grantor, |l| l.grantor).ok()
    }

    /// Replaces the limits. Requests that wait for a token of a limit that was
    /// removed are admitted.
    pub fn set_limits(&mut self, limits: &[(LimitId, RateLimit)]) {
        let mut old = std::mem::take(&mut self.stocks);
        for &(id, limit) in limits {
            let stock = match old.binary_search_by_key(&id, |s| s.id) {
                Ok(i) => Stock { limit, ..old.remove(i) },
                Err(_) => {
                    Stock { order: self.order(id), ..Stock::new(id, limit) }
                }
            };
            self.stocks.push(stock);
        }
        for waiter in old.iter().flat_map(|s| &s.waiters) {
            self.effects.push(ShareEffect::Admit(waiter.token));
        }
    }

    /// Replaces the instances that may be grantors.
    pub fn set_grantors(&mut self, mut grantors: Vec<Candidate>) {
        grantors.sort_unstable_by_key(|g| g.instance);
        let mut old = std::mem::take(&mut self.links);
        for Candidate { instance, zone } in grantors {
            let known = old.binary_search_by_key(&instance, |l| l.grantor);
            self.links.push(match known {
                Ok(i) => Link { zone, ..old.remove(i) },
                Err(_) => Link {
                    grantor: instance,
                    zone,
                    asked: Vec::new(),
                    waits: false,
                    wants: Vec::new(),
                    avoided_until: Time::ZERO,
                },
            });
        }
        for i in 0..self.stocks.len() {
            self.stocks[i].order = self.order(self.stocks[i].id);
        }
    }

    /// Returns the grantors in the order in which this instance asks them for
    /// tokens of a limit.
    fn order(&self, limit: LimitId) -> Vec<InstanceId> {
        let key = BundleKey(limit.0 ^ self.own_id.0.rotate_left(32));
        let ids: Vec<InstanceId> =
            self.links.iter().map(|l| l.grantor).collect();
        let count = ids.len();
        let mut order = highest_ranked(key, ids, count);
        let zone = |id| self.link(id).map(|i| self.links[i].zone);
        order.sort_by_key(|&id| zone(id) != Some(self.zone));
        order
    }

    /// Admits a request, or lets it wait for a token.
    pub fn take(
        &mut self,
        now: Time,
        token: Token,
        limit: LimitId,
        until: Time,
    ) {
        let Some(i) = self.stock(limit) else {
            self.effects.push(ShareEffect::Admit(token));
            return;
        };
        self.stocks[i].rate.record(now, self.options.validity);
        let until = until.min(now + self.options.max_wait);
        self.stocks[i].waiters.push(Waiter { token, until });
        self.serve(now, i);
    }

    /// Forgets a request that waits, or takes the token back of one that was
    /// not run.
    pub fn drop_request(&mut self, now: Time, token: Token) {
        for stock in &mut self.stocks {
            stock.waiters.retain(|w| w.token != token);
        }
        let found = self.spent.iter().position(|s| s.token == token);
        let Some(Spent { limit, parcel, .. }) =
            found.and_then(|i| self.spent.remove(i))
        else {
            return;
        };
        if let Some(i) = self.stock(limit)
            && now < parcel.end
        {
            self.counts.taken_back += 1;
            self.stocks[i].add(parcel);
        }
    }

    /// Admits the requests for which there are tokens, and asks for those that
    /// are missing.
    fn serve(&mut self, now: Time, i: usize) {
        let stock = &mut self.stocks[i];
        self.counts.expired += stock.expire(now);
        let mut admitted = 0;
        while admitted < stock.waiters.len()
            && let Some(parcel) = stock.spend()
        {
            let (token, limit) = (stock.waiters[admitted].token, stock.id);
            self.spent.push_back(Spent { token, limit, parcel });
            admitted += 1;
        }
        while self.spent.front().is_some_and(|s| s.parcel.end <= now) {
            self.spent.pop_front();
        }
        self.counts.spent += admitted as u64;
        let tokens = stock.waiters.drain(..admitted).map(|w| w.token);
        self.effects.extend(tokens.map(ShareEffect::Admit));
        self.ask(now, i);
    }

    /// Asks for the tokens that are missing. Refuses the requests that wait if
    /// every grantor that could be asked is empty.
    fn ask(&mut self, now: Time, i: usize) {
        let stock = &self.stocks[i];
        let expected = stock.expected(now, &self.options);
        let id = stock.id;
        let waiting = stock.waiters.len() as u32 * ONE;
        let asked: u32 = self.links.iter().map(|l| l.wanted(id)).sum();
        let covered = stock.held() + asked;
        let target = waiting + expected as u32 * ONE;
        // Spare tokens are asked for when half of them are spent, so that not
        // each request sends a message.
        let enough = covered >= waiting && 2 * covered > waiting + target;
        if enough || target == 0 || covered >= target {
            return;
        }
        let links = &self.links;
        let usable = |id| {
            let found = links.binary_search_by_key(&id, |l| l.grantor);
            found.is_ok_and(|l| now >= links[l].avoided_until)
        };
        if let Some(grantor) = self.stocks[i].choose(now, usable) {
            let tokens = Millitokens(target - covered);
            if let Some(l) = self.link(grantor) {
                self.links[l].add_want(Want { limit: id, tokens });
                self.flush(now, l);
            }
        } else if asked == 0 && waiting > 0 {
            self.refuse_empty(now, i);
        }
    }

    /// Refuses the requests that wait for a limit if a grantor has said that
    /// it is empty. If none has, they go on waiting for one.
    fn refuse_empty(&mut self, now: Time, i: usize) {
        let stock = &mut self.stocks[i];
        let empty = stock.empty.iter().map(|e| e.1).filter(|&at| now < at);
        let Some(until) = empty.min() else { return };
        let waiters = std::mem::take(&mut stock.waiters);
        self.counts.refused_empty += waiters.len() as u64;
        for waiter in waiters {
            self.refuse(waiter.token, until.since(now));
        }
    }

    /// Refuses a request. The random part spreads the callers that try again.
    fn refuse(&mut self, token: Token, after: Duration) {
        let (min, max) = RETRY_AFTER_RANGE;
        let spread = self.rng.random_range(1.0..2.0);
        let retry_after = after.max(min).mul_f64(spread).min(max);
        self.effects.push(ShareEffect::Refuse { token, retry_after });
    }

    /// Sends what is wanted from a grantor unless it has yet to answer.
    fn flush(&mut self, now: Time, l: usize) {
        let validity = self.options.validity;
        let link = &mut self.links[l];
        link.asked.retain(|a| now < a.sent_at + validity);
        link.waits &= !link.asked.is_empty();
        if link.waits || link.wants.is_empty() {
            return;
        }
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let sequence = self.last_sequence;
        let wants = std::mem::take(&mut link.wants);
        let message = Message::Ask {
            sequence,
            validity_us: validity.as_micros() as u32,
            wants: wants.clone(),
        };
        link.waits = true;
        link.asked.push(Asked { sequence, sent_at: now, wants });
        self.counts.asked += 1;
        self.effects.push(ShareEffect::Send(link.grantor, message));
    }

    /// Stores the tokens that a grantor has granted.
    pub fn granted(
        &mut self,
        now: Time,
        from: InstanceId,
        sequence: u64,
        grants: &[Grant],
    ) {
        let Some((l, asked)) = self.answered(from, sequence) else { return };
        self.links[l].avoided_until = Time::ZERO;
        let end = asked.sent_at + self.options.validity;
        for grant in grants {
            let Some(i) = self.stock(grant.limit) else { continue };
            let stock = &mut self.stocks[i];
            stock.empty.retain(|e| e.0 != from && now < e.1);
            stock.low.retain(|l| l.0 != from && now < l.1);
            if grant.low {
                stock.low.push((from, now + self.options.low_for));
            }
            if grant.empty_us > 0 {
                let empty = Duration::from_micros(grant.empty_us.into());
                stock.empty.push((from, now + empty));
            }
            if grant.tokens.0 > 0 {
                let tokens = grant.tokens;
                let grantor = from;
                stock.add(Parcel { grantor, sequence, end, tokens });
            }
        }
        self.serve_wants(now, &asked.wants);
        self.flush(now, l);
    }

    /// Asks other instances instead of one that is not a grantor.
    pub fn not_grantor(&mut self, now: Time, from: InstanceId, sequence: u64) {
        let Some((l, asked)) = self.answered(from, sequence) else { return };
        self.avoid(now, l, self.options.avoid_others, asked.wants);
    }

    /// Removes a request that was answered, and returns it with its link.
    fn answered(
        &mut self,
        from: InstanceId,
        sequence: u64,
    ) -> Option<(usize, Asked)> {
        let l = self.link(from)?;
        let link = &mut self.links[l];
        let at = link.asked.iter().position(|a| a.sequence == sequence)?;
        if at + 1 == link.asked.len() {
            link.waits = false;
        }
        Some((l, link.asked.remove(at)))
    }

    /// Handles an instance to which no connection could be opened.
    pub fn unreachable(&mut self, now: Time, grantor: InstanceId) {
        let Some(l) = self.link(grantor) else { return };
        let asked = self.links[l].asked.last().cloned();
        let wants = asked.filter(|_| self.links[l].waits).map(|a| a.wants);
        let avoid = self.options.avoid_silent;
        self.avoid(now, l, avoid, wants.unwrap_or_default());
    }

    /// Asks other grantors for what was wanted from one that is not asked for
    /// a while.
    fn avoid(
        &mut self,
        now: Time,
        l: usize,
        time: Duration,
        mut wants: Vec<Want>,
    ) {
        let link = &mut self.links[l];
        link.waits = false;
        link.avoided_until = now + time;
        wants.append(&mut link.wants);
        self.serve_wants(now, &wants);
    }

    /// Gives tokens back that end soon. Requests that wait need them.
    fn give_back(&mut self, now: Time) {
        let margin = self.options.return_margin;
        let mut returned: Vec<(InstanceId, Returned)> = Vec::new();
        for stock in &mut self.stocks {
            if !stock.waiters.is_empty() {
                continue;
            }
            self.counts.expired += stock.expire(now);
            let due = stock.parcels.partition_point(|p| p.end <= now + margin);
            returned.extend(stock.parcels.drain(..due).map(|p| {
                let Parcel { grantor, sequence, tokens, .. } = p;
                (grantor, Returned { sequence, limit: stock.id, tokens })
            }));
        }
        returned.sort_unstable_by_key(|r| r.0);
        for to in returned.chunk_by(|a, b| a.0 == b.0) {
            let grants: Vec<Returned> = to.iter().map(|r| r.1).collect();
            let tokens = grants.iter().map(|r| r.tokens.tokens());
            self.counts.returned += tokens.sum::<f64>();
            let message = Message::Return(grants);
            self.effects.push(ShareEffect::Send(to[0].0, message));
        }
    }

    fn serve_wants(&mut self, now: Time, wants: &[Want]) {
        for want in wants {
            if let Some(i) = self.stock(want.limit) {
                self.serve(now, i);
            }
        }
    }

    /// Handles grantors that did not answer, and requests that have waited
    /// long enough.
    pub fn tick(&mut self, now: Time) {
        for l in 0..self.links.len() {
            let link = &self.links[l];
            let Some(asked) = link.asked.last().filter(|_| link.waits) else {
                continue;
            };
            if now < asked.sent_at + self.options.ask_timeout {
                continue;
            }
            let wants = asked.wants.clone();
            let detail = format!(
                "grantor={} limits={} waited_ms={}",
                link.grantor,
                wants.len(),
                now.since(asked.sent_at).as_millis()
            );
            let event = LogEvent::new(&kinds::GRANTOR_SILENT, detail);
            self.effects.push(ShareEffect::Log(event));
            self.avoid(now, l, self.options.avoid_silent, wants);
        }
        for i in 0..self.stocks.len() {
            let stock = &mut self.stocks[i];
            if stock.waiters.is_empty() {
                continue;
            }
            let late: Vec<Token> = stock
                .waiters
                .extract_if(.., |w| w.until <= now)
                .map(|w| w.token)
                .collect();
            self.counts.refused_silent += late.len() as u64;
            for token in late {
                self.refuse(token, SILENT_RETRY_AFTER);
            }
            self.serve(now, i);
        }
        self.give_back(now);
    }

    /// Returns when the next `tick` is due.
    pub fn next_deadline(&self, now: Time) -> Option<Time> {
        let answers = self.links.iter().filter(|l| l.waits).filter_map(|l| {
            Some(l.asked.last()?.sent_at + self.options.ask_timeout)
        });
        let waiting = self.stocks.iter().filter(|s| !s.waiters.is_empty());
        let waits = waiting.clone().flat_map(|s| &s.waiters).map(|w| w.until);
        // A grantor that is asked again may have tokens for what waits.
        let avoided = self.links.iter().map(|l| l.avoided_until);
        let avoided = avoided.filter(|&at| at > now);
        let avoided = avoided.min().filter(|_| waiting.count() > 0);
        let margin = self.options.return_margin;
        let unspent = self.stocks.iter().filter(|s| s.waiters.is_empty());
        let unspent = unspent.filter_map(|s| Some(s.parcels.first()?.end));
        let returns = unspent.map(|end| end - margin);
        answers.chain(waits).chain(avoided).chain(returns).min()
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<ShareEffect> {
        std::mem::take(&mut self.effects)
    }
}
