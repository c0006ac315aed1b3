//! Guards against a demo whose printed command does not work.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

#[tokio::test]
async fn the_printed_curl_line_answers_with_the_adapter_that_it_names() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_comfreychute-demo"))
        .args(["--run-for", "1m"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the demo starts");
    let output = child.stdout.take().expect("the output is piped");
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let curl = lines
        .find(|line| line.starts_with("curl -N "))
        .expect("a curl line");
    let data = lines.next().expect("the data of the curl line");
    let url = curl.split_whitespace().nth(2).expect("a URL");
    let body = data.split('\'').nth(1).expect("a quoted body").to_owned();

    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::post(url)
        .header("content-type", "application/json")
        .header("x-rank", "urgent")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let answer = tokio::time::timeout(Duration::from_mins(1), client.request(request)).await;
    let answer = answer.expect("an answer in time").expect("an answer");
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("a whole body")
        .to_bytes();
    let body = String::from_utf8_lossy(&body);

    child.kill().expect("the demo ends");
    child.wait().expect("the demo has ended");
    assert!(body.contains("\"model\":\"label/coop-7@1\""), "{body}");
    assert!(body.trim_end().ends_with("data: [DONE]"), "{body}");
}
