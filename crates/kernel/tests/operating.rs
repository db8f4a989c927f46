//! Checks that `docs/OPERATING.md` documents the settings and error kinds as
//! the code has them.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::id::Team;
use gooseberry_kernel::settings::Faults;
use gooseberry_kernel::settings::Fleet;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::TeamSettings;

fn page() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::read_to_string(root.join("docs/OPERATING.md")).unwrap()
}

/// Returns the first two cells of each row of the table after `heading` whose
/// first column is titled `column`.
fn rows(heading: &str, column: &str) -> Vec<(String, String)> {
    let page = page();
    let (_, section) = page.split_once(&format!("\n{heading}\n")).unwrap();
    let (_, table) = section.split_once(&format!("\n| {column} |")).unwrap();
    let lines = table.lines().skip(2);
    let rows = lines.take_while(|line| line.starts_with('|'));
    let cells = |row: &str| {
        let mut cells = row.trim_matches('|').split('|').map(str::trim);
        let name = cells.next().unwrap().trim_matches('`').to_owned();
        (name, cells.next().unwrap().to_owned())
    };
    rows.map(cells).collect()
}

/// Parses `MIN to MAX:` at the start of a cell.
fn range(cell: &str) -> Option<(u64, u64)> {
    let (range, _) = cell.split_once(':')?;
    let (min, max) = range.split_once(" to ")?;
    Some((min.parse().ok()?, max.parse().ok()?))
}

fn document(text: &str) -> Result<(), Faults> {
    TeamSettings::parse(&Team::new("desk").unwrap(), text).map(|_| ())
}

type Check = fn(&str) -> Result<(), Faults>;

/// The documented tables: heading, title of the first column, a document in
/// which `$` stands for a field of the table, and the check of the document.
const TABLES: [(&str, &str, &str, Check); 6] = [
    ("### The file of a process", "field", "{ $ }", |text| {
        Local::parse(text).map(|_| ())
    }),
    ("### `/fleet`", "field", "{ $ }", |text| {
        Fleet::parse(text).map(|_| ())
    }),
    (
        "### `/teams/NAME`",
        "field of a pool",
        "{ \"pools\": { \"x\": { $ } } }",
        document,
    ),
    (
        "### `/teams/NAME`",
        "field of a pipeline",
        "{ \"pipelines\": { \"x\": { $ } } }",
        document,
    ),
    (
        "### `/teams/NAME`",
        "field of a stage",
        "{ \"pipelines\": { \"x\": { \"stages\": [{ $ }] } } }",
        document,
    ),
    (
        "### `/teams/NAME`",
        "field of a workspace",
        "{ \"workspaces\": { \"x\": { $ } } }",
        document,
    ),
];

#[test]
fn the_documented_fields_are_known_and_their_ranges_are_those_of_the_code() {
    let mut ranges = 0;
    for (heading, column, template, check) in TABLES {
        for (field, cell) in rows(heading, column) {
            let path_end = format!(".{field}");
            let faults_of = |value: String| {
                let text = template.replace('$', &format!("\"{field}\": {value}"));
                let faults = check(&text)
                    .err()
                    .map(|faults| faults.0)
                    .unwrap_or_default();
                let mut of_field = faults
                    .into_iter()
                    .filter(|fault| fault.path.ends_with(&path_end));
                of_field.next().map(|fault| fault.message)
            };
            // None of the documented fields accepts an object, so a known field
            // gives a fault about its value.
            let message = faults_of("{}".to_owned()).unwrap();
            assert!(message.starts_with("expected"), "{field}: {message}");
            let Some((min, max)) = range(&cell) else {
                continue;
            };
            ranges += 1;
            let expected = format!("expected a whole number from {min} to {max}");
            assert_eq!(
                faults_of((max + 1).to_string()),
                Some(expected.clone()),
                "{field}"
            );
            let below = min
                .checked_sub(1)
                .map_or("-1".to_owned(), |below| below.to_string());
            assert_eq!(faults_of(below), Some(expected), "{field}");
        }
    }
    assert_eq!(ranges, 20);
}

#[test]
fn each_refusal_is_documented_once() {
    let kinds = rows("## Refusals", "kind");
    let named = kinds.iter().flat_map(|(names, _)| names.split(','));
    let mut named: Vec<String> = named.map(|name| name.trim().replace('`', "")).collect();
    let mut known: Vec<String> = Kind::ALL
        .iter()
        .map(|kind| kind.row().label.to_owned())
        .collect();
    named.sort();
    known.sort();
    assert_eq!(named, known);
}
