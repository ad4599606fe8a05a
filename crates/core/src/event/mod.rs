/*!
Numbered log events.

Each log line about a decision of a daemon carries an event number, which
operators can search for and look up in `docs/events.md`. Each area has a
catalogue in a module of its own; a test compares the catalogues with the
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
    /// An error that an operator should act on.
    Error,
    /// An unusual condition that the system handles by itself.
    Warn,
    /// A decision that changes what the system does.
    Info,
    /// A decision about a single request.
    Debug,
}

/// A kind of log event: one row of the catalogue.
#[derive(Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Unique number, printed as `PM0101`.
    pub code: u16,
    /// Severity.
    pub level: Level,
    /// Name, printed in lower case.
    pub name: &'static str,
    /// Description of the event and, where needed, what an operator should do.
    pub meaning: &'static str,
}

/// An event to be written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Kind of the event.
    pub kind: &'static EventKind,
    /// Details of the event, as `key=value` pairs separated by spaces.
    pub detail: String,
}

impl LogEvent {
    /// Creates an event of the given kind.
    pub fn new(kind: &'static EventKind, detail: String) -> LogEvent {
        LogEvent { kind, detail }
    }
}

/// Returns the `key=value` pairs in the details of an event, in order. Quoted
/// values may contain spaces; words without `=` are skipped.
pub fn fields(detail: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut remaining = detail;
    std::iter::from_fn(move || {
        loop {
            remaining = remaining.trim_start();
            if remaining.is_empty() {
                return None;
            }
            let (word, tail) = next_word(remaining);
            remaining = tail;
            if let Some((key, value)) = word.split_once('=') {
                return Some((key, unquote(value)));
            }
        }
    })
}

/// Splits `text` at the first space outside quotes.
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

/// Returns `value` without the quotes around it, if there are any.
fn unquote(value: &str) -> &str {
    let inner = value.strip_prefix('"').and_then(|v| v.strip_suffix('"'));
    inner.unwrap_or(value)
}

/// Declares the event kinds of an area, and a catalogue that lists them.
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

/// Returns the event kinds of all areas.
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
