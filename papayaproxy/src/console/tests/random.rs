//! Property tests of form handlers with random and mutated input.
//!
//! `PROPTEST_CASES=100000` runs more cases.

use super::sample;
use crate::console::draft::Draft;
use crate::console::edit::date;
use crate::console::effects::effects;
use crate::console::form::Form;
use crate::console::merge::changes;
use crate::console::pages::{Context, preview, upstreams, workspaces};
use crate::console::routes::edit;
use proptest::prelude::*;

/// Paths of forms that change a document, with a valid body for each.
const BODIES: [(&str, &str); 4] = [
    ("/cleaning", "from.assistant-1=2026-12-07T06%3A00&until.assistant-1=2026-12-07T08%3A00"),
    (
        "/upstreams",
        "name=new-1&agent=10.0.0.1%3A7301&zone=arbon&role=mixed&services=assistant&open=yes",
    ),
    ("/workspaces", "name=new-1&share=3&credential=0123456789abcdef"),
    ("/weights", "skew.assistant=1.5&move.assistant=0.5"),
];

#[derive(Clone, Debug)]
struct Post {
    path: &'static str,
    body: Vec<u8>,
}

/// A valid body with some bytes replaced, removed or inserted.
fn mutated() -> impl Strategy<Value = Post> {
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..8);
    (prop::sample::select(&BODIES[..]), edits).prop_map(|((path, text), edits)| {
        let mut body = text.as_bytes().to_vec();
        for (at, byte, kind) in edits {
            let at = at.index(body.len());
            match kind {
                0 => body[at] = byte,
                1 => drop(body.remove(at)),
                _ => body.insert(at, byte),
            }
        }
        Post { path, body }
    })
}

/// A valid body with one value replaced by arbitrary text.
fn replaced() -> impl Strategy<Value = Post> {
    let value = prop_oneof![any::<String>(), "[-a-z0-9.:T<>\"'&;= \\r\\n\\[\\]]{0,40}"];
    (prop::sample::select(&BODIES[..]), any::<prop::sample::Index>(), value).prop_map(
        |((path, text), which, value)| {
            let fields: Vec<(String, String)> =
                form_urlencoded::parse(text.as_bytes()).into_owned().collect();
            let which = which.index(fields.len());
            let mut form = form_urlencoded::Serializer::new(String::new());
            for (i, (key, known)) in fields.iter().enumerate() {
                form.append_pair(key, if i == which { &value } else { known });
            }
            Post { path, body: form.finish().into_bytes() }
        },
    )
}

fn posts() -> impl Strategy<Value = Post> {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    let paths =
        prop::sample::select(vec!["/cleaning", "/upstreams", "/workspaces", "/weights", "/x"]);
    let random = (paths, bytes).prop_map(|(path, body)| Post { path, body });
    prop_oneof![mutated(), replaced(), random]
}

proptest! {
    /// Any submitted form yields a page or a client error with a detail; a document offered for
    /// download has been parsed again.
    #[test]
    fn post_any_input(post in posts()) {
        let current = sample();
        let taken = Form::parse(&post.body).and_then(|form| {
            let mut draft = Draft::from_form(&form, &current)?;
            edit(post.path, &mut draft.document, &form)?;
            draft.document = draft.document.clone().sealed();
            Ok(draft)
        });
        match taken {
            Err(error) => prop_assert!(!error.detail.is_empty() && error.status().is_client_error()),
            Ok(draft) => {
                let operator = "anna".into();
                let context = Context { operator: &operator, token: "m", current: &current, draft: &draft };
                let changed = changes(&current, &draft.document);
                let page = match draft.seal(&current) {
                    Ok(next) => {
                        prop_assert_eq!(next.generation, current.generation + 1);
                        let effects = effects(&current, &next, &[]);
                        preview::preview(&context, &next, &changed, &effects, &[])
                    }
                    Err(error) => preview::invalid(&context, &changed, &error.problems),
                };
                prop_assert!(!page.into_string().contains("<script"));
            }
        }
    }

    #[test]
    fn resume_any_draft(text in any::<String>(), base in "[0-9a-f]{0,40}") {
        let current = sample();
        let mut form = form_urlencoded::Serializer::new(String::new());
        let body = form.append_pair("draft", &text).append_pair("base", &base).finish();
        let form = Form::parse(body.as_bytes()).unwrap();
        // Must not panic; an accepted draft is a valid document.
        let _ = Draft::from_form(&form, &current);
        let _ = date(&form, "draft");
    }

    #[test]
    fn pages_escape(text in "[<>\"'&a-z]{0,20}") {
        let current = sample();
        let draft = Draft::new(&current);
        let operator = "anna".into();
        let context = Context { operator: &operator, token: &text, current: &current, draft: &draft };
        for page in [workspaces::list(&context, &text, 0), upstreams::list(&context)] {
            let page = page.into_string();
            let raw = format!("value=\"{text}\"");
            let special = text.contains(['<', '>', '"', '&']);
            prop_assert!(!special || !page.contains(&raw), "{raw} is not escaped");
        }
    }
}
