//! Property tests of the parser with random and mutated texts.
//!
//! For a long run: `PROPTEST_CASES=100000`.

use super::document::SAMPLE;
use crate::fleet::{parse, render};
use proptest::prelude::*;
use proptest::sample::Index;

/// One mutation of a text.
#[derive(Clone, Debug)]
enum Mutation {
    Replace(Index, u8),
    Remove(Index, u8),
    Repeat(Index, u8),
    Swap(Index, Index),
    Insert(Index, String),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = any::<Index>;
    prop_oneof![
        (at(), any::<u8>()).prop_map(|(i, b)| Mutation::Replace(i, b)),
        (at(), any::<u8>()).prop_map(|(i, n)| Mutation::Remove(i, n)),
        (at(), any::<u8>()).prop_map(|(i, n)| Mutation::Repeat(i, n)),
        (at(), at()).prop_map(|(i, j)| Mutation::Swap(i, j)),
        (at(), "[\\[\\]=:;#\"'\\\\\n\r\t ,.0-9a-z\u{0}\u{2028}é-]{0,12}")
            .prop_map(|(i, s)| Mutation::Insert(i, s)),
    ]
}

fn mutate(bytes: &mut Vec<u8>, mutation: &Mutation) {
    if bytes.is_empty() {
        return;
    }
    let length = bytes.len();
    let range = |i: &Index, n: u8| {
        let from = i.index(length);
        from..length.min(from + usize::from(n))
    };
    match mutation {
        Mutation::Replace(i, b) => bytes[i.index(length)] = *b,
        Mutation::Remove(i, n) => drop(bytes.drain(range(i, *n))),
        Mutation::Repeat(i, n) => {
            let copy = bytes[range(i, *n)].to_vec();
            let at = i.index(length);
            bytes.splice(at..at, copy);
        }
        Mutation::Swap(i, j) => bytes.swap(i.index(length), j.index(length)),
        Mutation::Insert(i, s) => {
            let at = i.index(length);
            bytes.splice(at..at, s.bytes());
        }
    }
}

/// Checks that each problem has a known code and that accepted documents round-trip.
fn check(text: &str) -> Result<(), TestCaseError> {
    match parse(text) {
        Ok(document) => prop_assert_eq!(parse(&render(&document)).ok(), Some(document)),
        Err(error) => {
            prop_assert!(!error.problems.is_empty());
            for problem in &error.problems {
                prop_assert!(crate::code_row(problem.code).is_some(), "{}", problem);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn parse_random(text in "(\\PC|[\\[\\]=:;#\n\r\t \"'\\\\]){0,400}") {
        check(&text)?;
    }

    #[test]
    fn parse_random_lines(
        lines in proptest::collection::vec(
            "(\\[(fleet|zone|model|service|upstream|group|workspaces)?\\.?[a-z0-9.]{0,4}\\]|\
             [a-z-]{1,12} ?[=:] ?[ -~]{0,20})",
            0..40,
        ),
    ) {
        check(&lines.join("\n"))?;
    }

    #[test]
    fn parse_mutated(mutations in proptest::collection::vec(mutation(), 1..8)) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        mutations.iter().for_each(|m| mutate(&mut bytes, m));
        check(&String::from_utf8_lossy(&bytes))?;
    }
}
