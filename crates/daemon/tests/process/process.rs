//! One daemon process, with its addresses and its log.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;

use gooseberry_wire::platform::Instance;
use gooseberry_wire::platform::State;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// The next port that no test of this process has used.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// A running daemon; it is killed when it is dropped.
pub struct Process {
    pub id: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub data: SocketAddr,
    pub control: SocketAddr,
    pub operators: SocketAddr,
    child: Mutex<Child>,
    log: Arc<Mutex<String>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts a daemon with its settings on standard input.
    pub fn start(id: &str, domain: &str, platform: SocketAddr) -> Self {
        let addresses = [(); 4].map(|()| address());
        Self::start_at(id, domain, platform, addresses)
    }

    /// Kills the process and starts another one at its addresses.
    pub fn restart(&self, platform: SocketAddr) -> Self {
        self.kill();
        let addresses = [self.callers, self.data, self.control, self.operators];
        Self::start_at(&self.id, &self.domain, platform, addresses)
    }

    fn start_at(id: &str, domain: &str, platform: SocketAddr, addresses: [SocketAddr; 4]) -> Self {
        let [callers, data, control, operators] = addresses;
        let settings = serde_json::json!({
            "instance": id,
            "domain": domain,
            "callers": callers,
            "data": data,
            "control": control,
            "operators": operators,
            "platform": platform,
            "log_level": "info",
            "shutdown_limit_ms": 10_000,
            "fault_injection": true,
        });
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryd"))
            .args(["--settings", "-"])
            .stdin(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdin = child.stdin.take().unwrap();
        stdin.write_all(settings.to_string().as_bytes()).unwrap();
        drop(stdin);
        let log = Arc::new(Mutex::new(String::new()));
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log_writer = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let mut log_writer = log_writer.lock().unwrap();
                log_writer.push_str(&line);
                log_writer.push('\n');
            }
        });
        Self {
            id: id.to_owned(),
            domain: domain.to_owned(),
            callers,
            data,
            control,
            operators,
            child: Mutex::new(child),
            log,
        }
    }

    /// Returns the daemon's entry in the published list.
    pub fn list_entry(&self) -> Instance {
        Instance {
            id: self.id.as_str().into(),
            domain: self.domain.as_str().into(),
            control: self.control,
            data: self.data,
            state: State::Live,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        child.kill().ok();
        child.wait().ok();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit code once the process has ended; -1 if a signal ended it.
    pub fn exit_code(&self) -> Option<i32> {
        let status = self.child.lock().unwrap().try_wait().unwrap()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child.lock().unwrap());
        kill_process(pid, signal).unwrap();
    }
}

/// Returns an address that no other test uses: each test process has its own
/// loopback address and counts its ports.
fn address() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high.wrapping_add(1), middle, low.max(1));
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::new(IpAddr::V4(ip), port)
}
