//! What ownership and membership cost as nodes grow, in one process's fakes.
//!
//! The machines and the service of `fuzz-outcomes` run without faults in virtual
//! time. Calls and bytes are of the key-value service; gossip is measured apart.

use std::time::Instant;

use chivevalve::membership::guard::Guards;

use crate::fuzz_outcomes::harness::story::Story;
use crate::fuzz_outcomes::harness::world::World;

/// Virtual time before the measurement, for nodes to register and claim.
const WARM_UP_MS: u64 = 60_000;
/// Virtual seconds that are measured.
const MEASURED_S: u32 = 120;

/// The cost of one size, for each node.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Row {
    /// Nodes.
    pub nodes: u8,
    /// Upstreams.
    pub upstreams: u8,
    /// Calls to the service a second, of the whole fleet.
    pub calls_per_second: f64,
    /// Calls to the service a second and node.
    pub calls_per_node_second: f64,
    /// Bytes of keys and values that a node reads and writes a second.
    pub bytes_per_node_second: f64,
    /// Processor time of machines, fakes and oracle, in parts of a core a node.
    pub core_per_node: f64,
}

/// Measures one size.
///
/// # Errors
///
/// When a promise was broken although nothing failed.
pub fn measure(nodes: u8, upstreams: u8, seed: u64) -> eyre::Result<Row> {
    let story = Story {
        seed,
        nodes,
        upstreams,
        regions: 1,
        steps: Vec::new(),
    };
    let mut world = World::new(&story, Guards::all());
    let run = |world: &mut World, span| {
        world
            .run(span)
            .map_err(|violation| eyre::eyre!("{violation}"))
    };
    run(&mut world, WARM_UP_MS)?;
    let (calls, bytes) = world.service_cost();
    let began = Instant::now();
    run(&mut world, u64::from(MEASURED_S) * 1000)?;
    let busy = began.elapsed().as_secs_f64();
    let (calls_after, bytes_after) = world.service_cost();
    let seconds = f64::from(MEASURED_S);
    let per_second = f64::from(u32::try_from(calls_after - calls)?) / seconds;
    let bytes_per_second = f64::from(u32::try_from(bytes_after - bytes)?) / seconds;
    Ok(Row {
        nodes,
        upstreams,
        calls_per_second: per_second,
        calls_per_node_second: per_second / f64::from(nodes),
        bytes_per_node_second: bytes_per_second / f64::from(nodes),
        core_per_node: busy / seconds / f64::from(nodes),
    })
}
