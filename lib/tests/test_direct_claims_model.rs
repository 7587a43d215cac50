//! Seeded series of cuts, outages, kills, lost keys and late writes: one machine at a time orders.

mod claims_model;
mod direct_support;

use claims_model::World;

/// First seed and number of seeds, as `FIRST:COUNT`, for longer runs by hand.
const SEEDS_VARIABLE: &str = "CHIVEVALVE_CLAIMS_SEEDS";

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "1:100".to_owned());
    let (first, count) = given.split_once(':').expect("FIRST:COUNT");
    let first: u64 = first.parse().unwrap();
    first..first + count.parse::<u64>().unwrap()
}

/// Plays one series.
async fn play(seed: u64) -> Result<usize, String> {
    play_in(World::new, seed).await
}

async fn play_in(world: fn(u64) -> World, seed: u64) -> Result<usize, String> {
    let mut world = world(seed);
    let played = world.play().await;
    played.map_err(|error| format!("seed {seed}: {error}"))?;
    Ok(world.orders)
}

/// Plays the series of all seeds, each of which must keep the rule.
async fn play_all(world: fn(u64) -> World) {
    let mut broken = Vec::new();
    let mut orders = 0;
    for seed in seeds() {
        match play_in(world, seed).await {
            Ok(sent) => orders += sent,
            Err(error) => broken.push(error),
        }
    }
    assert!(
        broken.is_empty(),
        "{} series: {}",
        broken.len(),
        broken.join("\n\n")
    );
    assert!(orders > 0);
}

/// Two machines order one engine within the minimum gap, whatever is disturbed.
#[tokio::test(start_paused = true)]
async fn claims_one_machine_orders() {
    play_all(World::new).await;
}

/// Two machines order one engine while nodes are stopped, turned away and started again.
#[tokio::test(start_paused = true)]
async fn claims_stops_and_refusals() {
    play_all(World::with_stops).await;
}

/// An owner goes on by the votes of its failure domain, which is turned away or cut off behind a
/// rolling restart of the others.
#[tokio::test(start_paused = true)]
async fn claims_domains_and_restarts() {
    play_all(World::with_domains).await;
}

/// An owner that is turned away goes on by the votes of nodes that leave, which saw its claim vanish.
#[tokio::test(start_paused = true)]
async fn claims_votes_of_nodes_that_leave() {
    for seed in [258, 303, 366, 370] {
        assert_eq!(play_in(World::with_stops, seed).await.err(), None);
    }
}

/// A claim that was made and lost since a node's view was complete leaves an owner unseen.
#[tokio::test(start_paused = true)]
async fn claims_made_and_lost_unseen() {
    assert!(play(893).await.is_ok());
}

/// An owner and all nodes that it knows lose the service, which a node reaches that none of them
/// knows.
#[tokio::test(start_paused = true)]
async fn claims_unknown_node() {
    for seed in [569, 697, 858, 1827, 2981] {
        assert_eq!(play(seed).await.err(), None);
    }
}

/// The same, in a rolling restart.
#[tokio::test(start_paused = true)]
async fn claims_unknown_node_beside_stops() {
    for seed in [710, 1065, 1074] {
        assert_eq!(play_in(World::with_stops, seed).await.err(), None);
    }
}

/// A node orders beside an owner that it doesn't know, behind a gap in the history or a late write.
#[tokio::test(start_paused = true)]
async fn claims_unseen_owners() {
    for seed in [357, 418, 790, 1008, 1031] {
        assert_eq!(play_in(World::with_stops, seed).await.err(), None);
    }
}

/// An owner's poll hangs while its claim is deleted and its lease is renewed.
#[tokio::test(start_paused = true)]
async fn claims_deleted_during_a_hanging_poll() {
    for seed in [3633, 5657] {
        assert_eq!(play(seed).await.err(), None);
    }
}
