//! Counters and histograms, one registry a node.
//!
//! Label sets are bounded: codes, classes, reasons and fates are enumerations;
//! no account, adapter, template or request id is ever a label.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::clock::Millis;
use crate::request::Class;

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 6.0, 15.0, 60.0,
];

/// All of a node's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended: `code` is 0 for a whole answer.
    pub requests: IntCounterVec,
    /// Refused or failed requests, by the code that the caller saw.
    pub refusals: IntCounterVec,
    /// Attempts after the first, by the code of the attempt before.
    pub retries: IntCounterVec,
    /// Retries that weren't made, by what forbade them.
    pub retries_denied: IntCounterVec,
    /// Answers dropped because they matched no request, by reason.
    pub dropped_answers: IntCounterVec,
    /// Time in an upstream's queue, by class.
    pub queue_wait: HistogramVec,
    /// Time that a request waited for its adapter's load, by class.
    pub load_wait: HistogramVec,
    /// Time to the first piece of an answer, by class.
    pub first_token: HistogramVec,
    /// Time between pieces of an answer.
    pub between_tokens: Histogram,
    /// Requests that waited for a load.
    pub stalls: IntCounter,
    /// Adapter loads by how they ended, as whoever asked for them saw it.
    pub loads: IntCounterVec,
    /// Adapters evicted.
    pub evictions: IntCounter,
    /// Pieces of answers passed on.
    pub tokens: IntCounter,
    /// Bytes of control traffic, by `sent` or `received`.
    pub control_bytes: IntCounterVec,
    /// Calls to the key-value service, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Time that calls to the key-value service take, by call.
    pub store_seconds: HistogramVec,
    /// The longest pause between two pieces of an answer, by where the answer was written.
    pub longest_pause: HistogramVec,
    /// Runs that an engine was asked to move to another, by outcome.
    pub handovers: IntCounterVec,
    /// Questions to the owners of engines for a request's place, by answer.
    pub admissions: IntCounterVec,
    /// Requests that upstreams rejected, by status and whether their owner had counted them.
    pub upstream_rejections: IntCounterVec,
    /// Requests that this node, which counts for the upstream, didn't admit because the upstream
    /// would probably have rejected them.
    pub requests_withheld: IntCounter,
    /// Changes of the key-value service, by whom this node heard of them from.
    pub updates: IntCounterVec,
    /// Changes of the key-value service that were left aside, by reason.
    pub updates_refused: IntCounterVec,
    /// Requests sent to upstreams that were missing from the list.
    pub doubted_sends: IntCounter,
    /// Updates that weren't passed on to nodes that listen, or would, by reason.
    pub updates_unsent: IntCounterVec,
    /// Orders to engines, by action and outcome.
    pub orders: IntCounterVec,
    /// Engines whose orders this node took over, by what became of the previous owner.
    pub takeovers: IntCounterVec,
    /// Claims that this node released, by outcome.
    pub releases: IntCounterVec,
    /// Rounds of asking other nodes to extend the lease, by outcome.
    pub extensions: IntCounterVec,
    /// Requests in progress at this node.
    pub in_flight: IntGauge,
    /// Callers' connections.
    pub connections: IntGauge,
    /// Revision of the configuration in force.
    pub revision: IntGauge,
    /// Milliseconds since the revision was last confirmed to be the newest.
    pub revision_age_ms: IntGauge,
    /// Milliseconds since all changes were last known, from the service or another node.
    pub view_age_ms: IntGauge,
    /// Upstreams by state, as this node sees them.
    pub upstreams: IntGaugeVec,
    /// Connections through other nodes that this node asked for, by outcome.
    pub tunnels: IntCounterVec,
    /// Requests sent through other nodes.
    pub tunneled_sends: IntCounter,
    /// Connections that other nodes asked this one for, by outcome.
    pub tunnels_requested: IntCounterVec,
    /// Connections that this node holds open for other nodes.
    pub tunnels_served: IntGauge,
    /// Pools of which this node reaches no upstream.
    pub pools_cut_off: IntGauge,
    /// Requests whose body found no room, by whether it was incomplete already.
    pub bodies_refused: IntCounterVec,
    /// Bytes that request bodies take.
    pub body_bytes: IntGauge,
    /// Responses that found no room, by whether they were incomplete already.
    pub responses_refused: IntCounterVec,
    /// Bytes that responses take which are read whole.
    pub response_bytes: IntGauge,
    /// Connections of callers that were closed unread, by what the node has too much of.
    pub connections_closed_unread: IntCounterVec,
    /// Times that the port for callers was closed, by what the node has too much of.
    pub port_closed: IntCounterVec,
    /// Milliseconds by which this node is late with everything, by what is late.
    pub delay_ms: IntGaugeVec,
    /// Pools whose upstreams run several software versions.
    pub mixed_pools: IntGauge,
    /// Streams that callers resume, by how this node learned where they began.
    pub resumed_streams: IntCounterVec,
    /// Origins of streams that were sent to other nodes, by outcome.
    pub origins_sent: IntCounterVec,
    /// Upstreams that this node owns.
    pub owned: IntGauge,
    /// Nodes that this node knows of, itself included.
    pub nodes: IntGauge,
    /// Upstreams that ended under requests of this node.
    pub upstream_ends: IntCounter,
    /// Requests of this node at upstreams that ended, by how strongly they are suspected.
    pub crash_suspects: IntCounterVec,
    /// Checks whether an upstream ended under requests of this node.
    pub upstream_checks: IntCounter,
    /// Requests that are no longer sent, as upstreams ended under them.
    pub quarantined: IntGauge,
    /// Prompt parts that are no longer sent, as upstreams ended under requests with them.
    pub quarantined_parts: IntGauge,
    /// Requests that were sent to find out whether blamed prompt parts still end upstreams.
    pub quarantine_trials: IntCounter,
    /// Rare events of membership and ownership, by kind.
    pub events: IntCounterVec,
}

impl Metrics {
    /// Makes the metrics of one node, all at zero.
    ///
    /// # Panics
    ///
    /// When two metrics share a name, which a test would show.
    #[must_use]
    #[allow(clippy::too_many_lines, reason = "a plain list, one metric a line")]
    pub fn new() -> Self {
        let registry = Registry::new();
        let maker = Maker {
            registry: &registry,
        };
        Self {
            requests: maker.counters(
                "requests_total",
                "Requests ended, by code (0 is a whole answer) and class.",
                &["code", "class"],
            ),
            refusals: maker.counters(
                "refusals_total",
                "Requests that ended without a whole answer, by code and fate.",
                &["code", "fate"],
            ),
            retries: maker.counters(
                "retries_total",
                "Attempts after the first, by the failure before.",
                &["reason"],
            ),
            retries_denied: maker.counters(
                "retries_denied_total",
                "Retries that were not made, by what forbade them.",
                &["reason"],
            ),
            dropped_answers: maker.counters(
                "dropped_answers_total",
                "Answers that matched no request.",
                &["reason"],
            ),
            queue_wait: maker.histograms(
                "queue_wait_seconds",
                "Time in an upstream's queue.",
                &["class"],
            ),
            load_wait: maker.histograms(
                "load_wait_seconds",
                "Time that a request waited for its adapter.",
                &["class"],
            ),
            first_token: maker.histograms(
                "first_token_seconds",
                "Time to the first piece of an answer.",
                &["class"],
            ),
            between_tokens: maker.histogram(
                "between_tokens_seconds",
                "Time between pieces of an answer.",
            ),
            stalls: maker.counter("load_stalls_total", "Requests that waited for a load."),
            loads: maker.counters(
                "adapter_loads_total",
                "Adapter loads, by how they ended.",
                &["outcome"],
            ),
            evictions: maker.counter("adapter_evictions_total", "Adapters evicted."),
            tokens: maker.counter("answer_pieces_total", "Pieces of answers passed on."),
            control_bytes: maker.counters(
                "control_bytes_total",
                "Bytes of control traffic between nodes.",
                &["direction"],
            ),
            store_calls: maker.counters(
                "store_calls_total",
                "Calls to the key-value service.",
                &["call", "outcome"],
            ),
            store_seconds: maker.histograms(
                "store_call_seconds",
                "Time that calls to the key-value service take.",
                &["call"],
            ),
            longest_pause: maker.histograms(
                "longest_pause_seconds",
                "The longest pause within an answer, by where it was written.",
                &["written"],
            ),
            handovers: maker.counters(
                "handovers_total",
                "Runs that an engine was asked to move to another.",
                &["outcome"],
            ),
            admissions: maker.counters(
                "admissions_total",
                "Questions to the owners of engines for a request's place, by answer.",
                &["answer"],
            ),
            upstream_rejections: maker.counters(
                "upstream_rejections_total",
                "Requests that upstreams rejected, by status and whether an owner had counted them.",
                &["status", "counted"],
            ),
            requests_withheld: maker.counter(
                "requests_withheld_total",
                "Requests not admitted as their upstream would probably have rejected them.",
            ),
            updates: maker.counters(
                "updates_total",
                "Answers that told of changes of the key-value service, by source.",
                &["source"],
            ),
            updates_refused: maker.counters(
                "updates_refused_total",
                "Updates and changes of the key-value service that were left aside, by reason.",
                &["reason"],
            ),
            doubted_sends: maker.counter(
                "doubted_sends_total",
                "Requests sent to upstreams that were missing from the list.",
            ),
            updates_unsent: maker.counters(
                "updates_unsent_total",
                "Updates that were not passed on to nodes that listen, or would, by reason.",
                &["reason"],
            ),
            orders: maker.counters(
                "orders_total",
                "Orders to engines, by action and outcome.",
                &["action", "outcome"],
            ),
            takeovers: maker.counters(
                "takeovers_total",
                "Engines taken over, by what became of the previous owner.",
                &["former"],
            ),
            releases: maker.counters(
                "claim_releases_total",
                "Claims that this node released, by outcome.",
                &["outcome"],
            ),
            extensions: maker.counters(
                "lease_extensions_total",
                "Rounds of asking other nodes to extend the lease, by outcome.",
                &["outcome"],
            ),
            in_flight: maker.gauge("requests_in_flight", "Requests in progress at this node."),
            connections: maker.gauge("connections", "Callers' connections."),
            revision: maker.gauge("config_revision", "Revision of the configuration in force."),
            revision_age_ms: maker.gauge(
                "config_confirmed_age_ms",
                "Milliseconds since the revision was confirmed.",
            ),
            view_age_ms: maker.gauge(
                "view_age_ms",
                "Milliseconds since all changes were last known.",
            ),
            upstreams: maker.gauges("upstreams", "Upstreams by state.", &["state"]),
            tunnels: maker.counters(
                "tunnels_total",
                "Connections to upstreams through other nodes, by outcome.",
                &["outcome"],
            ),
            tunneled_sends: maker.counter(
                "tunneled_sends_total",
                "Requests sent to upstreams on connections through other nodes.",
            ),
            tunnels_requested: maker.counters(
                "tunnels_requested_total",
                "Connections that other nodes asked this one for, by outcome.",
                &["outcome"],
            ),
            tunnels_served: maker.gauge(
                "tunnels_served",
                "Connections that this node holds open for other nodes.",
            ),
            pools_cut_off: maker.gauge(
                "pools_cut_off",
                "Pools of which this node reaches no upstream.",
            ),
            bodies_refused: maker.counters(
                "bodies_refused_total",
                "Requests rejected for want of memory for their bodies.",
                &["reason"],
            ),
            body_bytes: maker.gauge("body_bytes", "Bytes that request bodies take."),
            responses_refused: maker.counters(
                "responses_refused_total",
                "Responses of upstreams given up for want of memory.",
                &["reason"],
            ),
            response_bytes: maker.gauge(
                "response_bytes",
                "Bytes that responses of upstreams take which are read whole.",
            ),
            connections_closed_unread: maker.counters(
                "connections_closed_unread_total",
                "Connections of callers that were closed unread.",
                &["reason"],
            ),
            port_closed: maker.counters(
                "port_closed_total",
                "Times that the port for callers was closed for a moment.",
                &["reason"],
            ),
            delay_ms: maker.gauges(
                "delay_ms",
                "Milliseconds by which this node is late with everything.",
                &["of"],
            ),
            mixed_pools: maker.gauge(
                "mixed_pools",
                "Pools whose upstreams run several software versions.",
            ),
            resumed_streams: maker.counters(
                "resumed_streams_total",
                "Streams that callers resume, by how their origin was found.",
                &["origin"],
            ),
            origins_sent: maker.counters(
                "origins_sent_total",
                "Origins of streams that were sent to other nodes.",
                &["outcome"],
            ),
            owned: maker.gauge("upstreams_owned", "Upstreams that this node owns."),
            nodes: maker.gauge("nodes", "Nodes that this node knows of, itself included."),
            upstream_checks: maker.counter(
                "upstream_checks_total",
                "Finished checks whether an upstream ended under requests of this node.",
            ),
            upstream_ends: maker.counter(
                "upstream_ends_total",
                "Upstreams that ended under requests of this node.",
            ),
            crash_suspects: maker.counters(
                "crash_suspects_total",
                "Requests of this node at upstreams that ended.",
                &["sign"],
            ),
            quarantined: maker.gauge(
                "quarantined_requests",
                "Requests that are no longer sent, as upstreams ended under them.",
            ),
            quarantined_parts: maker.gauge(
                "quarantined_prompt_parts",
                "Prompt parts that are no longer sent, as upstreams ended under requests with them.",
            ),
            quarantine_trials: maker.counter(
                "quarantine_trials_total",
                "Requests sent to find out whether blamed prompt parts still end upstreams.",
            ),
            events: maker.counters(
                "membership_events_total",
                "Rare events of membership and ownership.",
                &["kind"],
            ),
            registry,
        }
    }

    /// Notes how long a request waited at an upstream's owner, and its stall if it had one.
    pub fn waited(&self, class: Class, queued: Millis, load: Millis) {
        let class = [class.name()];
        let queue_wait = self.queue_wait.with_label_values(&class);
        queue_wait.observe(queued.duration().as_secs_f64());
        if load > Millis::ZERO {
            let load_wait = self.load_wait.with_label_values(&class);
            load_wait.observe(load.duration().as_secs_f64());
            self.stalls.inc();
        }
    }

    /// Returns the registry, so that a part can add metrics of its own.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Writes all metrics in Prometheus's text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail; a bad family would show as an empty page.
        if TextEncoder::new()
            .encode_utf8(&self.registry.gather(), &mut text)
            .is_err()
        {
            text.clear();
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Makes and registers metrics under the product's prefix.
#[derive(Debug)]
struct Maker<'a> {
    registry: &'a Registry,
}

impl Maker<'_> {
    fn opts(name: &str, help: &str) -> Opts {
        Opts::new(format!("chivevalve_{name}"), help)
    }

    fn register<C: prometheus::core::Collector + Clone + 'static>(
        &self,
        made: prometheus::Result<C>,
    ) -> C {
        let collector = made.expect("metric names and labels are constants");
        self.registry
            .register(Box::new(collector.clone()))
            .expect("each metric has its own name");
        collector
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.register(IntCounter::with_opts(Self::opts(name, help)))
    }

    fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.register(IntCounterVec::new(Self::opts(name, help), labels))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.register(IntGauge::with_opts(Self::opts(name, help)))
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.register(IntGaugeVec::new(Self::opts(name, help), labels))
    }

    fn histogram(&self, name: &str, help: &str) -> Histogram {
        let opts = HistogramOpts::from(Self::opts(name, help)).buckets(BUCKETS.to_vec());
        self.register(Histogram::with_opts(opts))
    }

    fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let opts = HistogramOpts::from(Self::opts(name, help)).buckets(BUCKETS.to_vec());
        self.register(HistogramVec::new(opts, labels))
    }
}
