//! Documentation pages generated from the tables of codes, events and settings.

use std::fmt::Write;

/// Names accepted by [`page`].
pub const PAGES: [&str; 3] = ["codes", "events", "settings"];

/// Generates the page `name`; `None` for an unknown name.
pub fn page(name: &str) -> Option<String> {
    match name {
        "codes" => Some(codes_page()),
        "events" => Some(events_page()),
        "settings" => Some(settings_page()),
        _ => None,
    }
}

fn codes_page() -> String {
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

fn events_page() -> String {
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

fn settings_page() -> String {
    let mut page = String::from(
        "# Settings\n\n\
         Made by `papayactl reference settings`. A daemon reads an INI file (`--settings FILE`) and single \
         values (`--set section.key=value`), and refuses whatever it does not know. Mistakes are reported\n\
         with result code, file, section and key; `--check` validates and exits.\n",
    );
    for (daemon, tables) in crate::SETTING_TABLES {
        let _ = writeln!(
            page,
            "\n## {daemon}\n\n| section | key | default | meaning |\n|---|---|---|---|"
        );
        for row in tables.iter().flat_map(|t| t.iter()) {
            let default = match row.default {
                None => "required".to_owned(),
                Some("") => "none".to_owned(),
                Some(value) => format!("`{value}`"),
            };
            let meaning = cell(row.meaning);
            let _ = writeln!(page, "| `{}` | `{}` | {default} | {meaning} |", row.section, row.key);
        }
    }
    page
}

/// Escapes the separator of table columns.
fn cell(text: &str) -> String {
    text.replace('|', "\\|")
}
