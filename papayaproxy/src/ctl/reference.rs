//! Pages of the documentation that are made from the code's tables.

use std::fmt::Write;

/// The page of result codes, as Markdown.
pub fn codes_page() -> String {
    let mut page = String::from(
        "# Result codes\n\n\
         Made by `papayactl reference codes`. The outcome is what a caller may conclude about its request.\n\n\
         | code | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|\n",
    );
    let mut rows: Vec<_> = crate::CODE_TABLES.iter().flat_map(|t| t.iter()).collect();
    rows.sort_by_key(|r| r.code);
    for row in rows {
        let outcome = row.outcome.as_str();
        let meaning = cell(row.meaning);
        let _ = writeln!(
            page,
            "| {} | `{}` | {outcome} | {} | {meaning} |",
            row.code, row.name, row.status
        );
    }
    page
}

/// The page of log events, as Markdown.
pub fn events_page() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Made by `papayactl reference events`. The number stands in the field `event` of a log line.\n\n\
         | event | name | when it is written, and its fields |\n|---|---|---|\n",
    );
    let mut rows: Vec<_> = crate::EVENT_TABLES.iter().flat_map(|t| t.iter()).collect();
    rows.sort_by_key(|r| r.id);
    for row in rows {
        let _ = writeln!(page, "| {} | `{}` | {} |", row.id, row.name, cell(row.meaning));
    }
    page
}

fn cell(text: &str) -> String {
    text.replace('|', "\\|")
}
