//! Reading of the parts of a prompt.

use comfreychute::forward::PromptParts;
use http::HeaderValue;

fn keys(text: &str) -> Vec<u64> {
    let header = HeaderValue::from_str(text).expect("a header value");
    PromptParts::from_headers("llm", [&header]).keys().to_vec()
}

#[test]
fn part_of_the_request_itself_is_left_out() {
    assert_eq!(keys("aa:10,bb:20,cc:5").len(), 2);
    assert_eq!(keys("aa:10,bb:20,cc:5"), keys("aa:10,bb:20,dd:7"));
    assert!(keys("aa:10").is_empty());
}

#[test]
fn id_counts_without_its_tokens_case_and_spaces() {
    let usual = keys("aa:10,0b:20,cc:5");

    for text in [
        "aa:11,0b:2,cc:5",
        "AA:10, 0B:20 ,cc:5",
        "aa,0b,cc",
        " aa:,0b:x,cc:-1",
    ] {
        assert_eq!(keys(text), usual, "{text}");
    }
}

#[test]
fn odd_headers_yield_no_part_twice_and_no_empty_one() {
    assert!(PromptParts::from_headers("llm", []).keys().is_empty());
    for text in ["", ",", ":", ",,:,:5,", ":10,:20,aa:5"] {
        assert!(keys(text).is_empty(), "{text:?}");
    }
    assert_eq!(keys("aa:10,aa:10,AA:5,aa:1").len(), 1);
    assert_eq!(keys("not hexadecimal:10,bb:20,cc:5").len(), 2);
    let bytes = HeaderValue::from_bytes(b"\xff\xfe:1,bb:2").expect("opaque bytes");
    assert_eq!(PromptParts::from_headers("llm", [&bytes]).keys().len(), 1);
}

#[test]
fn thousands_of_parts_are_all_looked_up() {
    let text: Vec<String> = (0..4000).map(|id| format!("{id:x}:1")).collect();

    assert_eq!(keys(&text.join(",")).len(), 3999);
}

#[test]
fn part_of_several_header_lines_counts() {
    let lines = [
        HeaderValue::from_static("aa:10,bb:20"),
        HeaderValue::from_static("cc:5"),
    ];

    let parts = PromptParts::from_headers("llm", &lines);

    assert_eq!(parts.keys(), keys("aa:10,bb:20,cc:5"));
}

#[test]
fn services_do_not_share_parts() {
    let header = HeaderValue::from_static("aa:10,cc:5");
    let of = |service| PromptParts::from_headers(service, [&header]);

    assert_ne!(of("llm").keys(), of("other").keys());
}
