use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower_service::Service;

use super::YieldingStream;

/// Opens connections that let other tasks run while they read.
#[derive(Debug, Clone)]
pub(super) struct YieldingConnector {
    connector: HttpConnector,
}

impl YieldingConnector {
    pub(super) const fn new(connector: HttpConnector) -> Self {
        Self { connector }
    }
}

impl Service<Uri> for YieldingConnector {
    type Response = TokioIo<YieldingStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<Uri>::poll_ready(&mut self.connector, cx)
    }

    fn call(&mut self, req: Uri) -> Self::Future {
        let connecting = self.connector.call(req);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(YieldingStream::new(stream)))
        })
    }
}
