//! Stand-in for the platform: serves the list, the settings and the load
//! reports, with long polling for changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use gooseberry_wire::platform;
use gooseberry_wire::platform::Document;
use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::List;
use gooseberry_wire::platform::Load;
use gooseberry_wire::platform::Loads;
use gooseberry_wire::platform::Settings;
use gooseberry_wire::platform::State;
use gooseberry_wire::platform::Target;
use http::Request;
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::server;
use crate::server::Reply;
use crate::server::Server;

/// Injected fault of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every connection is closed without a response.
    Down,
    /// Every response is delayed by this.
    Slow(Duration),
    /// An old list and old settings are served instead of the published ones.
    Stale(Box<(List, Settings)>),
    /// An old list is served, with the published settings.
    Lagging(Box<List>),
    /// Calls are answered alternately from an old state and the published one.
    Contradicting(Box<(List, Settings)>),
}

/// A load report and the time at which it was received.
#[derive(Debug)]
struct Report {
    load: Load,
    received_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    list: List,
    settings: Settings,
    reports: Vec<Report>,
    fault: Fault,
    calls: u64,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

/// An additional address of a platform with its own fault, so that a part of
/// the fleet can be cut off. Without a fault of its own it has that of the
/// platform.
#[derive(Debug)]
pub struct Endpoint {
    fault: Arc<Mutex<Fault>>,
    shared: Arc<Shared>,
    server: Server,
}

impl Endpoint {
    /// Returns the address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches a fault on, or off with [`Fault::None`].
    pub fn set_fault(&self, fault: Fault) {
        let mut own = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        *own = fault;
        drop(own);
        self.shared.changed.send_replace(());
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts on any free port of the loopback interface.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start() -> anyhow::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await
    }

    /// Starts at an address.
    ///
    /// # Errors
    /// Returns an error if the port cannot be bound.
    pub async fn start_at(address: SocketAddr) -> anyhow::Result<Self> {
        let shared = Arc::new(Shared {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
        });
        let server = start_server(&shared, address, Arc::default()).await?;
        Ok(Self { shared, server })
    }

    /// Opens an additional address on any free port of the loopback interface.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn open_endpoint(&self) -> anyhow::Result<Endpoint> {
        let fault: Arc<Mutex<Fault>> = Arc::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = start_server(&self.shared, address, fault.clone()).await?;
        Ok(Endpoint {
            fault,
            shared: self.shared.clone(),
            server,
        })
    }

    /// Returns the address on which it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of calls received; a long poll counts as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the published list.
    #[must_use]
    pub fn list(&self) -> List {
        self.shared.lock().list.clone()
    }

    /// Returns the published settings.
    #[must_use]
    pub fn settings(&self) -> Settings {
        self.shared.lock().settings.clone()
    }

    /// Publishes a settings document under the next revision, replacing the
    /// one with the same path.
    pub fn put(&self, path: &str, text: &str) {
        self.shared.change(|inner| {
            inner.settings.revision += 1;
            let document = Document {
                path: path.to_owned(),
                revision: inner.settings.revision,
                text: text.to_owned(),
            };
            inner
                .settings
                .documents
                .retain(|document| document.path != path);
            inner.settings.documents.push(document);
        });
    }

    /// Removes a settings document under the next revision.
    pub fn remove(&self, path: &str) {
        self.shared.change(|inner| {
            inner.settings.revision += 1;
            inner
                .settings
                .documents
                .retain(|document| document.path != path);
        });
    }

    /// Publishes a changed list under the next revision.
    pub fn change_list(&self, change: impl FnOnce(&mut List)) {
        self.shared.change(|inner| {
            change(&mut inner.list);
            inner.list.revision += 1;
        });
    }

    /// Adds a daemon to the list, replacing an entry with the same id.
    pub fn add_instance(&self, instance: Instance) {
        self.change_list(|list| {
            list.instances.retain(|known| known.id != instance.id);
            list.instances.push(instance);
        });
    }

    /// Adds targets to the list under one revision.
    pub fn add_targets(&self, targets: Vec<Target>) {
        self.change_list(|list| list.targets.extend(targets));
    }

    /// Marks a target as live or leaving.
    pub fn set_target_state(&self, id: &str, state: State) {
        self.change_list(|list| {
            for target in list.targets.iter_mut().filter(|target| target.id == id) {
                target.state = state;
            }
        });
    }

    /// Marks a daemon as live or leaving.
    pub fn set_instance_state(&self, id: &str, state: State) {
        self.change_list(|list| {
            for instance in list
                .instances
                .iter_mut()
                .filter(|instance| instance.id == id)
            {
                instance.state = state;
            }
        });
    }

    /// Removes a daemon from the list.
    pub fn remove_instance(&self, id: &str) {
        self.change_list(|list| list.instances.retain(|known| known.id != id));
    }

    /// Publishes the load of a target; its age counts from now.
    pub fn report_load(&self, load: Load) {
        let mut inner = self.shared.lock();
        inner
            .reports
            .retain(|report| report.load.target != load.target);
        let received_at = Instant::now();
        inner.reports.push(Report { load, received_at });
    }

    /// Switches a fault on, or off with [`Fault::None`].
    pub fn set_fault(&self, fault: Fault) {
        self.shared.change(|inner| inner.fault = fault);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fault of the endpoint, or else that of the platform.
    fn fault(&self, endpoint_fault: &Mutex<Fault>) -> Fault {
        let own = endpoint_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match own {
            Fault::None => self.lock().fault.clone(),
            own => own,
        }
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.lock());
        self.changed.send_replace(());
    }
}

async fn start_server(
    shared: &Arc<Shared>,
    address: SocketAddr,
    endpoint_fault: Arc<Mutex<Fault>>,
) -> anyhow::Result<Server> {
    let shared = shared.clone();
    let handler = move |request| serve(shared.clone(), endpoint_fault.clone(), request);
    Server::start(address, handler).await
}

async fn serve(
    shared: Arc<Shared>,
    endpoint_fault: Arc<Mutex<Fault>>,
    request: Request<Incoming>,
) -> Reply {
    let call = {
        let mut inner = shared.lock();
        inner.calls += 1;
        inner.calls
    };
    if let Fault::Slow(delay) = shared.fault(&endpoint_fault) {
        tokio::time::sleep(delay).await;
    }
    if request.uri().path() == "/v1/loads" {
        let domain = text_parameter(&request, "domain").unwrap_or_default();
        return json(&shared.lock().loads(domain));
    }
    let after = parameter(&request, "after").unwrap_or(0);
    let wait = parameter(&request, "wait_ms").unwrap_or(0);
    let path = request.uri().path().to_owned();
    let mut changes = shared.changed.subscribe();
    let wait_for_newer = async {
        loop {
            if let Some(reply) = newer_reply(&shared, &endpoint_fault, call, &path, after) {
                return reply;
            }
            if changes.changed().await.is_err() {
                return Reply::Break;
            }
        }
    };
    let waited = tokio::time::timeout(Duration::from_millis(wait), wait_for_newer).await;
    waited.unwrap_or_else(|_| not_modified(&shared, &endpoint_fault, call, &path))
}

/// Returns a 304 response with the revision that is served.
fn not_modified(shared: &Shared, endpoint_fault: &Mutex<Fault>, call: u64, path: &str) -> Reply {
    let revision = read_served(
        shared,
        endpoint_fault,
        call,
        |list, settings, _| match path {
            "/v1/list" => list.revision,
            _ => settings.revision,
        },
    );
    match revision {
        Some(revision) => server::answer(304, &[(platform::REVISION, revision.to_string())], ""),
        None => Reply::Break,
    }
}

/// Returns the response if something newer than `after` is served, or if the
/// call cannot be answered at all.
fn newer_reply(
    shared: &Shared,
    endpoint_fault: &Mutex<Fault>,
    call: u64,
    path: &str,
    after: u64,
) -> Option<Reply> {
    let found = read_served(shared, endpoint_fault, call, |list, settings, is_old| {
        // A platform that reverted to an old state does not know the newer
        // revisions, so it also answers a client whose revision is ahead of its
        // own.
        let is_due = |revision: u64| revision > after || (is_old && revision < after);
        match path {
            "/v1/list" => is_due(list.revision).then(|| json(list)),
            "/v1/settings" => is_due(settings.revision).then(|| json(settings)),
            _ => Some(server::answer(404, &[], "")),
        }
    });
    found.unwrap_or(Some(Reply::Break))
}

/// Calls `read` with the list and the settings that are served now and with
/// whether they are old. Returns `None` if the platform is down.
fn read_served<T>(
    shared: &Shared,
    endpoint_fault: &Mutex<Fault>,
    call: u64,
    read: impl FnOnce(&List, &Settings, bool) -> T,
) -> Option<T> {
    let fault = shared.fault(endpoint_fault);
    let inner = shared.lock();
    let published = (&inner.list, &inner.settings, false);
    let (list, settings, is_old) = match &fault {
        Fault::Down => return None,
        Fault::Stale(old) => (&old.0, &old.1, true),
        Fault::Contradicting(old) if call.is_multiple_of(2) => (&old.0, &old.1, true),
        Fault::Lagging(old) => (&**old, &inner.settings, true),
        Fault::None | Fault::Slow(_) | Fault::Contradicting(_) => published,
    };
    Some(read(list, settings, is_old))
}

fn json(value: &impl serde::Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => server::answer(
            200,
            &[("content-type", "application/json".to_owned())],
            body,
        ),
        Err(_) => Reply::Break,
    }
}

impl Inner {
    fn loads(&self, domain: &str) -> Loads {
        let is_in_domain = |report: &&Report| {
            let mut targets = self.list.targets.iter();
            targets.any(|target| target.id == report.load.target && target.domain == domain)
        };
        let with_age = |report: &Report| {
            let age = u64::try_from(report.received_at.elapsed().as_millis());
            let mut load = report.load.clone();
            load.age_ms += age.unwrap_or(u64::MAX);
            load
        };
        let in_domain = self.reports.iter().filter(is_in_domain);
        Loads {
            loads: in_domain.map(with_age).collect(),
        }
    }
}

fn parameter(request: &Request<Incoming>, name: &str) -> Option<u64> {
    text_parameter(request, name)?.parse().ok()
}

fn text_parameter<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    Some(found.next()?.1)
}

/// Returns the list entry of a live target.
#[must_use]
pub fn live_target(id: &str, pool: &str, domain: &str, address: SocketAddr) -> Target {
    Target {
        id: id.into(),
        pool: pool.into(),
        domain: domain.into(),
        address,
        state: platform::State::Live,
    }
}
