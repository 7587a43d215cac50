//! Series of events that once led to a wrong belief about an engine's slots.

mod slots_model;

use slots_model::World;

/// Plays one series of events.
fn play(events: &[u32]) -> Result<(), String> {
    let mut world = World::default();
    for event in events {
        world.step(*event)?;
    }
    world.settle()
}

/// An order for a version that the engine may already load isn't taken for one that it counted.
#[test]
fn load_of_an_unclear_version_is_not_counted() {
    let events = [
        1_205_433_680,
        0,
        643_750_195,
        395_129_760,
        3_667_096_680,
        1_763_169_980,
        3_146_820,
        3_094_550_020,
        3_469_857_140,
    ];
    assert_eq!(play(&events), Ok(()));
}
