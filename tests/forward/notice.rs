//! Notices in the responses of upstreams.

use std::time::Duration;

use comfreychute::forward::UpstreamNotice;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::head::names;

fn read(status: StatusCode, pauses: &[&[u8]]) -> UpstreamNotice {
    let mut headers = HeaderMap::new();
    for pause in pauses {
        let value = HeaderValue::from_bytes(pause).expect("a valid header value");
        headers.append(RETRY_AFTER, value);
    }
    UpstreamNotice::from_response(status, &headers, &names())
}

/// Guards against a stated time that is not read, and against one that is read where it means nothing.
#[test]
fn only_a_503_asks_for_time() {
    let cases: [(&[u8], u64); 4] = [(b"2", 2000), (b"0.25", 250), (b" 1.5 ", 1500), (b"0", 0)];
    for (text, millis) in cases {
        let notice = read(StatusCode::SERVICE_UNAVAILABLE, &[text]);

        assert_eq!(notice.pause, Some(Duration::from_millis(millis)));
        assert!(!notice.is_pause_doubtful);
        for status in [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS] {
            assert!(read(status, &[text]).is_empty(), "{status}");
        }
    }
}

/// Guards against a wrong figure that takes an upstream out of service for good.
#[test]
fn doubtful_times_are_bounded_or_ignored() {
    let ignored: [&[&[u8]]; 8] = [
        &[b"-1"],
        &[b"-0.5"],
        &[b"NaN"],
        &[b"soon"],
        &[b""],
        &[b"\xff"],
        &[b"1", b"2"],
        &[b"Fri, 04 Dec 2026 09:00:00 GMT"],
    ];
    for pauses in ignored {
        let notice = read(StatusCode::SERVICE_UNAVAILABLE, pauses);
        assert_eq!(notice.pause, None, "{pauses:?}");
        assert!(notice.is_pause_doubtful, "{pauses:?}");
    }
    for pauses in [
        b"61".as_slice(),
        b"1e300",
        b"inf",
        b"99999999999999999999999",
    ] {
        let notice = read(StatusCode::SERVICE_UNAVAILABLE, &[pauses]);
        assert_eq!(notice.pause, Some(UpstreamNotice::MAX_PAUSE));
        assert!(notice.is_pause_doubtful);
    }
    let repeated = read(StatusCode::SERVICE_UNAVAILABLE, &[b"1", b"1"]);
    assert_eq!(repeated.pause, Some(Duration::from_secs(1)));
}

/// Guards against an upstream that counts as leaving because of another value of the header.
#[test]
fn only_the_value_one_says_that_an_upstream_leaves() {
    for (text, is_leaving) in [("1", true), ("0", false), ("", false), ("true", false)] {
        let headers = HeaderMap::from_iter([(names().leaving, HeaderValue::from_static(text))]);

        let notice = UpstreamNotice::from_response(StatusCode::OK, &headers, &names());

        assert_eq!(notice.is_leaving, is_leaving, "{text:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against header values that panic or exceed the bound.
    #[test]
    fn any_bytes_give_a_bounded_time(text in prop::collection::vec(0x20..0x7f_u8, 0..24)) {
        let notice = read(StatusCode::SERVICE_UNAVAILABLE, &[&text]);

        prop_assert!(notice.pause.is_none_or(|pause| pause <= UpstreamNotice::MAX_PAUSE));
        prop_assert!(notice.pause.is_some() || notice.is_pause_doubtful);
    }
}
