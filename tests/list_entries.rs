//! Tests of the lists that several writers fill.

use primrosemast::list_entries::{ListDocument, decode_entries, list_text};
use serde::Deserialize;

const LISTS: [&str; 2] = ["instances", "targets"];

#[derive(Debug, Deserialize)]
struct Entry {
    name: String,
}

/// Returns the names in both lists of a document.
fn names(document: &[u8]) -> anyhow::Result<[Vec<String>; 2]> {
    let text = list_text(document);
    let document = ListDocument::split(&text, &LISTS, &["next"])?;
    Ok(LISTS.map(|list| {
        let entries = document.entries(list).unwrap_or_default();
        decode_entries(entries, |e: Entry| Ok(e.name))
    }))
}

// Guards against a damaged entry of one list that hides entries of this or of
// the other list.
#[test]
fn a_damaged_entry_hides_neither_list() {
    let odd: [&[u8]; 14] = [
        b"{\"name\":\"\x01\"}",
        b"{\"name\":\"\xff\"}",
        b"\x01",
        b"{\"name\":\"odd}",
        b"{\"name\":\"odd\"",
        b"\"name\":\"odd\"}",
        b"{\"name\":\"odd\"]",
        b"[",
        b"[\"odd\"",
        b"[\"odd\",[1",
        b"[{\"name\":\"odd\"}",
        b"{\"name\":[\"odd\"",
        b"{\"name\":[{\"name\":\"odd\"}",
        b"",
    ];
    let good = |name: &str| format!("{{\"name\":\"{name}\"}}").into_bytes();
    for first in odd {
        for second in odd {
            let list = |odd: &[u8], name: &str| {
                let (a, b) = (good(&format!("{name}1")), good(name));
                [a, odd.to_vec(), b, odd.to_vec()].join(&b", "[..])
            };
            let document = [
                b"{ \"next\" : 1, \"instances\" : [ ",
                &list(first, "i")[..],
                b" ] , \"other\": {}, \"targets\":[",
                &list(second, "t")[..],
                b"]}\n",
            ]
            .concat();
            let shown = String::from_utf8_lossy(&document);
            let names =
                names(&document).unwrap_or_else(|e| panic!("{shown}: {e:#}"));
            assert_eq!(names, [["i1", "i"], ["t1", "t"]], "{shown}");
        }
    }
}

// Guards against part of a list that is taken for the whole, and against a
// document that is not a list.
#[test]
fn an_incomplete_list_is_not_read() {
    let complete = r#"{"instances":[{"name":"a"},{"name":"b"}],"next":"n"}"#;
    assert_eq!(names(complete.as_bytes()).expect("a list")[0], ["a", "b"]);
    for end in 0..complete.len() {
        let cut = &complete[..end];
        assert!(names(cut.as_bytes()).is_err(), "{cut}");
    }
    let invalid = [
        r#"[{"name":"a"}]"#,
        r#"{"instances":{"name":"a"}}"#,
        r#"{"instances":null}"#,
        r#"{"instances":[]}]"#,
        r#"{"instances":[],}"#,
        r#"{"next":1,"next":2}"#,
        r#"{"next"}"#,
        r#"{"next":nothing}"#,
        r#"{,}"#,
    ];
    for document in invalid {
        assert!(names(document.as_bytes()).is_err(), "{document}");
    }
    for document in [
        "{}",
        " { } ",
        r#"{"targets":[ ],"next":[1,{}]}"#,
        // The first bracket may be part of a damaged entry.
        r#"{"instances":[],"instances":[]}"#,
    ] {
        let found = names(document.as_bytes()).expect(document);
        assert_eq!(found, [[""; 0]; 2], "{document}");
    }
}

// Guards against a list that is given up because many of its entries are
// damaged, each of which is examined up to the end of the document.
#[test]
fn many_damaged_entries_cost_only_themselves() {
    for odd in ["[", "[1", "[{\"a\":1}", "{\"a\":[1", "{\"a\":1", "\"a", "1]"]
    {
        let good = |n| format!("{{\"name\":\"{n}\"}}");
        let entries: Vec<String> =
            (0..100).map(|n| format!("{odd},{}", good(n))).collect();
        let document =
            format!(r#"{{"instances":[{}],"next":1}}"#, entries.join(","));
        let [found, _] = names(document.as_bytes())
            .unwrap_or_else(|e| panic!("{odd}: {e:#}"));
        let expected: Vec<String> = (0..100).map(|n| n.to_string()).collect();
        assert_eq!(found, expected, "{odd}");
    }
}

// Guards against hostile bytes that keep an instance busy for the square of
// their length.
#[test]
fn deeply_nested_damage_is_given_up() {
    for part in
        [",{\"a\":[1", ",{\"a\":{\"b\":[{}", "],", ",{}]", "{\"a\":1},"]
    {
        let damage = part.repeat(40_000);
        let document = format!(r#"{{"instances":[{damage}],"next":1}}"#);
        // Any result is right, within the number of passes over the text.
        let _ = names(document.as_bytes());
    }
}
