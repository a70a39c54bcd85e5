//! The HTTP server and client of the stand-ins. The server can leave a request without a response; the client has a
//! timeout.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A request that a stand-in has received.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response of a stand-in or a controller.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new<T: serde::Serialize>(status: u16, message: &T) -> Reply {
        Reply {
            status,
            body: cedarladder::protocol::cbor::encode(message),
        }
    }
}

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    /// The connection could not be established.
    ConnectFailed,
    /// The request timed out, or the connection was closed.
    NoResponse,
}

/// Serves connections until the task is dropped. If the handler returns `None`, the request gets no response and its
/// connection stays open until the client closes it.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| handle_request(request, handler.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

async fn handle_request<H, F>(
    request: hyper::Request<hyper::body::Incoming>,
    handler: H,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Option<Reply>> + Send + 'static,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await;
    let body = body
        .map(|body| body.to_bytes().to_vec())
        .unwrap_or_default();
    let query = parts.uri.query().unwrap_or("");
    let request = Request {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        body,
    };
    // The handler runs in a task of its own, so that a request is executed completely even if its connection is closed.
    let reply = tokio::spawn(handler(request)).await.ok().flatten();
    let Some(reply) = reply else {
        return std::future::pending().await;
    };
    let response = hyper::Response::builder().status(reply.status);
    let response = response.body(Full::new(Bytes::from(reply.body)));
    Ok(response.unwrap_or_default())
}

/// A client that keeps one connection. It opens a new one if the connection was closed, or is to another address.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl Client {
    /// Sends a request and waits for the response for at most `timeout_s` seconds.
    pub async fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
        timeout_s: f64,
    ) -> Result<Reply, NoReply> {
        let timeout = Duration::from_secs_f64(timeout_s.max(0.0));
        let outcome = tokio::time::timeout(timeout, self.exchange(to, method, path, body)).await;
        match outcome {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                self.connection = None;
                Err(error)
            }
            Err(_) => {
                self.connection = None;
                Err(NoReply::NoResponse)
            }
        }
    }

    async fn exchange(
        &mut self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Reply, NoReply> {
        let is_usable =
            matches!(&self.connection, Some((at, sender)) if *at == to && !sender.is_closed());
        if !is_usable {
            self.connection = Some((to, connect(to).await?));
        }
        let Some((_, sender)) = &mut self.connection else {
            return Err(NoReply::ConnectFailed);
        };
        sender.ready().await.map_err(|_| NoReply::NoResponse)?;
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("Host", to.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| NoReply::ConnectFailed)?;
        let response = sender.send_request(request).await;
        let (parts, body) = response.map_err(|_| NoReply::NoResponse)?.into_parts();
        let body = body.collect().await.map_err(|_| NoReply::NoResponse)?;
        Ok(Reply {
            status: parts.status.as_u16(),
            body: body.to_bytes().to_vec(),
        })
    }
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, NoReply> {
    let stream = TcpStream::connect(to)
        .await
        .map_err(|_| NoReply::ConnectFailed)?;
    let _ = stream.set_nodelay(true);
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| NoReply::ConnectFailed)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
