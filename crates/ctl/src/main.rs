//! The `gooseberryctl` binary: command line, output and exit codes.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use bpaf::Bpaf;
use gooseberry_kernel::id;
use gooseberry_standin::site::Site;
use gooseberryctl::bench_command;
use gooseberryctl::check;
use gooseberryctl::check::Role;
use gooseberryctl::embedded::Embedded;
use gooseberryctl::explain;
use gooseberryctl::explain::RequestQuery;
use gooseberryctl::load;
use gooseberryctl::load::Plan;
use gooseberryctl::load_command;
use gooseberryctl::loss::Losses;
use gooseberryctl::report;
use gooseberryctl::score;
use gooseberryctl::slope_command;
use gooseberryctl::status;
use gooseberryctl::story::Line;
use gooseberryctl::story::Story;

/// Exit code of `check` if the settings have faults.
const FAULTS: u8 = 2;

/// Exit code of `status` if the daemon does not accept requests.
const NOT_READY: u8 = 3;
/// Exit code of `explain` if the request would be refused.
const REFUSED: u8 = 4;
/// Exit code of `story` if no log line names the request.
const NOT_FOUND: u8 = 5;

/// Operates gooseberryarch: checks settings, queries daemons, runs the demo.
///
///
/// Examples:
///   gooseberryctl check examples/settings/huaraz
///   gooseberryctl status 127.0.0.1:8083
///   gooseberryctl demo --site huaraz
///
///
/// Exit codes:
///   0  done
///   1  the command failed, or the command line is wrong
///   2  check: the settings have faults
///   3  status: the daemon does not accept requests
///   4  explain: the request would be refused now
///   5  story: no log line names the request
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Check a settings file or a settings tree, and print all faults
    ///
    ///
    /// A directory is a tree: fleet.jsonc, and teams/NAME.jsonc for each team.
    ///
    ///
    /// Examples:
    ///   gooseberryctl check examples/settings/huaraz
    ///   gooseberryctl check examples/settings/entry-1.jsonc
    ///   gooseberryctl check --as team:desk - < desk.jsonc
    /// Exit codes:
    ///   0  no faults
    ///   1  something could not be read
    ///   2  faults
    #[bpaf(command)]
    Check {
        /// Kind of the file: local, fleet or team:NAME; inferred from its path otherwise
        #[bpaf(long("as"), argument("ROLE"), optional)]
        role: Option<Role>,
        /// Print one JSON object
        #[bpaf(long)]
        json: bool,
        /// A file, a directory, or - for standard input
        #[bpaf(positional("PATH"))]
        path: PathBuf,
    },
    /// Show the state of a daemon
    ///
    ///
    /// The request goes to the operators' port of the daemon.
    ///
    ///
    /// Examples:
    ///   gooseberryctl status 127.0.0.1:8083
    ///   gooseberryctl status 127.0.0.1:8083 --json
    /// Exit codes:
    ///   0  it accepts requests
    ///   1  it could not be reached
    ///   3  it does not accept requests
    #[bpaf(command)]
    Status {
        /// Print one JSON object
        #[bpaf(long)]
        json: bool,
        /// The operators' address of the daemon
        #[bpaf(positional("ADDRESS"))]
        daemon: SocketAddr,
    },
    /// Show which targets a request could go to now, and why others are excluded
    ///
    ///
    /// The output is the view of the daemon that receives the request. Only the
    /// owner of a target knows whether its right is held and how many calls the
    /// target has.
    ///
    ///
    /// Examples:
    ///   gooseberryctl explain 127.0.0.1:8083 --workspace desk.guides --pipeline route-briefing
    ///   gooseberryctl explain 127.0.0.1:8083 --workspace desk.guides \
    ///     --pipeline booking-ledger --key deposit-7
    /// Exit codes:
    ///   0  it would be served
    ///   1  the daemon could not be reached, or does not know the pipeline
    ///   4  it would be refused now
    #[bpaf(command)]
    Explain {
        /// The workspace, as team.name
        #[bpaf(long, argument("ID"))]
        workspace: id::Workspace,
        /// The pipeline
        #[bpaf(long, argument("ID"))]
        pipeline: id::Pipeline,
        /// The idempotency key
        #[bpaf(long, argument("KEY"), optional)]
        key: Option<String>,
        /// A file with the body, or - for standard input; the body is empty by default
        #[bpaf(long, argument("FILE"), optional)]
        body: Option<PathBuf>,
        /// Print one JSON object
        #[bpaf(long)]
        json: bool,
        /// The operators' address of the daemon
        #[bpaf(positional("ADDRESS"))]
        daemon: SocketAddr,
    },
    /// Show the log lines of all daemons that concern a request, ordered by time
    ///
    ///
    /// Lines marked t concern a target that the request was sent to, lines
    /// marked d a daemon that served it. The line marked g ends a stream that was
    /// late because of a pause between two events, and names the target that paused.
    ///
    ///
    /// Examples:
    ///   gooseberryctl story 9c41d07be2a35f68 daemon-1.log daemon-2.log
    ///   collect-logs | gooseberryctl story 9c41d07be2a35f68 -
    /// Exit codes:
    ///   0  the request was found
    ///   1  a log could not be read
    ///   5  no line names the request
    #[bpaf(command)]
    Story {
        /// The id of the request, as given by its client
        #[bpaf(positional("ID"))]
        request: String,
        /// Logs of daemons, or - for standard input
        #[bpaf(positional("LOG"), some("expected a log, or - for standard input"))]
        logs: Vec<PathBuf>,
    },
    /// Show how the requests that logs name ended, and why those without an answer did
    ///
    ///
    /// The counts of each route add up to its requests. The last row is the stage work
    /// that was done for them, in seconds.
    ///
    ///
    /// Examples:
    ///   gooseberryctl losses daemon-1.log daemon-2.log
    ///   collect-logs | gooseberryctl losses -
    /// Exit codes:
    ///   0  the table was printed
    ///   1  a log could not be read
    ///   5  no line names a request
    #[bpaf(command)]
    Losses {
        /// Logs of daemons, or - for standard input
        #[bpaf(positional("LOG"), some("expected a log, or - for standard input"))]
        logs: Vec<PathBuf>,
    },
    /// Run an example site on the loopback interface, under load
    #[bpaf(command)]
    Demo {
        /// The site: huaraz or wadi-rum
        #[bpaf(long, argument("SITE"), fallback("huaraz".to_owned()), display_fallback)]
        site: String,
        /// Requests per second
        #[bpaf(long, argument("N"), fallback(100), display_fallback)]
        rate: u32,
        /// Time for which requests are sent
        #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
        seconds: u64,
        /// Seed of the random arrivals
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
    },
    /// Measure the adaptive policy and the baseline in load scenarios
    ///
    /// Example: `gooseberryctl load --site huaraz --seed 1`
    #[bpaf(command)]
    Load(#[bpaf(external(load_command::options))] load_command::Options),
    /// Run the scenarios under both policies and check the bounds
    ///
    /// Example: `gooseberryctl bench --site wadi-rum`
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_command::options))] bench_command::Options),
    /// Measure how the cost of a daemon grows with the fleet
    ///
    /// Example: `gooseberryctl slope --axis daemons`
    #[bpaf(command)]
    Slope(#[bpaf(external(slope_command::options))] slope_command::Options),
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("gooseberryctl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Check { role, json, path } => check_settings(&path, role.as_ref(), json),
        Command::Status { json, daemon } => show_status(daemon, json).await,
        Command::Explain {
            workspace,
            pipeline,
            key,
            body,
            json,
            daemon,
        } => {
            let body = body.map(|file| check::read(&file)).transpose()?;
            let query = RequestQuery {
                workspace,
                pipeline,
                key,
                body: body.unwrap_or_default().into(),
            };
            show_explanation(daemon, query, json).await
        }
        Command::Story { request, logs } => show_story(&request, &logs),
        Command::Losses { logs } => show_losses(&logs),
        Command::Demo {
            site,
            rate,
            seconds,
            seed,
        } => {
            let plan = Plan {
                seed,
                rate,
                span: Duration::from_secs(seconds),
                ..Plan::default()
            };
            demo(&site, &plan).await
        }
        Command::Slope(options) => {
            slope_command::run(&options).await?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Bench(options) => Ok(exit_code(bench_command::run(&options).await?)),
        Command::Load(options) => Ok(exit_code(load_command::run(&options).await?)),
    }
}

fn check_settings(path: &Path, role: Option<&Role>, json: bool) -> anyhow::Result<ExitCode> {
    let report = check::run(path, role)?;
    let text = if json { report.json() } else { report.text() };
    print!("{text}");
    if report.findings.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(FAULTS))
    }
}

async fn show_status(daemon: SocketAddr, json: bool) -> anyhow::Result<ExitCode> {
    let status = status::fetch(daemon).await?;
    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{}", status::text(&status));
    }
    if status.ready {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(NOT_READY))
    }
}

async fn show_explanation(
    daemon: SocketAddr,
    query: RequestQuery,
    json: bool,
) -> anyhow::Result<ExitCode> {
    let explanation = explain::fetch(daemon, query).await?;
    if json {
        println!("{}", serde_json::to_string(&explanation)?);
    } else {
        print!("{}", explain::text(&explanation));
    }
    if explanation.refusal.is_none() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(REFUSED))
    }
}

fn read_logs(logs: &[PathBuf]) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for log in logs {
        let bytes = check::read(log)?;
        let name = log.display().to_string();
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(|line| Line::read(line, &name)));
    }
    Ok(lines)
}

fn show_losses(logs: &[PathBuf]) -> anyhow::Result<ExitCode> {
    let losses = Losses::count(&read_logs(logs)?);
    if losses.requests() == 0 {
        eprintln!("gooseberryctl: no line names a request");
        return Ok(ExitCode::from(NOT_FOUND));
    }
    print!("{losses}");
    Ok(ExitCode::SUCCESS)
}

fn show_story(request: &str, logs: &[PathBuf]) -> anyhow::Result<ExitCode> {
    let lines = read_logs(logs)?;
    let story = Story::find(&lines, request);
    if story.lines.is_empty() {
        eprintln!("gooseberryctl: no line names the request {request}");
        return Ok(ExitCode::from(NOT_FOUND));
    }
    print!("{story}");
    Ok(ExitCode::SUCCESS)
}

async fn demo(site: &str, plan: &Plan) -> anyhow::Result<ExitCode> {
    let site = Site::find(site).with_context(|| format!("unknown example site `{site}`"))?;
    println!(
        "{}: {} daemons, {} targets, {} requests a second for {} s, seed {}",
        site.name,
        site.daemons,
        site.groups.iter().map(|group| group.count).sum::<usize>(),
        plan.rate,
        plan.span.as_secs(),
        plan.seed
    );
    let embedded = Embedded::start(site).await?;
    println!("waiting until no call of a previous fleet can still run");
    embedded.wait_for_former_calls().await;
    let summary = load::run(&embedded, plan).await;
    let violations = score::violations(&embedded);
    embedded.shut_down().await;
    print!("{}", report::text(&summary));
    println!("violated invariants: {violations}");
    Ok(exit_code(summary.is_accounted() && violations == 0))
}

fn exit_code(is_success: bool) -> ExitCode {
    if is_success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
