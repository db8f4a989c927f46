//! The page of faulty settings, and what good ones come to.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use gooseberry_kernel::id::Team;
use gooseberry_kernel::settings::Document;
use gooseberry_kernel::settings::Faults;
use gooseberry_kernel::settings::Fleet;
use gooseberry_kernel::settings::Local;

type Check = fn(&str) -> Result<(), Faults>;

const KINDS: [(&str, Check); 3] = [("local", local), ("fleet", fleet), ("team", team)];

fn local(text: &str) -> Result<(), Faults> {
    Local::parse(text).map(|_| ())
}

fn fleet(text: &str) -> Result<(), Faults> {
    Fleet::parse(text).map(|_| ())
}

fn team(text: &str) -> Result<(), Faults> {
    Document::parse(&Team::new("desk").unwrap(), text).map(|_| ())
}

fn page(kind: &str) -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directory = directory.join("tests/data/settings").join(kind);
    let entries = fs::read_dir(directory).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = files
        .filter(|file| file.extension().is_some_and(|one| one == "jsonc"))
        .collect();
    files.sort();
    files
}

#[test]
fn each_faulty_file_gets_exactly_its_faults() {
    let mut count = 0;
    let mut wrong = Vec::new();
    for (kind, check) in KINDS {
        for file in page(kind) {
            count += 1;
            let text = fs::read_to_string(&file).unwrap();
            let expected = fs::read_to_string(file.with_extension("faults")).unwrap();
            let found = match check(&text) {
                Ok(()) => "no faults\n".to_owned(),
                Err(faults) => format!("{faults}\n"),
            };
            if found != expected {
                let name = file.file_name().unwrap();
                wrong.push(format!(
                    "{kind}/{name:?}\nexpected:\n{expected}found:\n{found}"
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(count >= 30, "the page holds {count} files");
}

#[test]
fn what_json_with_comments_allows_is_accepted() {
    for text in [
        "{}",
        "\u{feff}{}",
        "{ \"readers\": 2, }",
        "{ // a comment\r\n \"readers\": 2 /* another */ }",
        "/* first */ { \"out\": [\"huaraz\", \"caraz\",], }\n// last",
        "{ \"re\\u0061ders\": 2 }",
    ] {
        assert_eq!(fleet(text), Ok(()), "{text:?}");
    }
    let fleet = Fleet::parse("{ \"out\": [\"huaraz\", \"caraz\"] }").unwrap();
    assert!(fleet.out.is_sorted());
}

#[test]
fn a_report_is_bounded() {
    let long = format!("{{ \"policy\": \"{}\" }}", "x".repeat(1 << 20));
    let faults = fleet(&long).unwrap_err();
    assert_eq!(faults.0.len(), 1);
    assert!(
        faults.0[0]
            .message
            .starts_with("expected at most 1048576 bytes")
    );

    let name = |index| format!("\"field-{index}\": 0,\n");
    let fields: String = (0..3000).map(name).collect();
    let faults = fleet(&format!("{{\n{fields}}}")).unwrap_err();
    assert_eq!(faults.0.len(), 257);
    assert_eq!(faults.0[256].message, "there are more than 256 faults");
    assert_eq!(faults.0[256].line, 3002);

    let fields: String = (0..5000).map(name).collect();
    let faults = fleet(&format!("{{\n{fields}}}")).unwrap_err();
    assert_eq!(faults.0[0].message, "expected at most 4096 fields");
}
