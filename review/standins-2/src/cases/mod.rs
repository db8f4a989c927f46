//! The cases.

mod brittle;
mod cold;
mod entry;
mod forget;
mod inputs;
mod part;
mod poison;
mod route;
mod takeup;
mod versions;

use crate::Case;
use crate::Verdict;

/// A case.
pub type Run = fn(&Case) -> Verdict;

/// Returns the case with this name.
pub fn find(name: &str) -> Option<Run> {
    let cases: [(&str, Run); 10] = [
        ("forget", forget::run),
        ("route", route::run),
        ("inputs", inputs::run),
        ("part", part::run),
        ("poison", poison::run),
        ("takeup", takeup::run),
        ("brittle", brittle::run),
        ("versions", versions::run),
        ("cold", cold::run),
        ("entry", entry::run),
    ];
    cases
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, run)| *run)
}

/// Returns settings with these routes and services.
fn settings(routes: &str, services: &str) -> String {
    format!(
        "{{\"version\":1,\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"w-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
