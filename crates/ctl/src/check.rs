//! Validates settings before they are published.
//!
//! A directory is read as a settings tree with the layout that the platform
//! publishes: `fleet.jsonc` is `/fleet` and `teams/NAME.jsonc` is
//! `/teams/NAME`. The documents are validated by the code that a daemon runs,
//! so every daemon of the same version accepts a tree without faults.

use std::fmt;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;

use anyhow::Context;
use gooseberry_kernel::id;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::settings;
use gooseberry_kernel::settings::ActiveSettings;
use gooseberry_kernel::settings::Fault;
use gooseberry_kernel::settings::Faults;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::RawDocument;
use gooseberry_kernel::settings::Tree;
use serde_json::json;

/// File name extensions of settings files.
const EXTENSIONS: [&str; 2] = ["jsonc", "json"];

/// Kind of a settings file, which determines its schema.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// The start-up file of one process.
    Local,
    /// The document at `/fleet`.
    Fleet,
    /// The document at `/teams/NAME`.
    Team(id::Team),
}

impl FromStr for Role {
    type Err = id::Invalid;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            None if text == "local" => Ok(Self::Local),
            None if text == "fleet" => Ok(Self::Fleet),
            Some(("team", name)) => name.parse().map(Self::Team),
            _ => Err(id::Invalid { text: text.into() }),
        }
    }
}

impl Role {
    /// Infers the role of a file from its name and directory.
    #[must_use]
    pub fn of_file(file: &Path) -> Self {
        let parent = file.parent().and_then(Path::file_name);
        let is_team = parent.is_some_and(|name| name == "teams");
        let stem = file.file_stem().and_then(|stem| stem.to_str());
        match stem {
            Some("fleet") => Self::Fleet,
            Some(name) if is_team => name.parse().map_or(Self::Local, Self::Team),
            _ => Self::Local,
        }
    }

    /// Returns the path under which the platform publishes the document, or
    /// `None` for a file that is not published.
    #[must_use]
    pub fn path(&self) -> Option<String> {
        match self {
            Self::Local => None,
            Self::Fleet => Some("/fleet".to_owned()),
            Self::Team(name) => Some(format!("/teams/{name}")),
        }
    }

    /// Validates a document.
    ///
    /// # Errors
    /// Returns all faults of the document.
    pub fn check(&self, bytes: &[u8]) -> Result<(), Faults> {
        let text = settings::decode(bytes)?;
        let Some(path) = self.path() else {
            return Local::parse(text).map(|_| ());
        };
        let revision = Revision(1);
        let document = RawDocument {
            path,
            revision,
            text: Arc::from(text),
        };
        let mut active = ActiveSettings::default();
        active.adopt(&Tree {
            revision,
            documents: vec![document],
        });
        let refused = active
            .held_documents()
            .iter()
            .find_map(|document| document.refused.clone());
        refused.map_or(Ok(()), |(_, faults)| Err(faults))
    }
}

/// A fault and the file that contains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The file.
    pub file: PathBuf,
    /// The fault.
    pub fault: Fault,
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            path,
            line,
            message,
        } = &self.fault;
        write!(out, "{}:{line}: {path}: {message}", self.file.display())
    }
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of files checked.
    pub files: usize,
    /// All faults of all files.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Formats the report as text, with one fault per line.
    #[must_use]
    pub fn text(&self) -> String {
        let mut lines: Vec<String> = self.findings.iter().map(Finding::to_string).collect();
        let count = self.findings.len();
        lines.push(match (self.files, count) {
            (files, 0) => format!("{files} checked, no faults"),
            (files, count) => format!("{files} checked, faults: {count}"),
        });
        lines.join("\n") + "\n"
    }

    /// Formats the report as one JSON object.
    #[must_use]
    pub fn json(&self) -> String {
        let finding_json = |finding: &Finding| {
            json!({
                "file": finding.file.display().to_string(),
                "line": finding.fault.line,
                "path": finding.fault.path,
                "message": finding.fault.message,
            })
        };
        let faults: Vec<_> = self.findings.iter().map(finding_json).collect();
        format!("{}\n", json!({ "files": self.files, "faults": faults }))
    }

    fn add(&mut self, file: &Path, verdict: Result<(), Faults>) {
        self.files += 1;
        let faults = verdict.err().map(|faults| faults.0).unwrap_or_default();
        let finding = |fault| Finding {
            file: file.to_owned(),
            fault,
        };
        self.findings.extend(faults.into_iter().map(finding));
    }
}

/// Checks a file, a settings tree, or standard input if the path is `-`.
///
/// Without `role` the role of a file is inferred from its path. For a tree
/// `role` is ignored, because each file has its own.
///
/// # Errors
/// Returns an error if a file or directory cannot be read.
pub fn run(path: &Path, role: Option<&Role>) -> anyhow::Result<Report> {
    let mut report = Report::default();
    if path.is_dir() {
        check_tree(path, &mut report)?;
        return Ok(report);
    }
    let guessed = Role::of_file(path);
    let verdict = role.unwrap_or(&guessed).check(&read(path)?);
    report.add(path, verdict);
    Ok(report)
}

/// Reads a file, or standard input if the path is `-`.
///
/// # Errors
/// Returns an error if it cannot be read.
pub fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    if path.as_os_str() == "-" {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes)?;
        return Ok(bytes);
    }
    std::fs::read(path).with_context(|| format!("cannot read {}", path.display()))
}

fn check_tree(root: &Path, report: &mut Report) -> anyhow::Result<()> {
    for file in files(root)? {
        check_file(root, &file, report)?;
    }
    let teams = root.join("teams");
    if teams.is_dir() {
        for file in files(&teams)? {
            check_file(root, &file, report)?;
        }
    }
    if report.files == 0 {
        let faults = Faults(vec![misplaced()]);
        report.add(root, Err(faults));
    }
    Ok(())
}

fn check_file(root: &Path, file: &Path, report: &mut Report) -> anyhow::Result<()> {
    let is_in_teams = file.parent() != Some(root);
    let verdict = match Role::of_file(file) {
        Role::Fleet if !is_in_teams => Role::Fleet.check(&read(file)?),
        Role::Team(name) if is_in_teams => Role::Team(name).check(&read(file)?),
        Role::Fleet | Role::Team(_) | Role::Local => Err(Faults(vec![misplaced()])),
    };
    report.add(file, verdict);
    Ok(())
}

fn misplaced() -> Fault {
    Fault {
        path: "$".to_owned(),
        line: 1,
        message: "expected fleet.jsonc or teams/NAME.jsonc".to_owned(),
    }
}

/// Returns the settings files directly in the directory, sorted by name.
fn files(directory: &Path) -> anyhow::Result<Vec<PathBuf>> {
    let listed = std::fs::read_dir(directory);
    let listed = listed.with_context(|| format!("cannot read {}", directory.display()))?;
    let mut files = Vec::new();
    for entry in listed {
        let file = entry?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        let is_settings = extension.is_some_and(|extension| EXTENSIONS.contains(&extension));
        if is_settings && file.is_file() {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}
