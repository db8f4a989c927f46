//! The binary of the daemon.

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use gooseberry_kernel::settings;
use gooseberry_kernel::settings::Fault;
use gooseberry_kernel::settings::Faults;
use gooseberry_kernel::settings::Local;
use gooseberry_kernel::settings::LogFormat;
use gooseberry_platform::boot::Boot;
use gooseberryd::daemon::Daemon;
use gooseberryd::daemon::ShutdownOutcome;
use gooseberryd::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for settings that cannot be read or have faults.
const EXIT_BAD_SETTINGS: u8 = 2;
/// The log level with `--platform`, where no settings file names one.
const PLATFORM_LOG_LEVEL: &str = "info";
/// The exit code of a shutdown that cut requests or calls in progress.
const EXIT_CUT: u8 = 3;

/// Serves multi-stage model pipelines between callers and targets.
///
///
/// Examples:
///   gooseberryd --settings entry-1.jsonc
///   gooseberryd --settings - < entry-1.jsonc
///   gooseberryd --check --settings entry-1.jsonc
///   gooseberryd --platform
///
///
/// Exit codes:
///   0  the shutdown cut nothing, or --check found no fault
///   1  it could not start, or the command line is wrong
///   2  the settings cannot be read or have faults
///   3  the shutdown cut requests
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The settings file of this process, or - for standard input
    #[bpaf(long, argument("FILE"), fallback(PathBuf::new()))]
    settings: PathBuf,
    /// Run as a tenant of the platform, which names the settings file itself
    #[bpaf(long)]
    platform: bool,
    /// Check the settings and exit
    #[bpaf(long)]
    check: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    if options.platform {
        return run_on_platform(options.check);
    }
    if options.settings.as_os_str().is_empty() {
        eprintln!("gooseberryd: expected --settings FILE or --platform");
        return ExitCode::FAILURE;
    }
    let file = options.settings.display();
    let local = match read(&options).map(|bytes| parse(&bytes)) {
        Ok(Ok(local)) => local,
        Ok(Err(faults)) => {
            for Fault {
                path,
                line,
                message,
            } in faults.0
            {
                eprintln!("{file}:{line}: {path}: {message}");
            }
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
        Err(error) => {
            eprintln!("gooseberryd: cannot read {file}: {error:#}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if options.check {
        println!("{file}: no faults");
        return ExitCode::SUCCESS;
    }
    match run(local) {
        Ok(ShutdownOutcome::Clean) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Cut(count)) => {
            log::warn!("the shutdown cut {count} requests and calls");
            ExitCode::from(EXIT_CUT)
        }
        Err(error) => {
            eprintln!("gooseberryd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the relay with the boot file that the platform provides.
///
/// One thread is enough: the platform gives each instance a fraction of one
/// processor.
fn run_on_platform(is_check: bool) -> ExitCode {
    let boot = match Boot::load() {
        Ok(boot) => boot,
        Err(error) => {
            eprintln!("gooseberryd: {error:#}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if is_check {
        println!("{}: no faults", boot.name);
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = logs::start_nonblocking(PLATFORM_LOG_LEVEL, LogFormat::Text)
        .and_then(|()| runtime.map_err(anyhow::Error::from))
        .and_then(|runtime| runtime.block_on(gooseberry_relay::daemon::run(boot)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gooseberryd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read(options: &Options) -> std::io::Result<Vec<u8>> {
    if options.settings.as_os_str() != "-" {
        return std::fs::read(&options.settings);
    }
    let mut bytes = Vec::new();
    std::io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn parse(bytes: &[u8]) -> Result<Local, Faults> {
    Local::parse(settings::decode(bytes)?)
}

#[tokio::main]
async fn run(local: Local) -> anyhow::Result<ShutdownOutcome> {
    logs::start(&local.log_level, local.log_format)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(local).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = daemon.node_ended() => {
            log::error!("the node has ended after a panic; the process ends, to be started again");
            anyhow::bail!("the node has ended after a panic");
        }
    }
    log::info!("shutting down");
    daemon.begin_shut_down();
    let drained = daemon.drained();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            outcome = &mut drained => return Ok(outcome),
            _ = terminate.recv() => daemon.begin_shut_down(),
            _ = interrupt.recv() => daemon.begin_shut_down(),
        }
    }
}
