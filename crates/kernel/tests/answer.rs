//! Checks that the table of error kinds in `docs/PROTOCOLS.md` equals the code.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use gooseberry_kernel::answer::Kind;

fn documented() -> Vec<Vec<String>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("docs/PROTOCOLS.md")).unwrap();
    let (_, section) = text.split_once("\n### Errors\n").unwrap();
    let (section, _) = section.split_once("\n## ").unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let cells = |row: &str| {
        let cells = row.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().to_owned()).collect()
    };
    rows.map(cells).collect()
}

fn coded() -> Vec<Vec<String>> {
    let cells = |kind: &Kind| {
        let row = kind.row();
        let retry = row
            .retry_after
            .map(|retry_after| format!("{} s", retry_after.as_secs_ceil()));
        vec![
            format!("`{}`", row.label),
            row.status.to_string(),
            row.outcome.label().to_owned(),
            retry.unwrap_or_else(|| "none".to_owned()),
            row.text.to_owned(),
        ]
    };
    Kind::ALL.iter().map(cells).collect()
}

#[test]
fn the_documented_table_is_the_one_in_the_code() {
    // Comparing whole lists also finds rows that are missing on either side.
    assert_eq!(documented(), coded());
}

#[test]
fn each_kind_has_a_label_of_its_own_that_parses_back() {
    for (index, kind) in Kind::ALL.iter().enumerate() {
        let label = kind.row().label;
        assert_eq!(label.parse::<Kind>().unwrap(), *kind);
        let others = &Kind::ALL[..index];
        assert!(
            others.iter().all(|other| other.row().label != label),
            "{label}"
        );
    }
    assert!("no-such-kind".parse::<Kind>().is_err());
}
