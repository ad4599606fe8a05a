/*!
The judgement of a version by its answers.

Failures and slow answers of the new version are compared with those of the old
one over the same time by Fisher's exact test, one-sided: given all bad answers
of both versions, the probability that at least as many of them fall on the new
one by chance. The test is exact for small samples, and trouble that affects
both versions does not count against the new one.

The test assumes that answers are independent, which those of one target are
not. A finding must therefore hold without the worst target, if there are
others.
*/

use std::{f64::consts::TAU, time::Duration};

use serde::{Deserialize, Serialize};

/// Counts of answers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Tally {
    /// Answers, with failures and attempts that were cancelled as slow.
    pub answers: u64,
    /// Answers that were errors, and connections that broke.
    pub failures: u64,
    /// Answers above the limit for slow ones.
    pub slow: u64,
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: Tally) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Returns the counts that were added since `earlier`.
    pub fn since(self, earlier: Tally) -> Tally {
        Tally {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }

    /// Returns the sum of tallies.
    pub fn sum(tallies: impl IntoIterator<Item = Tally>) -> Tally {
        let mut sum = Tally::default();
        for tally in tallies {
            sum.add(tally);
        }
        sum
    }
}

/// What is bad about a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More of its answers are failures.
    Failures,
    /// More of its answers are slow.
    Slow,
}

/// The figures that show that a version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// What is bad.
    pub fault: Fault,
    /// Bad answers of the new version, and all its answers.
    pub new: (u64, u64),
    /// Bad answers of the old version, and all its answers.
    pub old: (u64, u64),
    /// Probability of such a difference by chance.
    pub chance: f64,
}

impl Finding {
    /// Returns the figures as text for logs and reasons.
    pub fn describe(&self) -> String {
        let fault = match self.fault {
            Fault::Failures => "failures",
            Fault::Slow => "slow answers",
        };
        format!(
            "{fault}: new {} of {}, old {} of {}, chance {:.1e}",
            self.new.0, self.new.1, self.old.0, self.old.1, self.chance
        )
    }
}

/// Limits of the judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgeOptions {
    /// Error probability of one look below which a version is bad.
    pub look_chance: f64,
    /// Error probability at a gate, which is passed only twice.
    pub gate_chance: f64,
    /// Error probability below which the full stage waits for more evidence.
    pub suspect_chance: f64,
    /// Whether one bad target is enough for a finding.
    pub judges_targets: bool,
    /// Error probability of failures without the worst target, as a multiple
    /// of that with it, and the largest one.
    pub without_worst_failures: (f64, f64),
    /// The same for slow answers, which pauses bring together.
    pub without_worst_slow: (f64, f64),
    /// Fewest bad answers for a finding.
    pub min_bad: u64,
    /// Fewest bad answers for a finding if a single target has answered.
    pub min_bad_of_one: u64,
    /// Smallest difference of the two proportions.
    pub min_difference: f64,
    /// Longest time for which a good target may pause now and then. A pause
    /// makes all answers of its time slow, and the pauses of several targets
    /// may fall together.
    pub pause: Duration,
}

impl Default for JudgeOptions {
    fn default() -> JudgeOptions {
        JudgeOptions {
            // About 300 looks in a roll-out of a minute, four windows and two
            // faults give 2,400 dependent tests, so below 0.024 for each route.
            look_chance: 1e-5,
            gate_chance: 1e-3,
            suspect_chance: 1e-2,
            judges_targets: false,
            without_worst_failures: (100.0, 1e-2),
            without_worst_slow: (10.0, 1e-3),
            min_bad: 3,
            min_bad_of_one: 9,
            min_difference: 0.1,
            pause: Duration::from_millis(300),
        }
    }
}

impl JudgeOptions {
    /// Returns limits under which a version is suspicious, also by one target
    /// alone.
    pub fn suspicion(&self) -> JudgeOptions {
        JudgeOptions {
            judges_targets: true,
            min_bad_of_one: self.min_bad,
            ..*self
        }
    }

    /// Returns the smallest difference of the proportions over some time.
    fn min_difference(&self, fault: Fault, over: Duration) -> f64 {
        let paused = match fault {
            Fault::Failures => 0.0,
            Fault::Slow => {
                let over = over.max(self.pause).as_secs_f64();
                self.pause.as_secs_f64() / over
            }
        };
        self.min_difference.max(paused + self.min_difference / 2.0)
    }
}

/// Compares the tallies of the new version's targets with that of the old
/// version, which were counted `over` some time. Returns the more significant finding if the probability of the
/// difference by chance is below `chance`.
pub fn judge(
    options: &JudgeOptions,
    old: Tally,
    new: &[Tally],
    over: Duration,
    chance: f64,
) -> Option<Finding> {
    let test = |fault| {
        let min_difference = options.min_difference(fault, over);
        test_fault(options, old, new, (chance, min_difference), fault)
    };
    let findings = [test(Fault::Failures), test(Fault::Slow)];
    findings.into_iter().flatten().min_by(|a, b| a.chance.total_cmp(&b.chance))
}

fn test_fault(
    options: &JudgeOptions,
    old: Tally,
    new: &[Tally],
    (chance, min_difference): (f64, f64),
    fault: Fault,
) -> Option<Finding> {
    let bad = |t: Tally| match fault {
        Fault::Failures => t.failures,
        Fault::Slow => t.slow,
    };
    let all = Tally::sum(new.iter().copied());
    let finding =
        compare(fault, (bad(all), all.answers), (bad(old), old.answers))?;
    let difference = rate(finding.new) - rate(finding.old);
    if finding.chance >= chance
        || finding.new.0 < options.min_bad
        || difference < min_difference
    {
        return None;
    }
    let with_answers = new.iter().filter(|t| t.answers > 0).count();
    if with_answers < 2 {
        let enough = finding.new.0 >= options.min_bad_of_one;
        return enough.then_some(finding);
    }
    if options.judges_targets {
        return Some(finding);
    }
    let worst = new.iter().copied().max_by_key(|&t| bad(t))?;
    let others = all.since(worst);
    let rest = (bad(others), others.answers);
    let rest = compare(fault, rest, finding.old)?;
    let (factor, most) = match fault {
        Fault::Failures => options.without_worst_failures,
        Fault::Slow => options.without_worst_slow,
    };
    // One target that is far worse than the others is the target's fault.
    let least = min_difference.max(difference / 2.0);
    let confirmed = rest.chance < (factor * chance).min(most)
        && rate(rest.new) - rate(rest.old) >= least;
    confirmed.then_some(finding)
}

fn compare(fault: Fault, new: (u64, u64), old: (u64, u64)) -> Option<Finding> {
    if new.1 == 0 || old.1 == 0 {
        return None;
    }
    let chance = fisher_tail(new.0, new.1, old.0, old.1);
    Some(Finding { fault, new, old, chance })
}

fn rate((bad, all): (u64, u64)) -> f64 {
    bad as f64 / all.max(1) as f64
}

/// Returns the probability that, of `bad + old_bad` bad answers that fall by
/// chance on `all + old_all` answers, at least `bad` fall on the first `all`
/// (hypergeometric distribution).
pub fn fisher_tail(bad: u64, all: u64, old_bad: u64, old_all: u64) -> f64 {
    let (bad, old_bad) = (bad.min(all), old_bad.min(old_all));
    let total = all + old_all;
    let total_bad = bad + old_bad;
    if bad == 0 {
        return 1.0;
    }
    let first = ln_choose(total_bad, bad)
        + ln_choose(total - total_bad, all - bad)
        - ln_choose(total, all);
    let mut term = first.exp();
    let mut sum = term;
    for k in bad..total_bad.min(all) {
        // All factors are at least 1 within the bounds of `k`, except the
        // last, which is 0 if there are not enough good answers.
        let more = (total_bad - k) as f64 * (all - k) as f64;
        let fewer = (k + 1) as f64 * (total + k + 1 - total_bad - all) as f64;
        term *= more / fewer;
        sum += term;
        if term < sum * 1e-12 {
            break;
        }
    }
    sum.min(1.0)
}

fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

/// Largest number whose factorial is computed as a sum.
const MAX_SUMMED_FACTORIAL: u64 = 32;

/// Returns the logarithm of a factorial, by Stirling's series above
/// [`MAX_SUMMED_FACTORIAL`].
fn ln_factorial(n: u64) -> f64 {
    if n <= MAX_SUMMED_FACTORIAL {
        return (2..=n).map(|i| (i as f64).ln()).sum();
    }
    let n = n as f64;
    n * n.ln() - n + 0.5 * (TAU * n).ln() + 1.0 / (12.0 * n)
        - 1.0 / (360.0 * n.powi(3))
}
