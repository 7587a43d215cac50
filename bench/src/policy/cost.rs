//! Cost of one decision as upstreams and adapters grow.
//!
//! Unlike the rest of the campaign this reads the wall clock, so its figures
//! depend on the machine and on what else it does.

use std::fmt::Write;
use std::time::Instant;

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::name::Name;
use chivevalve::policy::placement::{self, Pool, Router};
use chivevalve::policy::upstream::{self, Action, Machine};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::Share;
use eyre::{Result, WrapErr, eyre};
use serde::Serialize;

use super::traffic::count;
use crate::report::Table;

/// Decisions that are timed at each size.
const DECISIONS: usize = 200_000;
/// One in so many adapters is asked for; the rest is idle.
const AWAKE: usize = 6;
/// Nanoseconds that a decision may take at the target.
const AIM_NS: f64 = 10_000.0;
/// Kilobytes that all routing state may take at the target.
const AIM_KB: usize = 32 * 1024;
/// Sizes from the smallest user's today to the target.
const SIZES: [(usize, usize); 4] = [(12, 3_000), (18, 3_000), (150, 8_000), (600, 19_000)];

/// What one decision costs at one size.
#[derive(Debug, Serialize)]
pub struct Cost {
    /// Upstreams of the pool.
    pub upstreams: usize,
    /// Adapters that exist.
    pub adapters: usize,
    /// Nanoseconds to order the candidates of a request.
    pub order_ns: f64,
    /// Nanoseconds for an owner to take, start and finish a request whose adapter is
    /// resident, with making its ticket.
    pub owner_ns: f64,
    /// Resident memory that the state of one router and all machines added, in kilobytes.
    pub state_kb: usize,
}

/// Measures all sizes, the smallest first.
///
/// # Errors
///
/// When the process can't read its own memory use.
pub fn measure() -> Result<Vec<Cost>> {
    let sizes = SIZES.into_iter();
    sizes
        .map(|(upstreams, adapters)| measure_at(upstreams, adapters))
        .collect()
}

/// Shows the costs with the aims of the largest size.
pub fn table(costs: &[Cost]) -> String {
    let mut table = Table::new(&["upstreams", "adapters", "order ns", "owner ns", "state KB"]);
    for cost in costs {
        table.row(vec![
            cost.upstreams.to_string(),
            cost.adapters.to_string(),
            format!("{:.0}", cost.order_ns),
            format!("{:.0}", cost.owner_ns),
            cost.state_kb.to_string(),
        ]);
    }
    let mut text = table.render();
    if let Some(last) = costs.last() {
        let verdict = |met| if met { "met" } else { "short of aim" };
        let decision = last.order_ns + last.owner_ns;
        let quick = verdict(decision < AIM_NS);
        let small = verdict(last.state_kb < AIM_KB);
        let state = last.state_kb;
        text += "\n";
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "decision at the target {decision:.0} ns (aim under {AIM_NS}): {quick}"
        );
        let _ = writeln!(
            text,
            "state at the target {state} KB (aim under {AIM_KB}): {small}"
        );
    }
    text
}

fn measure_at(upstreams: usize, adapters: usize) -> Result<Cost> {
    let names: Vec<Name> = (0..upstreams)
        .map(|i| format!("engine-{i}").into())
        .collect();
    let awake: Vec<Adapter> = (0..adapters / AWAKE).map(adapter).collect();
    let before = resident_kb()?;
    let pool = Pool::from_entries(names.iter().map(|name| (name.as_ref(), "domain", true)));
    let mut router = Router::new(placement::Limits::default(), 1);
    let limits = upstream::Limits::default();
    let mut machines: Vec<Machine> = names.iter().map(|_| Machine::new(limits.clone())).collect();
    let homes: Vec<usize> = awake
        .iter()
        .map(|adapter| router.candidates(&pool, Some(adapter), Millis::ZERO)[0])
        .collect();
    let slots = limits.slots.unwrap_or(0) as usize;
    let mut resident = Vec::new();
    for (index, home) in homes.iter().enumerate() {
        if machines[*home].status().resident.len() < slots {
            load(&mut machines[*home], &awake[index]);
            resident.push(index);
        }
    }
    let began = Instant::now();
    for number in 0..DECISIONS {
        let adapter = &awake[number % awake.len()];
        std::hint::black_box(router.candidates(&pool, Some(adapter), at(number)));
    }
    let order = began.elapsed();
    let began = Instant::now();
    for number in 0..DECISIONS {
        let index = resident[number % resident.len()];
        let ticket = ticket(number, &awake[index]);
        let id = ticket.id.clone();
        let machine = &mut machines[homes[index]];
        std::hint::black_box(machine.arrive(ticket, SHARE, true, at(number)));
        std::hint::black_box(machine.finished(&id, at(number + 1)));
    }
    let owner = began.elapsed();
    let each = |span: std::time::Duration| span.as_secs_f64() * 1e9 / count(DECISIONS);
    Ok(Cost {
        upstreams,
        adapters,
        order_ns: each(order),
        owner_ns: each(owner),
        state_kb: resident_kb()?.saturating_sub(before),
    })
}

const SHARE: Share = Share {
    weight: 1,
    max_in_flight: 0,
    max_queued: 0,
};

fn at(number: usize) -> Millis {
    Millis(number as u64)
}

fn adapter(number: usize) -> Adapter {
    Adapter {
        base_model: "base".into(),
        name: format!("adapter-{number}").into(),
        version: "1".into(),
    }
}

/// Makes an adapter resident the way an owner does.
fn load(machine: &mut Machine, adapter: &Adapter) {
    let _ = machine.arrive(ticket(usize::MAX, adapter), SHARE, true, Millis::ZERO);
    let orders = machine.granted(adapter, Millis::ZERO);
    if orders
        .iter()
        .any(|order| matches!(order, Action::Load { .. }))
    {
        let _ = machine.loaded(adapter, true, Millis::ZERO);
    }
    let _ = machine.finished(&Id(usize::MAX.to_string().into()), Millis::ZERO);
}

fn ticket(number: usize, adapter: &Adapter) -> Ticket {
    Ticket {
        id: Id(number.to_string().into()),
        account: "account".into(),
        template: "template".into(),
        pool: "pool".into(),
        adapter: Some(adapter.clone()),
        class: Class::Normal,
        weight: 1,
        idempotent: true,
        deadline: Millis::MAX,
        prompt_tokens: 300,
        max_output_tokens: 250,
        revision: 1,
    }
}

/// Reads the process's resident memory.
fn resident_kb() -> Result<usize> {
    let status = std::fs::read_to_string("/proc/self/status").wrap_err("no /proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let number = number.ok_or_else(|| eyre!("/proc/self/status has no VmRSS"))?;
    Ok(number.parse()?)
}
