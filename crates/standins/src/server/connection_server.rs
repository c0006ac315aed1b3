use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use super::{ConnectionGate, CutConnection};

/// The body of an answer; an error cuts the connection.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, CutConnection>;

/// Serves HTTP/1.1 until it is stopped or dropped; stopping cuts all connections.
#[derive(Debug)]
pub(crate) struct ConnectionServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ConnectionServer {
    /// Binds `address` and answers each request with `answer`, which also gets the connection's
    /// number.
    pub(crate) async fn start<F, A>(
        address: SocketAddr,
        gate: ConnectionGate,
        answer: F,
    ) -> io::Result<Self>
    where
        F: Fn(u64, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<Response<AnswerBody>, CutConnection>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, gate, answer));
        Ok(Self { address, task })
    }

    /// Returns the bound address.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts all connections and returns when the port is closed.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        // The result only says that the task was aborted.
        drop((&mut self.task).await);
    }
}

impl Drop for ConnectionServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<F, A>(listener: TcpListener, gate: ConnectionGate, answer: F)
where
    F: Fn(u64, Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<AnswerBody>, CutConnection>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, gate.open(), answer.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<F, A>(stream: TcpStream, connection: u64, answer: F)
where
    F: Fn(u64, Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Result<Response<AnswerBody>, CutConnection>> + Send + 'static,
{
    // Without it each event of a stream would wait for the acknowledgement of the previous one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request| answer(connection, request));
    // A cut connection ends with an error on purpose; others end when the client closes them.
    drop(
        http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await,
    );
}
