//! Faulty targets that send bytes without end.

use std::time::Duration;

use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;

use crate::platform::TestPlatform;

pub const LONG_LINE: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
pub const HEAD_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nX-Long: ",
    LONG_LINE,
);
pub const INTERIM_HEADS: Bytes = endless(
    "",
    "HTTP/1.1 102 Processing\r\nX-Long: 0123456789abcdef\r\n\r\n",
);
pub const BODY_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n",
    LONG_LINE,
);
pub const ERROR_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 500 Error\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n",
    LONG_LINE,
);
pub const REFUSAL_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n\r\n",
    LONG_LINE,
);
pub const CHUNKS_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "10\r\n0123456789abcdef\r\n",
);
pub const TRAILERS_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Long: 0123456789abcdef\r\n",
);
pub const CHUNK_SIZE_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0000000000000000000000000000000000000000000000000000000000000000",
);
pub const CHUNK_EXTENSION_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    LONG_LINE,
);
pub const COMMENTS_WITHOUT_END: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n",
    ": 0123456789abcdef\n\n",
);
pub const COMMENTS_AFTER_AN_EVENT: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\nid: 1\ndata: 1\n\n",
    ": 0123456789abcdef\n\n",
);
pub const SLOW_COMMENTS: Bytes = Bytes {
    pause: Duration::from_millis(10),
    ..COMMENTS_AFTER_AN_EVENT
};
pub const NO_HTTP: Bytes = endless("", LONG_LINE);
pub const SLOW_HEAD: Bytes = Bytes {
    pause: Duration::from_millis(10),
    ..endless("HTTP/1.1 200 OK\r\nX-Long: ", "0")
};
pub const BYTES_AFTER_THE_ANSWER: Bytes = endless(
    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok",
    LONG_LINE,
);

pub const SLOW_BODY: Bytes = Bytes {
    pause: Duration::from_millis(10),
    ..BODY_WITHOUT_END
};
pub const LATER_BYTES: Bytes = Bytes {
    pause: Duration::from_millis(50),
    ..BYTES_AFTER_THE_ANSWER
};

pub const fn endless(first: &'static str, repeated: &'static str) -> Bytes {
    Bytes {
        first,
        repeated,
        pause: Duration::ZERO,
    }
}

/// Replaces the first target of a service by a faulty one.
pub async fn replace(
    platform: &TestPlatform,
    name: &str,
    service: &str,
    bytes: Bytes,
) -> EndlessTarget {
    let target = EndlessTarget::start(name, bytes).await;
    let zone = if name.ends_with('1') { "z-1" } else { "z-2" };
    platform
        .store
        .put(&format!("servers/{name}"), &target.entry(service, zone));
    target
}

/// Replaces a target by a faulty one that takes many requests at once.
pub async fn replace_large(
    platform: &TestPlatform,
    name: &str,
    service: &str,
    bytes: Bytes,
) -> EndlessTarget {
    let target = replace(platform, name, service, bytes).await;
    let entry = target.entry(service, "z-1");
    let entry = entry.replace("\"slots\":8", "\"slots\":200");
    platform.store.put(&format!("servers/{name}"), &entry);
    target
}

/// Returns a success with these headers and this body.
pub fn success(headers: &str, body: &str) -> &'static str {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n";
    format!("{head}{headers}\r\n{body}").leak()
}

/// Returns a success with an event of this size, which goes on slowly and has no end.
pub fn held_event(size: usize) -> Bytes {
    Bytes {
        pause: Duration::from_millis(50),
        ..endless(success("", &format!("data: {}", "x".repeat(size))), "x")
    }
}

/// Returns an answer of this size, which a sound target sends.
pub fn sound_answer(size: usize) -> Bytes {
    let length = format!("Content-Length: {size}\r\n");
    endless(success(&length, &"x".repeat(size)), "")
}
