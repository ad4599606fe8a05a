/*!
Merging of an overlay into a base file.

Objects are merged by key. Arrays of named objects are merged by name, so
that an overlay contains only the differences; it may write such an array as
an object whose keys are the names. `null` deletes the value in the base. Any
other value in the overlay replaces the value in the base.
*/

use serde_json::Value;

use super::{
    problem::Problem,
    source::{Content, Node},
};

/// Fields that identify an object in an array, in order of precedence.
const ID_FIELDS: [&str; 2] = ["name", "availability_zone"];

/// Merges `overlay` into `base` and appends an error to `problems` for each
/// change that cannot be merged.
pub(crate) fn merge(
    base: &mut Node,
    overlay: Node,
    problems: &mut Vec<Problem>,
) {
    let key = id_field(base);
    match (&mut base.content, overlay.content) {
        (Content::Object(members), Content::Object(changes)) => {
            for (name, change) in changes {
                merge_member(members, name, change, problems);
            }
        }
        (Content::Array(items), Content::Array(changes)) if key.is_some() => {
            let key = key.expect("checked by the guard");
            if changes.is_empty() {
                let array = Node {
                    origin: overlay.origin.clone(),
                    content: Content::Array(changes),
                };
                problems.push(array.problem(
                    "an empty array",
                    "the elements to change, or null to delete them all",
                ));
                return;
            }
            let mut seen: Vec<String> = Vec::new();
            for change in changes {
                let Some(name) = change.member_str(key).map(str::to_owned)
                else {
                    problems.push(change.problem(
                        format!("an element without \"{key}\""),
                        format!("an object with \"{key}\""),
                    ));
                    continue;
                };
                if seen.contains(&name) {
                    problems.push(change.problem(
                        format!("{key} \"{name}\" again"),
                        "each element once in an overlay",
                    ));
                    continue;
                }
                merge_element(items, key, &name, change, problems);
                seen.push(name);
            }
        }
        (Content::Array(items), Content::Object(changes)) if key.is_some() => {
            let key = key.expect("checked by the guard");
            for (name, mut change) in changes {
                if let Content::Object(members) = &mut change.content
                    && !members.iter().any(|(k, _)| k == key)
                {
                    let mut name_origin = change.origin.clone();
                    name_origin.path.push_str(&format!(".{key}"));
                    let content = Content::Scalar(Value::from(name.as_str()));
                    let node = Node { origin: name_origin, content };
                    members.push((key.into(), node));
                }
                merge_element(items, key, &name, change, problems);
            }
        }
        (content, replacement) => *content = replacement,
    }
    base.origin = overlay.origin;
}

fn merge_member(
    members: &mut Vec<(String, Node)>,
    name: String,
    change: Node,
    problems: &mut Vec<Problem>,
) {
    let position = members.iter().position(|(k, _)| *k == name);
    match (position, change.is_null()) {
        (Some(i), true) => {
            members.remove(i);
        }
        (Some(i), false) => merge(&mut members[i].1, change, problems),
        (None, true) => problems.push(unmatched_delete(&change)),
        (None, false) => members.push((name, change)),
    }
}

fn merge_element(
    items: &mut Vec<Node>,
    key: &str,
    name: &str,
    change: Node,
    problems: &mut Vec<Problem>,
) {
    let position = items.iter().position(|n| n.member_str(key) == Some(name));
    match (position, change.is_null()) {
        (Some(i), true) => {
            items.remove(i);
        }
        (Some(i), false) => merge(&mut items[i], change, problems),
        (None, true) => problems.push(unmatched_delete(&change)),
        (None, false) => items.push(change),
    }
}

/// Reports a `null` for a key or name that the base does not have, which is
/// probably misspelt.
fn unmatched_delete(change: &Node) -> Problem {
    change.problem("null", "the name of something in the base file")
}

/// Returns the field that identifies the elements of an array, or `None` if
/// the node is not an array of objects that all have such a field.
fn id_field(node: &Node) -> Option<&'static str> {
    let Content::Array(items) = &node.content else { return None };
    if items.is_empty() {
        return None;
    }
    ID_FIELDS
        .into_iter()
        .find(|key| items.iter().all(|n| n.member_str(key).is_some()))
}
