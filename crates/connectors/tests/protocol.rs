//! The paths in `docs/PROTOCOLS.md` must be those of the registered connectors.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;

use gooseberry_connectors::connector;
use gooseberry_kernel::settings::TargetKind;

#[test]
fn documented_paths_match_the_connectors() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("docs/PROTOCOLS.md")).unwrap();
    for kind in TargetKind::ALL {
        let path = connector::find(kind).unwrap().path();
        let row = format!("| `{kind}` | `{path}` |");
        assert!(text.contains(&row), "{row}");
    }
}
