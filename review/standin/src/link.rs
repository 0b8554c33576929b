//! The way of one process to the store, on which open connections can go silent.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::store::Store;

#[derive(Debug, Default)]
struct State {
    /// Connections on which nothing is delivered any more.
    silent: HashSet<SocketAddr>,
    /// Feeds that wait for changes: connection, table, since when.
    waiting: HashMap<SocketAddr, (String, Instant)>,
    /// The link that goes silent together with this one, once a cancellation is written.
    trap: Option<Arc<Link>>,
}

#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    state: Mutex<State>,
}

impl Link {
    pub fn start(store: &Arc<Store>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let link = Arc::new(Self { address, state: Mutex::default() });
        let (served, store) = (Arc::clone(&link), Arc::clone(store));
        let handler =
            move |request: &Request, stream: &TcpStream| served.handle(&store, request, stream);
        http::serve(listener, Arc::new(handler));
        Ok(link)
    }

    fn silence_waiting(&self) {
        let mut state = self.state.lock().unwrap();
        let waiting: Vec<SocketAddr> = state.waiting.keys().copied().collect();
        state.silent.extend(waiting);
    }

    /// Returns the number of connections on which a feed waits.
    pub fn waiting(&self) -> usize {
        self.state.lock().unwrap().waiting.len()
    }

    /// Returns for how long the feed of a table has been waiting.
    pub fn waits_for(&self, table: &str) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        let feeds = state.waiting.values().filter(|(other, _)| other == table);
        feeds.map(|(_, since)| since.elapsed()).min()
    }

    /// Lets open connections go silent when the next cancellation is written over this link:
    /// the one that it is written over, and those on which feeds wait on the other link. New
    /// connections work.
    pub fn go_silent_at_cancellation(&self, other: &Arc<Link>) {
        self.state.lock().unwrap().trap = Some(Arc::clone(other));
    }

    /// Returns whether that has happened.
    pub fn is_silent(&self) -> bool {
        !self.state.lock().unwrap().silent.is_empty()
    }

    fn handle(&self, store: &Store, request: &Request, stream: &TcpStream) -> Reply {
        let Ok(peer) = stream.peer_addr() else { return Reply::Close };
        if self.state.lock().unwrap().silent.contains(&peer) {
            return self.stay_silent(stream);
        }
        if request.path == "/-/rows-feed" {
            let table = request.query("table").unwrap_or_default().to_string();
            self.state.lock().unwrap().waiting.insert(peer, (table, Instant::now()));
        }
        let puts = request.json()["puts"].as_array().cloned().unwrap_or_default();
        let is_cancellation =
            puts.iter().any(|put| put["key"].as_str().is_some_and(|key| key.ends_with(".cancel")));
        if is_cancellation {
            let mut state = self.state.lock().unwrap();
            if let Some(other) = state.trap.take() {
                state.silent.insert(peer);
                drop(state);
                other.silence_waiting();
            }
        }
        let reply = store.handle(request);
        let is_silent = {
            let mut state = self.state.lock().unwrap();
            state.waiting.remove(&peer);
            state.silent.contains(&peer)
        };
        if is_silent { self.stay_silent(stream) } else { reply }
    }

    fn stay_silent(&self, stream: &TcpStream) -> Reply {
        while !http::is_closed(stream) {
            thread::sleep(Duration::from_millis(20));
        }
        Reply::Close
    }
}
