//! Validates a faulty settings document and prints all its faults, each with
//! its line, its path and what was expected.
//!
//! Run it with `cargo run -p gooseberry_kernel --example settings_faults`.

use gooseberry_kernel::id;
use gooseberry_kernel::settings::TeamSettings;

const FAULTY: &str = r#"{
  "pools": {
    // A target in cold start cannot take more calls than a warm one.
    "llm": { "kind": "engine", "cold_limit": 20, "warm_limit": 16 }
  },
  "pipelines": {
    "brief": {
      "deadline_ms": 0,
      "stages": [{ "name": "generate", "pool": "lm" }]
    }
  },
  "workspaces": {}
}"#;

fn main() -> Result<(), id::Invalid> {
    let team = id::Team::new("desk")?;
    match TeamSettings::parse(&team, FAULTY) {
        Ok(_) => println!("no faults"),
        Err(faults) => println!("{faults}"),
    }
    Ok(())
}
