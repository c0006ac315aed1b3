//! The load that upstreams state in their responses.

use comfreychute::forward::StatedLoad;
use http::HeaderValue;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn parse(text: &str) -> Option<StatedLoad> {
    StatedLoad::from_header(&HeaderValue::from_str(text).expect("a header value"))
}

/// Guards against stated loads that are dropped because an upstream states more or fewer figures.
#[test]
fn figures_are_read_in_order() {
    let load = parse("3, 1, 8, 250").expect("a load");

    assert_eq!((load.running, load.waiting, load.slots), (3, 1, 8));
    assert_eq!(load.slowdown, Some(2.5));
    assert_eq!(parse("3,1,8").map(|load| load.slowdown), Some(None));
    assert_eq!(parse("3,1,8,100,77"), parse("3,1,8,100"));
}

/// Guards against figures that no upstream can mean and that would distort the choice.
#[test]
fn implausible_figures_are_ignored() {
    for text in [
        "",
        "3",
        "3,1",
        "3,,8",
        "-3,1,8",
        "3,1,8,",
        "3,1,8,-1",
        "3,1,8,0",
        "3,1,8,9",
        "3,1,8,10001",
        "3,1,8,1e2",
        "100001,1,8",
        "3,1,99999999999999999999",
        "a,b,c",
    ] {
        assert_eq!(parse(text), None, "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    /// Guards against a header value that stops the process, or that yields a slowdown beyond the
    /// believed ones.
    #[test]
    fn any_value_is_read_or_ignored(bytes in proptest::collection::vec(32_u8..=255, 0..40)) {
        if let Ok(value) = HeaderValue::from_bytes(&bytes)
            && let Some(load) = StatedLoad::from_header(&value)
        {
            prop_assert!(load.slowdown.is_none_or(|slowdown| (0.1..=100.0).contains(&slowdown)));
        }
    }
}
