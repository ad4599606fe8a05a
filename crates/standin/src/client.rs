//! A small HTTP client for tests, the demo and the benchmarks.

use std::{io, net::SocketAddr};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body, or a string if the body is not JSON.
    pub body: Value,
}

/// A connection that is reused for sequential requests.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached.
    pub async fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Client { address, sender })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; the request may have been received.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> io::Result<Reply> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        for &(name, value) in headers {
            req = req.header(name, value);
        }
        let req =
            req.body(Full::new(body.into())).map_err(io::Error::other)?;
        self.sender.ready().await.map_err(io::Error::other)?;
        let response =
            self.sender.send_request(req).await.map_err(io::Error::other)?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or_else(|_| {
            Value::String(String::from_utf8_lossy(&body).into_owned())
        });
        Ok(Reply { status, body })
    }
}

/// Sends one request on a new connection.
///
/// # Errors
///
/// Fails if the server cannot be reached or the connection breaks.
pub async fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> io::Result<Reply> {
    Client::connect(address).await?.send(method, path, headers, body).await
}

/// Sends a GET request on a new connection.
///
/// # Errors
///
/// Fails if the server cannot be reached or the connection breaks.
pub async fn get(address: SocketAddr, path: &str) -> io::Result<Reply> {
    request(address, Method::GET, path, &[], Bytes::new()).await
}

/// Sends a JSON document in a POST request on a new connection.
///
/// # Errors
///
/// Fails if the server cannot be reached or the connection breaks.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> io::Result<Reply> {
    let headers = [("content-type", "application/json")];
    request(address, Method::POST, path, &headers, body.to_string()).await
}
