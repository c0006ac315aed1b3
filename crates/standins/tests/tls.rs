//! Guards against a TLS port that does not start, that serves without TLS, or whose certificate does
//! not verify.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::settings::NodeSettings;
use comfreychute_standins::LocalFleet;
use comfreychute_standins::engine::EngineSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

const BODY: &str = r#"{"model":"label/coop-1@1","prompt":"label 1","max_tokens":4}"#;
const LIMIT: Duration = Duration::from_mins(1);

fn request() -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    )
}

fn connector(certificate: &rcgen::Certificate) -> TlsConnector {
    let mut roots = RootCertStore::empty();
    roots
        .add(certificate.der().clone())
        .expect("a root certificate");
    let config = ClientConfig::builder()
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(config))
}

#[tokio::test]
async fn callers_are_served_over_tls_only() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let made = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("a certificate");
    let (chain, key) = (directory.join("tls.crt"), directory.join("tls.key"));
    std::fs::write(&chain, made.cert.pem()).expect("the certificate is written");
    std::fs::write(&key, made.signing_key.serialize_pem()).expect("the key is written");
    let mut fleet = LocalFleet::start(&EngineSettings::default(), &[])
        .await
        .expect("the stand-ins start");
    let mut settings = NodeSettings::default();
    settings.instance.name = InstanceId::from_name("node-1");
    settings.instance.domain = DomainId::from_name("north");
    settings.platform.address = fleet.platform.address();
    settings.platform.list_interval = Duration::from_millis(200);
    settings.caller.tls_certificate_file = Some(chain);
    settings.caller.tls_key_file = Some(key);
    fleet.add_node_with(settings).expect("the node starts");
    fleet.ready().await.expect("the fleet is ready");
    let address = fleet.nodes["node-1"].caller_address();

    let plain = async {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream
            .write_all(request().as_bytes())
            .await
            .expect("the request is sent");
        let mut answer = Vec::new();
        // The server may reset the connection instead of closing it.
        drop(stream.read_to_end(&mut answer).await);
        answer
    };
    let plain = tokio::time::timeout(LIMIT, plain)
        .await
        .expect("the connection ends");
    let secure = async {
        let stream = TcpStream::connect(address).await.expect("a connection");
        let name = ServerName::try_from("localhost").expect("a name");
        let mut stream = connector(&made.cert)
            .connect(name, stream)
            .await
            .expect("a TLS handshake");
        stream
            .write_all(request().as_bytes())
            .await
            .expect("the request is sent");
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .await
            .expect("a whole answer");
        answer
    };
    let secure = tokio::time::timeout(LIMIT, secure)
        .await
        .expect("an answer in time");

    assert!(
        !plain.starts_with(b"HTTP/"),
        "the port answered without TLS"
    );
    let secure = String::from_utf8_lossy(&secure);
    assert!(secure.starts_with("HTTP/1.1 200"), "{secure}");
    assert!(secure.contains("label/coop-1@1"), "{secure}");
}
