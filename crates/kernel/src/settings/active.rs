//! Decides which of the settings documents received are in force.
//!
//! Only a higher revision replaces a document, whether it comes from the
//! platform or from a peer. So settings never revert, even when the platform
//! serves an old state or a peer is behind. A faulty document leaves the last
//! valid one of its path in force and affects no other path.

use std::sync::Arc;

use super::fault::Faults;
use super::fleet::Fleet;
use super::team::Pipeline;
use super::team::Pool;
use super::team::TeamSettings;
use super::team::Workspace;
use crate::derive::value;
use crate::id;
use crate::published_list::Revision;

/// The path of the document with the settings of the fleet.
pub const FLEET_PATH: &str = "/fleet";
/// The prefix of the path of each team's document.
pub const TEAMS_PATH: &str = "/teams/";

value! {
    /// One document as it was published, not yet validated.
    pub struct RawDocument {
        /// Its path, either `/fleet` or `/teams/NAME`.
        pub path: String,
        /// The revision at which it was last changed.
        pub revision: Revision,
        /// Its text, in JSON with comments.
        pub text: Arc<str>,
    }

    /// All documents that the platform publishes, or that a peer holds.
    #[derive(Default)]
    pub struct Tree {
        /// The revision of the tree as a whole.
        pub revision: Revision,
        /// The documents, in any order. A peer may send two for one path: the
        /// one in force and a newer, faulty one.
        pub documents: Vec<RawDocument>,
    }

    /// The documents that a daemon holds for one path.
    pub struct HeldDocument {
        /// The path of the documents.
        pub path: String,
        /// The document in force, if a valid one was ever received.
        pub in_force: Option<RawDocument>,
        /// The newest document and its faults, if it is faulty.
        pub refused: Option<(RawDocument, Faults)>,
    }
}

/// The settings that a daemon holds.
#[derive(Clone, Debug, Default)]
pub struct ActiveSettings {
    revision: Revision,
    held_documents: Vec<HeldDocument>,
    fleet: Fleet,
    teams: Vec<TeamSettings>,
}

impl ActiveSettings {
    /// Returns the highest revision of the trees that were adopted.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the fleet settings in force, or their defaults.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the teams' settings in force, sorted by team.
    #[must_use]
    pub fn teams(&self) -> &[TeamSettings] {
        &self.teams
    }

    /// Returns the documents that are held, sorted by path.
    #[must_use]
    pub fn held_documents(&self) -> &[HeldDocument] {
        &self.held_documents
    }

    /// Returns a pool of any team.
    #[must_use]
    pub fn pool(&self, id: &id::Pool) -> Option<&Pool> {
        self.team_of(id.as_str())?.pool(id)
    }

    /// Returns a workspace of any team.
    #[must_use]
    pub fn workspace(&self, id: &id::Workspace) -> Option<&Workspace> {
        self.team_of(id.as_str())?.workspace(id)
    }

    /// Returns a pipeline if the workspace may call it.
    #[must_use]
    pub fn pipeline(&self, workspace: &Workspace, id: &id::Pipeline) -> Option<&Pipeline> {
        workspace.pipelines.binary_search(id).ok()?;
        self.team_of(workspace.id.as_str())?.pipeline(id)
    }

    /// Adopts a tree and returns whether anything changed.
    ///
    /// A tree of a lower revision is ignored as a whole. One of the same
    /// revision may still contain a valid document that was not received before.
    pub fn adopt(&mut self, tree: &Tree) -> bool {
        if tree.revision < self.revision {
            return false;
        }
        let mut is_changed = tree.revision > self.revision;
        if is_changed {
            self.drop_absent(tree);
        }
        self.revision = tree.revision;
        for document in &tree.documents {
            is_changed |= self.apply(document);
        }
        if is_changed {
            self.rebuild();
        }
        is_changed
    }

    /// Returns whether some path has a faulty document and no valid one. A peer
    /// may still hold a valid one.
    #[must_use]
    pub fn lacks_valid_document(&self) -> bool {
        let mut held_documents = self.held_documents.iter();
        held_documents.any(|held| held.in_force.is_none() && held.refused.is_some())
    }

    /// Returns all documents that are held, to be sent to a peer.
    #[must_use]
    pub fn tree(&self) -> Tree {
        let mut documents = Vec::new();
        for held_document in &self.held_documents {
            documents.extend(held_document.in_force.clone());
            documents.extend(
                held_document
                    .refused
                    .as_ref()
                    .map(|(document, _)| document.clone()),
            );
        }
        Tree {
            revision: self.revision,
            documents,
        }
    }

    fn team_of(&self, qualified_id: &str) -> Option<&TeamSettings> {
        let (team, _) = qualified_id.split_once('.')?;
        let found = self
            .teams
            .binary_search_by(|settings| settings.team.as_str().cmp(team));
        found.ok().map(|index| &self.teams[index])
    }

    fn drop_absent(&mut self, tree: &Tree) {
        let is_listed = |path: &str| tree.documents.iter().any(|document| document.path == path);
        self.held_documents
            .retain(|held_document| is_listed(&held_document.path));
    }

    fn apply(&mut self, document: &RawDocument) -> bool {
        let held_document = self.held_document(&document.path);
        let held_revision = held_document.in_force.as_ref().map(|held| held.revision);
        if held_revision.is_some_and(|held| held >= document.revision) {
            return false;
        }
        match validate(document) {
            Ok(()) => {
                held_document.in_force = Some(document.clone());
                let is_superseded =
                    |(refused, _): &mut (RawDocument, Faults)| refused.revision < document.revision;
                held_document.refused.take_if(is_superseded);
                true
            }
            Err(faults) => {
                let known_revision = held_document
                    .refused
                    .as_ref()
                    .map(|(known, _)| known.revision);
                if known_revision.is_some_and(|known| known >= document.revision) {
                    return false;
                }
                held_document.refused = Some((document.clone(), faults));
                true
            }
        }
    }

    fn held_document(&mut self, path: &str) -> &mut HeldDocument {
        let found = self
            .held_documents
            .binary_search_by(|held| held.path.as_str().cmp(path));
        let index = found.unwrap_or_else(|index| {
            let empty = HeldDocument {
                path: path.to_owned(),
                in_force: None,
                refused: None,
            };
            self.held_documents.insert(index, empty);
            index
        });
        &mut self.held_documents[index]
    }

    fn rebuild(&mut self) {
        self.fleet = Fleet::default();
        self.teams.clear();
        for document in self
            .held_documents
            .iter()
            .filter_map(|held| held.in_force.as_ref())
        {
            if document.path == FLEET_PATH {
                self.fleet = Fleet::parse(&document.text).unwrap_or_default();
            }
            let team = team_name(&document.path);
            let settings = team.and_then(|team| TeamSettings::parse(&team, &document.text).ok());
            self.teams.extend(settings);
        }
        self.teams.sort_by(|left, right| left.team.cmp(&right.team));
    }
}

/// Validates a document, by its path and text alone.
fn validate(document: &RawDocument) -> Result<(), Faults> {
    if document.path == FLEET_PATH {
        return Fleet::parse(&document.text).map(|_| ());
    }
    match team_name(&document.path) {
        Some(team) => TeamSettings::parse(&team, &document.text).map(|_| ()),
        None => Err(Faults(vec![super::Fault {
            path: document.path.clone(),
            line: 1,
            message: "expected /fleet or /teams/NAME".to_owned(),
        }])),
    }
}

fn team_name(path: &str) -> Option<id::Team> {
    let name = path.strip_prefix(TEAMS_PATH)?;
    id::Team::new(name).ok().filter(|_| !name.contains('.'))
}
