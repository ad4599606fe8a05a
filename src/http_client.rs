//! A small HTTP client with one connection per client.

use std::{fmt, net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::{Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::http_exchange::{self, Sender};

/// A connection for sequential requests; closed when dropped.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    limit: Duration,
    sender: Sender,
    driver: AbortHandle,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A response with another status than 200.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexpectedStatus {
    /// Address of the server.
    pub address: SocketAddr,
    /// The status.
    pub status: StatusCode,
}

impl fmt::Display for UnexpectedStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let UnexpectedStatus { address, status } = self;
        write!(f, "{address} responded with status {status}")
    }
}

impl std::error::Error for UnexpectedStatus {}

impl Client {
    /// Opens a connection. `limit` is the timeout of this and of each request.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened in time.
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
    ) -> anyhow::Result<Client> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .with_context(|| format!("connecting to {address} timed out"))?
            .with_context(|| format!("cannot connect to {address}"))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http_exchange::handshake(stream).await?;
        let driver = tokio::spawn(async move {
            // The future of the request returns the error.
            let _ = connection.await;
        });
        let driver = driver.abort_handle();
        Ok(Client { address, limit, sender, driver })
    }

    /// Gets a document of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there is no complete response in time, if it is too large or
    /// if its status is not 200.
    pub async fn get(
        &mut self,
        path: &str,
        max_bytes: usize,
    ) -> anyhow::Result<Bytes> {
        let address = self.address;
        let req = Request::get(path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))?;
        let exchange = async {
            self.sender.ready().await?;
            let response = self.sender.send(req).await?;
            let status = response.status();
            if status != StatusCode::OK {
                return Err(UnexpectedStatus { address, status }.into());
            }
            let body = Limited::new(response.into_body(), max_bytes);
            let body = body.collect().await.map_err(|e| {
                anyhow::anyhow!("cannot read the response of {address}: {e}")
            })?;
            Ok(body.to_bytes())
        };
        timeout(self.limit, exchange)
            .await
            .with_context(|| format!("{address} did not respond in time"))?
    }
}

/// Gets a document of at most `max_bytes` from a URL whose host is an IP
/// address, on a connection of its own. `limit` is the timeout of the
/// connection and of the request, each.
///
/// # Errors
///
/// Fails like [`Client::connect`] and [`Client::get`], or if the URL has no
/// such address.
pub(crate) async fn get(
    url: &str,
    limit: Duration,
    max_bytes: usize,
) -> anyhow::Result<Bytes> {
    let uri: Uri = url.parse()?;
    let authority = uri.authority().context("the URL has no address")?;
    let address = authority.as_str().parse()?;
    let mut client = Client::connect(address, limit).await?;
    client.get(uri.path(), max_bytes).await
}
