//! Entries that another writer left in what the platform publishes: the others hold.

#![allow(missing_docs, clippy::unwrap_used)]

use gooseberry_connectors::platform::Client;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;
use gooseberry_standin::server;
use gooseberry_standin::server::Server;

const SOUND: [&str; 2] = ["t-1", "t-2"];

fn target(id: &str, address: &str, rest: &str) -> String {
    format!("{{\"id\":{id},\"pool\":\"p.q\",\"domain\":\"d\",\"address\":{address}{rest}}}")
}

/// Reads this list.
async fn read(body: Vec<u8>) -> anyhow::Result<PublishedList> {
    let handler = move |_| {
        let reply = server::answer(200, &[], body.clone());
        async move { reply }
    };
    let server = Server::start(([127, 0, 0, 1], 0).into(), handler).await?;
    let client = Client::new(server.address());
    let read = client.list(Revision(1), Millis::ZERO).await?;
    Ok(read.unwrap())
}

/// Reads a list with this target between two sound ones.
async fn read_with(entry: &[u8]) -> anyhow::Result<PublishedList> {
    let sound = |id| {
        target(
            &format!("\"{id}\""),
            "\"127.0.0.1:80\"",
            ",\"state\":\"live\"",
        )
    };
    let [first, last] = SOUND.map(|id| sound(id).into_bytes());
    let before = b"{\"revision\":7,\"instances\":[],\"targets\":[".to_vec();
    let body = [&before, &first, &b","[..], entry, b",", &last, b"]}"].concat();
    read(body).await
}

#[tokio::test]
async fn an_odd_target_in_the_list_does_not_make_the_others_unreadable() {
    let nested = format!("{}{}", "[".repeat(1_000_000), "]".repeat(1_000_000));
    let [id, address, live] = ["\"t-3\"", "\"127.0.0.1:80\"", ",\"state\":\"live\""];
    let odd = [
        nested.clone(),
        "1e400".to_owned(),
        "null".to_owned(),
        "{}".to_owned(),
        target(&nested, address, live),
        target("18446744073709551616", address, live),
        target("\"Not An Id\"", address, live),
        target("\"\\ud800\"", address, live),
        target(&format!("\"{}\"", "t".repeat(1 << 20)), address, live),
        target(id, "\"127.0.0.1:65536\"", live),
        target(id, "1e400", live),
        target(id, address, ",\"state\":\"unknown\""),
        target(id, address, ",\"state\":\"live\",\"state\":\"live\""),
        target(id, address, ""),
    ];
    let not_text = [b"\"", &[0xff; 9][..], b"\""].concat();
    for entry in odd.into_iter().map(String::into_bytes).chain([not_text]) {
        let start = String::from_utf8_lossy(&entry[..entry.len().min(90)]).into_owned();
        let list = read_with(&entry).await;
        let list = list.unwrap_or_else(|error| panic!("{start}: {error:#}"));
        let ids: Vec<&str> = list
            .targets
            .iter()
            .map(|target| target.id.as_str())
            .collect();
        assert_eq!(ids, SOUND, "{start}");
    }
}

/// Builds that differ in which daemons they can read would see two owners.
#[tokio::test]
async fn a_list_with_an_odd_daemon_is_refused_as_a_whole() {
    let body = br#"{"revision":7,"instances":[{"id":"e-1"}],"targets":[]}"#;
    assert!(read(body.to_vec()).await.is_err());
}
