//! Daemons as the platform starts them.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The daemons end with the script, also if that is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The grace of the site file, in seconds.
pub const GRACE_S: u64 = 8;

/// A daemon process, which is killed when this is dropped.
pub struct Daemon {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Where clients reach it.
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// The folder of the daemons' settings and logs, which is removed when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// Creates a temporary folder.
    pub fn new() -> Self {
        let name = format!("gooseberry-review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.0).ok();
        } else {
            eprintln!("logs in {}", self.0.display());
        }
    }
}

/// Returns free loopback addresses for this number of daemons.
fn free_ips(count: u8) -> Vec<Ipv4Addr> {
    let seed = std::process::id();
    for attempt in 0..200_u32 {
        let octet = |value: u32| u8::try_from(value % 250).unwrap_or(0) + 1;
        let (second, third) = (octet(seed / 250 + attempt), octet(seed + 7 * attempt));
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|number| Ipv4Addr::new(127, second, third, number))
            .collect();
        let is_free = |ip: &Ipv4Addr| {
            let ports = [8001, 8002, 8003, 8004, 9464];
            ports
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        };
        if ips.iter().all(is_free) {
            return ips;
        }
    }
    panic!("no loopback addresses are free");
}

/// Starts daemons, and waits until they are ready.
pub fn start(program: &Path, folder: &Folder, store: SocketAddr, zones: &[&str]) -> Vec<Daemon> {
    let ips = free_ips(u8::try_from(zones.len()).expect("few daemons"));
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("\"{ip}:8003\""))
        .collect();
    let seeds = seeds.join(",");
    let mut daemons = Vec::new();
    for (ip, zone) in ips.iter().zip(zones) {
        let name = format!("front-{zone}-{}", ip.octets()[3]);
        let text = format!(
            "node = \"{name}\"\nrole = \"daemon\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"r\"\nport_range = [8004,8010]\nseeds = [{seeds}]\nbootstrap = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{ip}:8001\"\nready = \"{ip}:8002\"\ncontrol = \"{ip}:8003\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = {GRACE_S}\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\ndowngrade_slack_ms = 250\nouter_bound_ms = 5000\n\
             strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\nretry_budget_slack = 54\ncold_overshoot = 1.5\n\
             cold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\npass_ms = 120\n\
             retry_after_s = 10\n\
             [platform]\naddress = \"{store}\"\nform = \"read\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n"
        );
        let settings = folder.0.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.0.join(format!("{name}.log"));
        let ip = IpAddr::V4(*ip);
        daemons.push(Daemon {
            child: spawn(program, &settings, &log),
            program: program.to_owned(),
            settings,
            log,
            front: (ip, 8001).into(),
            ready: (ip, 8002).into(),
        });
    }
    let limit = Instant::now() + Duration::from_secs(15);
    for daemon in &daemons {
        while !daemon.is_ready() {
            assert!(Instant::now() < limit, "a daemon does not become ready");
            thread::sleep(Duration::from_millis(50));
        }
    }
    daemons
}

/// Returns the repository's root, in which the platform starts a program.
fn root(program: &Path) -> PathBuf {
    let root = program
        .ancestors()
        .nth(3)
        .expect("the program is at target/release/");
    root.to_owned()
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    let mut command = Command::new(program);
    command
        .arg("--platform")
        .current_dir(root(program))
        .env("GOOSEBERRYARCH_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a descriptor is free"))
        .stderr(log);
    // SAFETY: between fork and exec, only one system call is made.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    let child = command.spawn();
    child.expect("the daemon's program can be started")
}

impl Daemon {
    /// Starts it again after it has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500)) else {
            return false;
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(500)))
            .ok();
        let mut connection = Connection::new(stream);
        let asked = connection.write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        asked.is_ok()
            && connection
                .read_head()
                .is_ok_and(|head| head.status() == 200)
    }

    /// Sends SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
