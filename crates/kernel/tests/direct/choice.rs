use gooseberry_kernel::fleet::choice;
use gooseberry_kernel::fleet::member::Row;
use gooseberry_kernel::name;

fn row(name: &str, strength: u32) -> Row {
    Row {
        name: name::Member::new(name),
        incarnation: 1,
        beat: 1,
        address: ([10, 0, 0, 1], 80).into(),
        strength,
        is_leaving: false,
    }
}

fn first(service: &str, rows: &[Row]) -> String {
    let rows: Vec<&Row> = rows.iter().collect();
    let order = choice::order(&name::Service::new(service), &rows);
    order[0].name.to_string()
}

#[test]
fn every_daemon_makes_the_same_choice_and_services_are_spread() {
    let rows: Vec<Row> = (0..6)
        .map(|index| row(&format!("d-{index}"), 250))
        .collect();
    let mut turned = rows.clone();
    turned.reverse();
    let mut chosen: Vec<String> = Vec::new();
    for service in 0..30 {
        let service = format!("service-{service}");
        assert_eq!(first(&service, &rows), first(&service, &turned));
        chosen.push(first(&service, &rows));
    }
    chosen.sort();
    chosen.dedup();
    assert!(chosen.len() >= 4, "only {chosen:?} gather pieces");
}

#[test]
fn a_strong_daemon_goes_first_and_a_leaving_one_last() {
    let mut rows = vec![row("a", 120), row("b", 500), row("c", 120)];
    assert_eq!(first("s", &rows), "b");
    rows[1].is_leaving = true;
    assert_ne!(first("s", &rows), "b");
}
