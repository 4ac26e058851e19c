//! A thread that serves HTTP with an event loop of its own.

use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use http::{Request, Response};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Ends a serving thread: its port and every connection are closed at once.
pub type StopSignal = Arc<Notify>;

/// Other end of the connection that a request came on; each request carries it.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress(pub SocketAddr);

/// A serving thread; dropping it closes the port and every connection.
pub struct ServingThread {
    address: SocketAddr,
    stop: StopSignal,
    thread: Option<JoinHandle<()>>,
}

impl ServingThread {
    /// Serves `address` with `answer` until `stop` is notified; an error of `answer`
    /// closes the connection without an answer.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or no thread can be started.
    pub fn start<F, B, E>(
        address: SocketAddr,
        stop: StopSignal,
        answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    ) -> std::io::Result<Self>
    where
        F: Future<Output = Result<Response<B>, E>> + 'static,
        B: Body<Data = Bytes> + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
        E: Into<Box<dyn Error + Send + Sync>> + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let stopped = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("stand-in".to_owned())
            .spawn(move || serve(listener, &stopped, &answer))?;
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Closes its port and every connection.
    pub fn stop(&self) {
        self.stop.notify_one();
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("a stand-in's thread panicked");
        }
    }
}

fn serve<F, B, E>(
    listener: std::net::TcpListener,
    stopped: &Notify,
    answer: &(impl Fn(Request<Incoming>) -> F + Clone + Send + 'static),
) where
    F: Future<Output = Result<Response<B>, E>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    E: Into<Box<dyn Error + Send + Sync>> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => {
            log::error!("a stand-in has no event loop: {e}");
            return;
        }
    };
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(e) => {
                log::error!("a stand-in cannot listen: {e}");
                return;
            }
        };
        let accepting = async {
            while let Ok((stream, peer)) = listener.accept().await {
                let answer = answer.clone();
                let service = service_fn(move |mut request| {
                    request.extensions_mut().insert(PeerAddress(peer));
                    answer(request)
                });
                tokio::task::spawn_local(async move {
                    let connection = http1::Builder::new();
                    let served = connection.serve_connection(TokioIo::new(stream), service);
                    if let Err(e) = served.await {
                        log::debug!("a connection to a stand-in ended: {e}");
                    }
                });
            }
        };
        tokio::select! {
            () = accepting => {}
            () = stopped.notified() => {}
        }
    });
}
