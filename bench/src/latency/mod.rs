//! What the layer adds to an answer, carries on a core and costs in memory.
//!
//! Nodes are processes of their own; engines and callers share this one, so
//! that a token's age is read on one clock. The same callers go straight to the
//! engines in the same run. See docs/measurements.md for recorded runs.

mod stream;
mod usage;

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use chivevalve::adapter::Adapter;
use chivevalve::declaration::SourceFile;
use chivevalve::ports::{Engine, Fence};
use chivevalve_standins::caller::Caller;
use chivevalve_standins::engine;
use chivevalve_standins::fleet;
use chivevalve_standins::platform::{Plan, Platform};
use chivevalve_standins::traffic::key;
use eyre::{Result, eyre};
use http_body_util::BodyExt;
use lexopt::prelude::*;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::Verdict;
use crate::report::{self, Format, Table};
use crate::site::Site;
use stream::{Streams, Target};

const HELP: &str = "\
Usage: chivevalve-bench latency [OPTIONS]

Measures real daemons between callers and stand-in engines, side by side with the
same callers straight at the engines. Needs chivevalved beside it:
cargo build --release -p chivevalve-cli

  --streams N,N    open streams [default: 1,100,1000]
  --nodes N,N      daemons; each number with the most streams [default: 1,2,4,8]
  --seconds N      length of each measurement [default: 6]
  --format FORMAT  table or json [default: table]
  --seed N         taken for the sake of likeness; nothing is drawn
";

/// Engines, each with steps of its own.
const ENGINES: usize = 16;
/// Templates, each with an adapter of its own.
const TEMPLATES: usize = 32;
/// Time of an engine's step: 1,000 streams make 20,000 tokens a second.
const STEP: Duration = Duration::from_millis(50);
/// Time of a step while short requests are measured.
const SHORT_STEP: Duration = Duration::from_millis(1);
/// Tokens of an answer.
const TOKENS: u32 = 200;
/// Tokens of a short answer, the fewest that carry a time.
const SHORT_TOKENS: u32 = 4;
/// Callers of short requests.
const SHORT_CALLERS: usize = 64;
/// Connections whose memory is measured.
const CONNECTIONS: usize = 1_000;
/// Time for streams to run evenly.
const WARM_UP: Duration = Duration::from_secs(3);
/// How long nodes may take to settle.
const START: Duration = Duration::from_mins(1);
const SETTINGS: &str = "limits:\n  drain_grace_ms: 100\npolicy:\n  loads_per_kilosecond: 1000000\n";
const ACCOUNT: &str = "shops";

struct Options {
    streams: Vec<usize>,
    nodes: Vec<usize>,
    span: Duration,
    format: Format,
}

/// One measurement.
#[derive(Debug, Serialize)]
struct Row {
    case: &'static str,
    /// 0 is straight at the engines.
    nodes: usize,
    streams: usize,
    tokens_per_second: f64,
    /// Age of a token at its caller, in microseconds.
    token_p50_us: u64,
    token_p99_us: u64,
    first_p50_us: u64,
    first_p99_us: u64,
    requests_per_second: f64,
    failed: u64,
    /// Cores that all nodes used together.
    cores: f64,
    /// Tokens that a node's core carries in a second.
    tokens_per_core: f64,
    /// What an open stream adds to the nodes' memory, in bytes.
    bytes_per_stream: f64,
}

/// All measurements.
#[derive(Debug, Serialize)]
struct Outcome {
    rows: Vec<Row>,
    /// What an idle connection of a caller adds to a node's memory, in bytes.
    bytes_per_connection: f64,
    load_average: String,
}

/// Runs the campaign.
pub fn run(parser: &mut lexopt::Parser) -> Result<Verdict> {
    let Some(options) = options(parser)? else {
        print!("{HELP}");
        return Ok(Verdict::Kept);
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let outcome = runtime.block_on(campaign(&options))?;
    report::print(options.format, &outcome, table)?;
    Ok(Verdict::Kept)
}

fn options(parser: &mut lexopt::Parser) -> Result<Option<Options>> {
    let mut options = Options {
        streams: vec![1, 100, 1_000],
        nodes: vec![1, 2, 4, 8],
        span: Duration::from_secs(6),
        format: Format::default(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("help") | Short('h') => return Ok(None),
            Long("streams") => options.streams = numbers(&parser.value()?.string()?)?,
            Long("nodes") => options.nodes = numbers(&parser.value()?.string()?)?,
            Long("seconds") => options.span = Duration::from_secs(parser.value()?.parse()?),
            Long("format") => options.format = parser.value()?.string()?.parse()?,
            Long("seed") => drop(parser.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

fn numbers(text: &str) -> Result<Vec<usize>> {
    text.split(',').map(|number| Ok(number.parse()?)).collect()
}

async fn campaign(options: &Options) -> Result<Outcome> {
    let load_average = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let mut rows = Vec::new();
    let direct = Bench::direct(STEP).await?;
    for streams in &options.streams {
        rows.push(direct.streams("streams", *streams, options.span).await);
    }
    drop(direct);
    let direct = Bench::direct(SHORT_STEP).await?;
    rows.push(direct.short(options.span).await);
    drop(direct);
    let most = options.streams.iter().copied().max().unwrap_or(1);
    let mut bytes_per_connection = 0.0;
    for nodes in &options.nodes {
        let bench = Bench::nodes(*nodes, STEP).await?;
        if *nodes == 1 {
            bytes_per_connection = bench.connections().await?;
            for streams in &options.streams {
                rows.push(bench.streams("streams", *streams, options.span).await);
            }
        } else {
            rows.push(bench.streams("streams", most, options.span).await);
        }
        drop(bench);
        let bench = Bench::nodes(*nodes, SHORT_STEP).await?;
        rows.push(bench.short(options.span).await);
    }
    Ok(Outcome {
        rows,
        bytes_per_connection,
        load_average: load_average.trim().to_owned(),
    })
}

/// What is measured: engines, and nodes before them or none.
struct Bench {
    /// Holds the engines while there are no nodes.
    _platform: Option<Platform>,
    site: Option<Arc<Site>>,
    caller: Caller,
    targets: Vec<Target>,
}

impl Bench {
    async fn platform(step: Duration) -> Result<Platform> {
        let plan = Plan {
            pools: vec![
                format!("engines=engine:{ENGINES}")
                    .parse()
                    .map_err(|told: String| eyre!(told))?,
            ],
            engine: engine::Shape {
                slots: 8,
                batch: 128,
                step_us: u64::try_from(step.as_micros())?,
                step_per_request_us: 0,
                prefill_us: 0,
                stamps: true,
            },
            load: Duration::from_millis(1),
            ..Plan::default()
        };
        Ok(Platform::start(&plan).await?)
    }

    async fn direct(step: Duration) -> Result<Self> {
        let platform = Self::platform(step).await?;
        let mut targets = Vec::new();
        for (number, unit) in platform.engines.values().enumerate() {
            let adapter = Adapter {
                base_model: "base-1".into(),
                name: format!("a{number}").into(),
                version: "1".into(),
            };
            let load = Engine::load(&*unit.standin, &adapter, Fence { token: 0 });
            load.await.map_err(|failure| eyre!("{failure}"))?;
            targets.push(Target {
                address: unit.server.addr(),
                model: adapter.engine_name(),
            });
        }
        Ok(Self {
            _platform: Some(platform),
            site: None,
            caller: Caller::new(&key(ACCOUNT)),
            targets,
        })
    }

    async fn nodes(count: usize, step: Duration) -> Result<Self> {
        let site = Site::start(Self::platform(step).await?, count, SETTINGS).await?;
        let first = &site.slots[0].node;
        fleet::wait_alive(first, START)
            .await
            .map_err(|told| eyre!(told))?;
        fleet::apply(first, &[declarations()], "the bench begins")
            .await
            .map_err(|told| eyre!(told))?;
        let nodes: Vec<_> = site.slots.iter().map(|slot| slot.node.clone()).collect();
        fleet::settle(&nodes, ENGINES, START)
            .await
            .map_err(|told| eyre!(told))?;
        let targets = (0..TEMPLATES.max(count))
            .map(|number| Target {
                address: nodes[number % count].callers,
                model: format!("t{}", number % TEMPLATES),
            })
            .collect();
        Ok(Self {
            _platform: None,
            site: Some(site),
            caller: Caller::new(&key(ACCOUNT)),
            targets,
        })
    }

    fn processes(&self) -> Vec<u32> {
        let slots = self.site.iter().flat_map(|site| &site.slots);
        slots.filter_map(Site::id).collect()
    }

    fn processor(&self) -> Duration {
        self.processes()
            .into_iter()
            .filter_map(usage::processor)
            .sum()
    }

    #[allow(clippy::cast_precision_loss, reason = "sizes far below 2^52 bytes")]
    fn memory(&self) -> f64 {
        let bytes: u64 = self.processes().into_iter().filter_map(usage::memory).sum();
        bytes as f64
    }

    async fn streams(&self, case: &'static str, count: usize, span: Duration) -> Row {
        let memory = self.memory();
        let open = Streams::open(&self.caller, &self.targets, count, TOKENS).await;
        sleep(WARM_UP).await;
        let memory = self.memory() - memory;
        let row = self.measure(case, &open, count, span).await;
        open.close().await;
        sleep(Duration::from_secs(1)).await;
        Row {
            bytes_per_stream: memory / to_float(count as u64),
            ..row
        }
    }

    async fn short(&self, span: Duration) -> Row {
        let open = Streams::open(&self.caller, &self.targets, SHORT_CALLERS, SHORT_TOKENS).await;
        sleep(WARM_UP).await;
        let row = self
            .measure("short requests", &open, SHORT_CALLERS, span)
            .await;
        open.close().await;
        row
    }

    async fn measure(
        &self,
        case: &'static str,
        open: &Streams,
        streams: usize,
        span: Duration,
    ) -> Row {
        let before = self.processor();
        let (seen, tokens) = open.measure(span).await;
        let used = self.processor().saturating_sub(before);
        let cores = used.as_secs_f64() / span.as_secs_f64();
        let tokens_per_second = to_float(tokens) / span.as_secs_f64();
        Row {
            case,
            nodes: self.processes().len(),
            streams,
            tokens_per_second,
            token_p50_us: seen.token.value_at_quantile(0.5),
            token_p99_us: seen.token.value_at_quantile(0.99),
            first_p50_us: seen.first.value_at_quantile(0.5),
            first_p99_us: seen.first.value_at_quantile(0.99),
            requests_per_second: to_float(seen.first.len()) / span.as_secs_f64(),
            failed: seen.failed,
            cores,
            tokens_per_core: if cores > 0.0 {
                tokens_per_second / cores
            } else {
                0.0
            },
            bytes_per_stream: 0.0,
        }
    }

    /// Measures what an idle connection costs a node, after it has carried a request.
    async fn connections(&self) -> Result<f64> {
        let address = self.targets[0].address;
        let before = self.memory();
        let mut open = Vec::new();
        for _ in 0..CONNECTIONS {
            open.push(idle(address).await?);
        }
        sleep(Duration::from_secs(1)).await;
        let added = self.memory() - before;
        drop(open);
        sleep(Duration::from_secs(1)).await;
        Ok(added / to_float(CONNECTIONS as u64))
    }
}

/// Opens a connection, makes one call on it and leaves it open.
async fn idle(
    address: std::net::SocketAddr,
) -> Result<hyper::client::conn::http1::SendRequest<String>> {
    let stream = TcpStream::connect(address).await?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    let request = http::Request::get("/v1/models")
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {}", key(ACCOUNT)))
        .body(String::new())?;
    sender.send_request(request).await?.collect().await?;
    Ok(sender)
}

fn declarations() -> SourceFile {
    let digest = chivevalve::secret::digest(key(ACCOUNT).as_bytes());
    let digest = chivevalve::secret::digest_to_hex(&digest);
    let mut text = format!(
        "accounts:\n- {{name: {ACCOUNT}, key_digests: [{digest}]}}\npools:\n\
         - {{name: engines, kind: engine, base_model: base-1, slots: 8, batch: 128}}\ntemplates:\n"
    );
    for number in 0..TEMPLATES {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "- {{account: {ACCOUNT}, name: t{number}, pool: engines, adapter: a{number}, \
             version: '1', class: normal, idempotent: true}}"
        );
    }
    SourceFile {
        name: "bench.yaml".into(),
        text,
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn to_float(number: u64) -> f64 {
    number as f64
}

fn table(outcome: &Outcome) -> String {
    let mut table = Table::new(&[
        "case",
        "nodes",
        "streams",
        "tokens/s",
        "token p50 ms",
        "p99 ms",
        "first p50 ms",
        "p99 ms",
        "requests/s",
        "failed",
        "node cores",
        "tokens/s a core",
        "KiB a stream",
    ]);
    let ms = |us: u64| format!("{:.2}", to_float(us) / 1_000.0);
    for row in &outcome.rows {
        table.row(vec![
            row.case.to_owned(),
            if row.nodes == 0 {
                "direct".to_owned()
            } else {
                row.nodes.to_string()
            },
            row.streams.to_string(),
            format!("{:.0}", row.tokens_per_second),
            ms(row.token_p50_us),
            ms(row.token_p99_us),
            ms(row.first_p50_us),
            ms(row.first_p99_us),
            format!("{:.0}", row.requests_per_second),
            row.failed.to_string(),
            format!("{:.2}", row.cores),
            format!("{:.0}", row.tokens_per_core),
            format!("{:.1}", row.bytes_per_stream / 1024.0),
        ]);
    }
    format!(
        "{}\nKiB an idle connection: {:.1}\nload average at the start: {}\n",
        table.render(),
        outcome.bytes_per_connection / 1024.0,
        outcome.load_average
    )
}
