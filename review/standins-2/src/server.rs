//! A stand-in for the platform's servers.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// How often a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a server says of itself.
#[derive(Clone, Debug)]
pub struct About {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// The Unix millisecond of its start.
    pub born: u128,
    /// Its state.
    pub state: String,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// Whether it writes its entry.
    pub is_writing: bool,
    /// Further header lines of all its answers.
    pub headers: String,
    /// How many requests it works on at once.
    pub slots: u32,
}

struct State {
    about: About,
    seq: u64,
    is_up: bool,
    sockets: Vec<TcpStream>,
    /// When requests arrived that name this server, or no server.
    arrivals: Vec<(u64, String)>,
}

/// Runs one request on a connection.
pub type Handler = dyn Fn(&Server, &Message, &mut Connection) -> io::Result<()> + Send + Sync;

/// A server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
    handler: Arc<Handler>,
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

impl Server {
    /// Starts a server, which registers itself.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        handler: Arc<Handler>,
    ) -> Self {
        let about = About {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: version.to_owned(),
            born: unix_ms(),
            state: "ready".to_owned(),
            cold_until: None,
            is_writing: true,
            headers: String::new(),
            slots: 48,
        };
        Self::start_as(store, record, about, handler)
    }

    /// Starts a server of version `v1` with this number of slots.
    pub fn start_with_slots(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        handler: Arc<Handler>,
    ) -> Self {
        let about = About {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            born: unix_ms(),
            state: "ready".to_owned(),
            cold_until: None,
            is_writing: true,
            headers: String::new(),
            slots,
        };
        Self::start_as(store, record, about, handler)
    }

    fn start_as(store: &Store, record: &Record, about: About, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let server = Self {
            address,
            store: store.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                about,
                seq: 0,
                is_up: true,
                sockets: Vec::new(),
                arrivals: Vec::new(),
            })),
            handler,
        };
        server.write_entry();
        server.listen(listener);
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.write_entry();
            }
        });
        server
    }

    /// Returns what it says of itself.
    pub fn about(&self) -> About {
        self.state.lock().expect("not poisoned").about.clone()
    }

    /// Changes what it says of itself, and writes its entry.
    pub fn change(&self, change: impl FnOnce(&mut About)) {
        change(&mut self.state.lock().expect("not poisoned").about);
        self.write_entry();
    }

    /// Returns the times and attempts of the requests that reached it.
    pub fn arrivals(&self) -> Vec<(u64, String)> {
        self.state.lock().expect("not poisoned").arrivals.clone()
    }

    /// Crashes it: its port is closed, and so are all its channels.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.is_up = false;
        self.record.add(format!(
            "server {} {} crashes",
            state.about.id, state.about.version
        ));
        for socket in state.sockets.drain(..) {
            socket.shutdown(std::net::Shutdown::Both).ok();
        }
    }

    /// Starts it again under its id, at its address, as a new run.
    pub fn start_again(&self, change: impl FnOnce(&mut About)) {
        // The accept loop drops its listener within some milliseconds.
        thread::sleep(Duration::from_millis(50));
        {
            let mut state = self.state.lock().expect("not poisoned");
            state.about.born = unix_ms();
            state.seq = 0;
            state.is_up = true;
            change(&mut state.about);
            let about = &state.about;
            self.record.add(format!(
                "server {} starts again, version {}",
                about.id, about.version
            ));
        }
        // It registers itself before it serves, if the store answers.
        self.write_entry();
        let listener = TcpListener::bind(self.address).expect("its port is free");
        self.listen(listener);
    }

    fn write_entry(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        if !state.is_up || !state.about.is_writing {
            return;
        }
        state.seq += 1;
        let (seq, about) = (state.seq, &state.about);
        let cold = about.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{}\",\"cold_left_ms\":{},\"born\":{},\"seq\":{seq}}}",
            about.service,
            self.address,
            about.zone,
            about.version,
            about.slots,
            about.state,
            cold.as_millis(),
            about.born
        );
        self.store.put(&format!("servers/{}", about.id), &entry);
    }

    fn listen(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket option");
        let server = self.clone();
        thread::spawn(move || {
            while server.state.lock().expect("not poisoned").is_up {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("a socket option");
                        let socket = stream.try_clone().expect("a descriptor is free");
                        server
                            .state
                            .lock()
                            .expect("not poisoned")
                            .sockets
                            .push(socket);
                        let server = server.clone();
                        thread::spawn(move || server.serve(Connection::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_request() {
            let id = self.about().id;
            let expected = request.header("Expect-Instance");
            let served = if !expected.is_empty() && expected != id {
                let header = format!("Instance-Id: {id}\r\n");
                connection.answer("421 Misdirected Request", &header, "")
            } else {
                let attempt = request.header("Attempt-Id").to_owned();
                if !attempt.is_empty() {
                    let at = self.record.ms();
                    let mut state = self.state.lock().expect("not poisoned");
                    state.arrivals.push((at, attempt));
                }
                (self.handler)(self, &request, &mut connection)
            };
            if served.is_err() {
                return;
            }
        }
    }

    /// Returns the header lines of a success.
    pub fn success_headers(&self, request: &Message) -> String {
        let attempt = request.header("Attempt-Id");
        let headers = self.about().headers;
        format!("Attempt-Id: {attempt}\r\nResponse-Seal: 3e1b.{attempt}\r\n{headers}")
    }
}

/// Answers with a stream of events after `Last-Event-Id`, each of which names its server and
/// the version of the server's software.
pub fn stream_events(
    server: &Server,
    request: &Message,
    connection: &mut Connection,
    events: u64,
    interval: Duration,
) -> io::Result<()> {
    let about = server.about();
    let after: u64 = request.header("Last-Event-Id").parse().unwrap_or(0);
    let headers = server.success_headers(request);
    connection.write(&format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))?;
    for event in after + 1..=events {
        thread::sleep(interval);
        let text = format!("id: {event}\ndata: {} {}\n\n", about.id, about.version);
        connection.chunk(&text)?;
    }
    connection.end_chunks()
}
