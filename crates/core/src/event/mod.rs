/*!
Numbered log events.

Every line that a daemon logs about a decision has a number, so that
operators can search for it and look it up in `docs/events.md`. Each area has
a catalogue in a module of its own; a test compares the catalogues with the
documentation.
*/

pub mod config;
pub mod control;
pub mod daemon;
pub mod forward;
pub mod membership;
pub mod query;
pub mod target;

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something is wrong, and an operator should act.
    Error,
    /// Something is unusual, and the system has reacted.
    Warn,
    /// A decision that changes what the system does.
    Info,
    /// A decision on a single request.
    Debug,
}

/// A kind of log event: one row of the catalogue.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Unique number, printed as `PM0101`.
    pub code: u16,
    /// Severity.
    pub level: Level,
    /// Short name; printed in lower case.
    pub name: &'static str,
    /// What it means and what an operator should do.
    pub meaning: &'static str,
}

/// One line for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// What kind of event this is.
    pub kind: &'static EventKind,
    /// The particulars, as `key=value` pairs.
    pub detail: String,
}

impl LogEvent {
    /// Builds an event of the given kind.
    pub fn new(kind: &'static EventKind, detail: String) -> LogEvent {
        LogEvent { kind, detail }
    }
}

/// The pairs of a line's particulars, in their order. A value in quotes may
/// hold spaces; words without `=` are left out.
pub fn fields(detail: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = detail;
    std::iter::from_fn(move || {
        loop {
            rest = rest.trim_start();
            if rest.is_empty() {
                return None;
            }
            let (word, after) = next_word(rest);
            rest = after;
            if let Some((key, value)) = word.split_once('=') {
                return Some((key, unquoted(value)));
            }
        }
    })
}

/// Splits at the first space outside of quotes.
fn next_word(text: &str) -> (&str, &str) {
    let (mut quoted, mut escaped) = (false, false);
    for (i, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            ' ' if !quoted => return text.split_at(i),
            _ => {}
        }
    }
    (text, "")
}

fn unquoted(value: &str) -> &str {
    let inner = value.strip_prefix('"').and_then(|v| v.strip_suffix('"'));
    inner.unwrap_or(value)
}

/// Declares the event kinds of an area and its catalogue.
macro_rules! event_kinds {
    ($($name:ident = ($code:literal, $level:ident, $meaning:literal);)*) => {
        $(
            #[doc = $meaning]
            pub const $name: $crate::event::EventKind =
                $crate::event::EventKind {
                    code: $code,
                    level: $crate::event::Level::$level,
                    name: stringify!($name),
                    meaning: $meaning,
                };
        )*

        /// All event kinds of this area.
        pub const CATALOGUE: &[&$crate::event::EventKind] = &[$(&$name),*];
    };
}
pub(crate) use event_kinds;

/// All event kinds, in the order of their numbers.
pub fn catalogue() -> impl Iterator<Item = &'static EventKind> {
    [
        query::CATALOGUE,
        target::CATALOGUE,
        membership::CATALOGUE,
        control::CATALOGUE,
        config::CATALOGUE,
        daemon::CATALOGUE,
        forward::CATALOGUE,
    ]
    .into_iter()
    .flatten()
    .copied()
}
