/*!
Lists that several writers fill.

An entry that cannot be read is left out and logged, and the others are used.
The document is therefore not parsed as a whole. It is split into the text of
each entry, which is then decoded alone. Entries may be nested to any depth and
hold numbers of any size. Bytes that are no UTF-8 are replaced, and an entry
that held some is left out.

Strings may hold any bytes while the document is split, so that control
characters cost only their own entry. Where the brackets or quotes of an entry
do not match, the list goes on at the next object after a comma from which the
entries and the rest of the document can be split again. The end of a list
counts only if the members after it can be split up to the end of the document,
so that neither an entry nor part of one is taken for that end. Conversely, an
array whose last bracket could end the list was not closed, and is damaged.
*/

use std::borrow::Cow;

use anyhow::{Context, ensure};
use serde::Deserialize;

/// Longest part of an invalid entry's error that is logged, in bytes.
const MAX_LOGGED_BYTES: usize = 200;

/// Number of bytes that may be examined to split a document, as a multiple of
/// its length. A sound one is examined about twice, and each entry whose end
/// is unclear adds the entries up to the next such one.
const MAX_PASSES: usize = 32;

/// Number of bytes that may be examined at least, some 10 ms of work, so that a
/// short list may have any number of damaged entries.
const MIN_EXAMINED_BYTES: usize = 4 << 20;

/// Returns the text of a list, with the replacement character in place of
/// bytes that are no UTF-8.
pub fn list_text(list: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(list)
}

/// A JSON object with lists of entries, split into their texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDocument<'a> {
    lists: Vec<(&'a str, Vec<&'a str>)>,
    values: Vec<(&'a str, &'a str)>,
}

impl<'a> ListDocument<'a> {
    /// Splits a text that [`list_text`] returned. The members named in `lists`
    /// are lists of entries, those named in `values` may hold any value, and
    /// all others are passed over.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an object, if it has a value twice, or if the
    /// end of a list cannot be found.
    pub fn split(
        text: &'a str,
        lists: &'a [&'a str],
        values: &'a [&'a str],
    ) -> anyhow::Result<ListDocument<'a>> {
        let passes = text.len().saturating_mul(MAX_PASSES);
        let limit = passes.max(MIN_EXAMINED_BYTES);
        let mut splitter =
            Splitter { text, lists, values, examined: 0, limit };
        let mut document = ListDocument::default();
        let is_complete = splitter.object(&mut document).is_some();
        ensure!(
            splitter.examined <= limit,
            "the entries of the list cannot be told apart"
        );
        ensure!(is_complete, "the list is not a complete JSON object");
        Ok(document)
    }

    /// Returns the texts of the entries of a list, if the document has it. The
    /// text of a damaged entry reaches up to where the list goes on, and cannot
    /// be decoded.
    pub fn entries(&self, list: &str) -> Option<&[&'a str]> {
        let found = self.lists.iter().find(|l| l.0 == list);
        found.map(|l| l.1.as_slice())
    }

    /// Returns the text of a value.
    pub fn value(&self, name: &str) -> Option<&'a str> {
        self.values.iter().find(|v| v.0 == name).map(|v| v.1)
    }

    fn has(&self, name: &str) -> bool {
        self.value(name).is_some() || self.lists.iter().any(|l| l.0 == name)
    }

    /// Returns the number of lists and values, to which `reset` goes back.
    fn mark(&self) -> (usize, usize) {
        (self.lists.len(), self.values.len())
    }

    fn reset(&mut self, (lists, values): (usize, usize)) {
        self.lists.truncate(lists);
        self.values.truncate(values);
    }
}

/// An entry of a list: its end, and the separator after it.
#[derive(Clone, Copy, Debug)]
struct Element {
    end: usize,
    separator: usize,
    is_last: bool,
}

/// Where a list goes on after a damaged entry.
#[derive(Clone, Copy, Debug)]
enum Resumption {
    /// With the entry at this position.
    Entry(usize),
    /// The list has ended, and the rest of the document was split.
    End,
}

/// Splits a document without parsing its entries. Methods return `None` where
/// the text does not have the expected form.
#[derive(Debug)]
struct Splitter<'a> {
    text: &'a str,
    lists: &'a [&'a str],
    values: &'a [&'a str],
    /// Number of bytes examined so far.
    examined: usize,
    /// Largest number of bytes to examine.
    limit: usize,
}

impl<'a> Splitter<'a> {
    fn object(&mut self, document: &mut ListDocument<'a>) -> Option<()> {
        let start = self.skip_space(0);
        if self.byte(start)? != b'{' {
            return None;
        }
        let first = self.skip_space(start + 1);
        if self.byte(first)? == b'}' {
            return self.end_of_text(first + 1);
        }
        self.members(first, document)
    }

    /// Splits the members from `at` to the end of the document.
    fn members(
        &mut self,
        mut at: usize,
        document: &mut ListDocument<'a>,
    ) -> Option<()> {
        loop {
            let value = self.member_value(b'}', at)?;
            let key = self.text[at..value].trim_end_matches(is_space);
            let key = key.strip_suffix(':')?;
            let key: String = serde_json::from_str(key).ok()?;
            let known = |names: &'a [&'a str]| {
                names.iter().copied().find(|name| *name == key)
            };
            let (list, plain) = (known(self.lists), known(self.values));
            if list.or(plain).is_some_and(|name| document.has(name)) {
                return None;
            }
            if let Some(name) = list {
                return self.list(name, value, document);
            }
            let end = self.value_end(value)?;
            if let Some(name) = plain {
                document.values.push((name, &self.text[value..end]));
            }
            match self.next_member(end)? {
                Some(next) => at = next,
                None => return Some(()),
            }
        }
    }

    /// Returns the position of the member after a value that ends at `end`;
    /// `Some(None)` if the document ends instead.
    fn next_member(&mut self, end: usize) -> Option<Option<usize>> {
        let at = self.skip_space(end);
        match self.byte(at)? {
            b',' => Some(Some(self.skip_space(at + 1))),
            b'}' => self.end_of_text(at + 1).map(|()| None),
            _ => None,
        }
    }

    fn end_of_text(&mut self, at: usize) -> Option<()> {
        (self.skip_space(at) == self.text.len()).then_some(())
    }

    /// Splits the list at `at` and the members after it.
    fn list(
        &mut self,
        name: &'a str,
        at: usize,
        document: &mut ListDocument<'a>,
    ) -> Option<()> {
        if self.byte(at)? != b'[' {
            return None;
        }
        let index = document.lists.len();
        document.lists.push((name, Vec::new()));
        let mut at = self.skip_space(at + 1);
        if self.byte(at)? == b']' && self.list_ends(at, document) {
            return Some(());
        }
        loop {
            let element = self.element(at, document).filter(|e| {
                !e.is_last || self.list_ends(e.separator, document)
            });
            let (end, resumption) = match element {
                Some(Element { end, is_last: true, .. }) => {
                    (end, Resumption::End)
                }
                Some(Element { end, separator, .. }) => {
                    let next = self.skip_space(separator + 1);
                    (end, Resumption::Entry(next))
                }
                None => match self.resume(at, document)? {
                    Resumption::Entry(next) => (next, Resumption::Entry(next)),
                    Resumption::End => (self.text.len(), Resumption::End),
                },
            };
            document.lists[index].1.push(&self.text[at..end]);
            match resumption {
                Resumption::Entry(next) => at = next,
                Resumption::End => return Some(()),
            }
        }
    }

    /// Returns whether the bracket at `at` ends the list, which is so if the
    /// members after it can be split. They are added to `document`.
    fn list_ends(
        &mut self,
        at: usize,
        document: &mut ListDocument<'a>,
    ) -> bool {
        let mark = document.mark();
        let ends = match self.next_member(at + 1) {
            Some(Some(next)) => self.members(next, document).is_some(),
            Some(None) => true,
            None => false,
        };
        if !ends {
            document.reset(mark);
        }
        ends
    }

    /// Returns whether the bracket at `at` may end the list, without adding the
    /// members after it.
    fn may_end_list(
        &mut self,
        at: usize,
        document: &mut ListDocument<'a>,
    ) -> bool {
        let mark = document.mark();
        let ends = self.list_ends(at, document);
        document.reset(mark);
        ends
    }

    /// Finds where a list goes on after the damaged entry at `at`.
    fn resume(
        &mut self,
        mut at: usize,
        document: &mut ListDocument<'a>,
    ) -> Option<Resumption> {
        // Brackets that the damaged entry has opened. Without one, an object
        // after a comma cannot be part of it.
        let mut open = 0_usize;
        let start = at;
        loop {
            match self.byte(at)? {
                b']' if self.list_ends(at, document) => {
                    return Some(Resumption::End);
                }
                b']' => open = open.saturating_sub(1),
                b'[' => open += 1,
                b'{' if at > start && self.follows_comma(at) => {
                    if open == 0 {
                        return Some(Resumption::Entry(at));
                    }
                    match self.no_entry_before(at, document) {
                        Some(next) => at = next,
                        None => return Some(Resumption::Entry(at)),
                    }
                    continue;
                }
                _ => {}
            }
            at += 1;
        }
    }

    /// Returns `None` if the object at `at` is an entry of the list, which is
    /// so if the end of the list or a damaged entry comes after it and others.
    /// Otherwise returns a position before which there is no entry.
    fn no_entry_before(
        &mut self,
        at: usize,
        document: &mut ListDocument<'a>,
    ) -> Option<usize> {
        let mut next = at;
        loop {
            let Some(element) = self.element(next, document) else {
                return (next == at).then_some(at + 1);
            };
            if element.is_last {
                let ends = self.may_end_list(element.separator, document);
                return (!ends).then_some(element.separator);
            }
            next = self.skip_space(element.separator + 1);
        }
    }

    /// Returns whether the last byte before `at` other than white space is a
    /// comma.
    fn follows_comma(&self, at: usize) -> bool {
        self.text[..at].trim_end_matches(is_space).ends_with(',')
    }

    /// Returns the entry at `at`, unless it is damaged.
    fn element(
        &mut self,
        at: usize,
        document: &mut ListDocument<'a>,
    ) -> Option<Element> {
        let end = self.value_end(at)?;
        if self.byte(at)? == b'[' && self.may_end_list(end - 1, document) {
            return None;
        }
        let separator = self.skip_space(end);
        let is_last = match self.byte(separator)? {
            b',' => false,
            b']' => true,
            _ => return None,
        };
        Some(Element { end, separator, is_last })
    }

    /// Returns the end of the value at `at`.
    fn value_end(&mut self, mut at: usize) -> Option<usize> {
        // Closing brackets of the values that are open.
        let mut open: Vec<u8> = Vec::new();
        loop {
            match self.byte(at)? {
                opening @ (b'{' | b'[') => {
                    // In ASCII, a closing bracket is two after its opening one.
                    let closing = opening + 2;
                    at = self.skip_space(at + 1);
                    if self.byte(at)? == closing {
                        at += 1;
                    } else {
                        open.push(closing);
                        at = self.member_value(closing, at)?;
                        continue;
                    }
                }
                b'"' => at = self.string_end(at)?,
                _ => at = self.scalar_end(at)?,
            }
            loop {
                let Some(&closing) = open.last() else { return Some(at) };
                at = self.skip_space(at);
                let byte = self.byte(at)?;
                at += 1;
                if byte == b',' {
                    at = self.skip_space(at);
                    at = self.member_value(closing, at)?;
                    break;
                }
                if byte != closing {
                    return None;
                }
                open.pop();
            }
        }
    }

    /// Returns the position of the value of the member at `at` of an object,
    /// or of the element of an array.
    fn member_value(&mut self, closing: u8, at: usize) -> Option<usize> {
        if closing == b']' {
            return Some(at);
        }
        let end = self.string_end(at)?;
        let colon = self.skip_space(end);
        (self.byte(colon)? == b':').then(|| self.skip_space(colon + 1))
    }

    /// Returns the end of the string at `at`, which may hold any bytes.
    fn string_end(&mut self, at: usize) -> Option<usize> {
        if self.byte(at)? != b'"' {
            return None;
        }
        let mut at = at + 1;
        loop {
            match self.byte(at)? {
                b'"' => return Some(at + 1),
                b'\\' => at += 2,
                _ => at += 1,
            }
        }
    }

    /// Returns the end of the number or literal at `at`.
    fn scalar_end(&mut self, at: usize) -> Option<usize> {
        let mut end = at;
        while self.byte(end).is_some_and(|b| {
            b.is_ascii_alphanumeric() || matches!(b, b'+' | b'-' | b'.')
        }) {
            end += 1;
        }
        let text = &self.text[at..end];
        let is_number =
            text.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        (is_number || matches!(text, "true" | "false" | "null")).then_some(end)
    }

    fn skip_space(&mut self, mut at: usize) -> usize {
        while self.byte(at).is_some_and(|b| is_space(b.into())) {
            at += 1;
        }
        at
    }

    /// Returns the byte at `at`, or `None` at the end of the text and once too
    /// many bytes were examined.
    fn byte(&mut self, at: usize) -> Option<u8> {
        self.examined += 1;
        if self.examined > self.limit {
            return None;
        }
        self.text.as_bytes().get(at).copied()
    }
}

/// Returns whether JSON allows a character between its tokens.
fn is_space(c: char) -> bool {
    matches!(c, ' ' | '\t' | '\n' | '\r')
}

/// Decodes the entries of a list. The invalid ones are left out, with one line
/// in the log for all of them.
pub fn decode_entries<'a, T, U>(
    entries: &[&'a str],
    convert: impl Fn(T) -> anyhow::Result<U>,
) -> Vec<U>
where
    T: Deserialize<'a>,
{
    let mut decoded = Vec::with_capacity(entries.len());
    let mut first_error = None;
    for entry in entries {
        match decode_entry(entry).and_then(&convert) {
            Ok(entry) => decoded.push(entry),
            Err(e) => {
                first_error.get_or_insert(e);
            }
        }
    }
    if let Some(e) = first_error {
        let mut reason = format!("{e:#}");
        reason.truncate(reason.floor_char_boundary(MAX_LOGGED_BYTES));
        log::warn!(
            "left out {} of {} list entries, the first because: {reason}",
            entries.len() - decoded.len(),
            entries.len()
        );
    }
    decoded
}

fn decode_entry<'a, T: Deserialize<'a>>(text: &'a str) -> anyhow::Result<T> {
    ensure!(
        !text.contains(char::REPLACEMENT_CHARACTER),
        "the entry is not valid UTF-8"
    );
    // The fields may otherwise come as an array without their names.
    ensure!(text.trim_start().starts_with('{'), "the entry is not an object");
    serde_json::from_str(text).context("the entry is not valid")
}
