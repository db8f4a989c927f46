//! Services that leave the settings while requests use them.

use std::sync::Arc;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::retired_services::RetiredServices;
use gooseberry_kernel::request::routing_table::RoutingTable;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;

use crate::routing_table::table;

fn table_with(services: &[&str]) -> RoutingTable {
    let services = services.iter().map(|name| {
        Arc::new(Service {
            name: name::Service::new(name),
            kind: ServiceKind::Plain,
            max_connections: 10,
            cold_requests_per_second: 0,
            cold_period: Millis::ZERO,
        })
    });
    RoutingTable {
        services: services.collect(),
        ..table()
    }
}

#[test]
fn a_service_stays_known_until_the_requests_admitted_before_its_removal_have_ended() {
    let mut retired = RetiredServices::default();
    let is_known =
        |retired: &RetiredServices, name| retired.get(&name::Service::new(name)).is_some();
    let all = table_with(&["a", "b"]);
    retired.replace(&all, &table_with(&["b"]), Millis(100));
    retired.replace(&table_with(&["b"]), &table_with(&[]), Millis(600));
    assert!(is_known(&retired, "a") && is_known(&retired, "b"));
    // Requests of the routes take a second at most.
    retired.expire(Millis(1_099));
    assert!(is_known(&retired, "a"));
    retired.expire(Millis(1_100));
    assert!(!is_known(&retired, "a") && is_known(&retired, "b"));
    // A service that is listed again is no longer retired.
    retired.replace(&table_with(&[]), &all, Millis(1_200));
    assert!(!is_known(&retired, "b"));
}
