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

/// An owner that hasn't noticed a further start of its engine orders a load that fits its count.
#[test]
fn slots_restart_unnoticed_by_the_owner() {
    let events = [
        1_060_276_900,
        1_974_386_713,
        3_002_313_313,
        2_045_738_140,
        3_528_540_360,
        1_439_959_380,
        1_020_381_800,
    ];
    assert_eq!(play(&events), Ok(()));
}

/// Another owner takes the slot that is kept free for a late order for a former start.
#[test]
fn slots_restart_beside_another_owner() {
    let events = [
        485_022_020,
        4_248_941_020,
        1_331_143_393,
        0,
        2_579_832_295,
        2_845_862_640,
        4_177_320_633,
        34_868_900,
        4_280_193_880,
        3_012_574_720,
        127_852_673,
        48_637_076,
    ];
    assert_eq!(play(&events), Ok(()));
}

/// A further start of an engine executes a late order beside another owner's load.
#[test]
fn slots_restart_with_a_late_order() {
    let events = [
        924_904_820,
        4_277_791_215,
        789_396_480,
        2_663_025_260,
        0,
        2_842_748_280,
        2_908_121_353,
        4_293_918_720,
        1_326_238_820,
        0,
        1_218_093_660,
        3_526_152_593,
        1_161_063_176,
    ];
    assert_eq!(play(&events), Ok(()));
}

/// A new owner whose first status is from before its predecessor's last order learns of that order.
#[test]
fn slots_first_status_before_the_last_order() {
    let events = [
        1_368_845_420,
        2_001_395_627,
        782_205_120,
        405_560_179,
        2_555_119_847,
        1_341_986_267,
        665_095_020,
    ];
    assert_eq!(play(&events), Ok(()));
}
