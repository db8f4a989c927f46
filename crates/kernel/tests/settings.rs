//! Checks the faults of the documents in `tests/data/settings` against the
//! `.faults` files, and that valid documents are accepted.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use gooseberry_kernel::hash;
use gooseberry_kernel::id::Team;
use gooseberry_kernel::settings;
use gooseberry_kernel::settings::Faults;
use gooseberry_kernel::settings::Fleet;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::TeamSettings;

type Check = fn(&str) -> Result<(), Faults>;

const DOCUMENT_KINDS: [(&str, Check); 3] = [("local", local), ("fleet", fleet), ("team", team)];

fn local(text: &str) -> Result<(), Faults> {
    Local::parse(text).map(|_| ())
}

fn fleet(text: &str) -> Result<(), Faults> {
    Fleet::parse(text).map(|_| ())
}

fn team(text: &str) -> Result<(), Faults> {
    TeamSettings::parse(&Team::new("desk").unwrap(), text).map(|_| ())
}

fn faulty_files(kind: &str) -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directory = directory.join("tests/data/settings").join(kind);
    let entries = fs::read_dir(directory).unwrap();
    let files = entries.map(|entry| entry.unwrap().path());
    let mut files: Vec<PathBuf> = files
        .filter(|file| {
            file.extension()
                .is_some_and(|extension| extension == "jsonc")
        })
        .collect();
    files.sort();
    files
}

#[test]
fn each_faulty_file_gets_exactly_its_faults() {
    let mut count = 0;
    let mut wrong = Vec::new();
    for (kind, check) in DOCUMENT_KINDS {
        for file in faulty_files(kind) {
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
    assert!(count >= 30, "there are only {count} files");
}

#[test]
fn json_with_comments_is_accepted() {
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
fn invalid_utf8_is_reported_with_its_line() {
    assert_eq!(
        settings::decode("{ \"ñ\": 1 }".as_bytes()),
        Ok("{ \"ñ\": 1 }")
    );
    for (bytes, line) in [
        (&b"\xff"[..], 1),
        (b"{\n\n\xc3\x28}", 3),
        (b"{\n}\n\xc3", 3),
    ] {
        let faults = settings::decode(bytes).unwrap_err();
        assert_eq!(
            faults.to_string(),
            format!("line {line}: $: expected UTF-8")
        );
    }
}

#[test]
fn the_list_of_faults_is_bounded() {
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

/// Removes, inserts, swaps or replaces a few characters of a document.
fn mutate(text: &str, seed: u64) -> String {
    let mut characters: Vec<char> = text.chars().collect();
    let mut random = seed;
    let mut draw = |below: usize| {
        random = hash::mix(random, 1);
        usize::try_from(random % u64::try_from(below).unwrap()).unwrap()
    };
    for _ in 0..=draw(4) {
        let at = draw(characters.len());
        let other = draw(characters.len());
        match draw(4) {
            0 => drop(characters.remove(at)),
            1 => characters.insert(at, characters[other]),
            2 => characters.swap(at, other),
            _ => characters[at] = ['"', '{', ']', ',', '-', '0', '\u{0}', 'é'][draw(8)],
        }
    }
    characters.into_iter().collect()
}

#[test]
fn mutated_documents_give_well_formed_faults() {
    let mut refused = 0;
    for (name, text, check) in [
        (
            "local",
            include_str!("../../../examples/settings/entry-1.jsonc"),
            local as Check,
        ),
        (
            "fleet",
            include_str!("../../../examples/settings/huaraz/fleet.jsonc"),
            fleet,
        ),
        (
            "desk",
            include_str!("../../../examples/settings/huaraz/teams/desk.jsonc"),
            team,
        ),
    ] {
        assert_eq!(check(text), Ok(()), "{name}");
        for seed in 0..3000 {
            let mutated = mutate(text, seed);
            let Err(faults) = check(&mutated) else {
                continue;
            };
            refused += 1;
            assert!(!faults.0.is_empty(), "{name} {seed}");
            for fault in faults.0 {
                let lines = mutated.matches('\n').count() + 1;
                assert!((1..=lines).contains(&fault.line), "{name} {seed}: {fault}");
                assert!(fault.path.starts_with('$'), "{name} {seed}: {fault}");
                assert!(!fault.message.is_empty(), "{name} {seed}");
                assert!(!fault.to_string().contains('\n'), "{name} {seed}: {fault}");
            }
        }
    }
    assert!(refused > 1000, "{refused}");
}
