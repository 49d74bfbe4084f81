//! Stand-in for the platform's store: objects by kind and name, conditional writes, paged listings and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};
use crate::json;

const PAGE_LEN: usize = 500;

struct Stored {
    revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Objects {
    stored: BTreeMap<(String, String), Stored>,
    history: Vec<Event>,
    revision: u64,
}

/// The store. Its answers are linearizable and it forgets nothing.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

fn format_object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":0,\"finalizers\":[],\"deleting\":false}},\
         \"spec\":{spec},\"status\":null}}"
    )
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(same) = self.stored.get(&key).filter(|stored| stored.spec == spec) {
            return format_object(name, same.revision, spec);
        }
        self.revision += 1;
        let text = format_object(name, self.revision, spec);
        self.stored.insert(key, Stored { revision: self.revision, spec: spec.to_owned() });
        self.record(kind, format!("{{\"object\":{text},\"tombstone\":false}}"));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(stored) = self.stored.remove(&(kind.to_owned(), name.to_owned())) else { return false };
        self.revision += 1;
        let text = format_object(name, self.revision, &stored.spec);
        self.record(kind, format!("{{\"object\":{text},\"tombstone\":true}}"));
        true
    }

    fn record(&mut self, kind: &str, text: String) {
        self.history.push(Event { revision: self.revision, kind: kind.to_owned(), text });
    }

    fn page(&self, kind: &str, after: &str) -> String {
        let of_kind = self.stored.iter().filter(|((found, name), _)| found == kind && name.as_str() > after);
        let mut items: Vec<String> =
            of_kind.map(|((_, name), stored)| format_object(name, stored.revision, &stored.spec)).collect();
        let truncated = items.len() > PAGE_LEN;
        items.truncate(PAGE_LEN);
        format!("{{\"items\":[{}],\"truncated\":{truncated},\"asOf\":{}}}", items.join(","), self.revision)
    }

    fn events(&self, kind: &str, after: u64) -> Vec<&str> {
        let events = self.history.iter().filter(|event| event.revision > after && event.kind == kind);
        events.map(|event| event.text.as_str()).collect()
    }
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("the address of the store");
        let store = Arc::new(Self::default());
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an object, as a server or the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.objects.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.objects.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let (status, body) = self.handle(&request);
            if connection.write(&answer(status, &[("Content-Type", "application/json")], body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter =
            |name: &str| query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
        let mut parts = path.trim_start_matches('/').split('/');
        let (Some("objects"), Some(kind)) = (parts.next(), parts.next()) else { return ("404 Not Found", String::new()) };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let meta = json::field(&body, "meta").unwrap_or("{}");
        let spec = json::field(&body, "spec").unwrap_or("null");
        let mut expected = json::field(meta, "revision").and_then(|revision| revision.parse::<u64>().ok());
        match (request.method(), parts.next()) {
            ("GET", None) => match parameter("watch") {
                Some((_, after)) => {
                    let wait = parameter("waitMs").and_then(|(_, wait)| wait.parse().ok()).unwrap_or(0);
                    ("200 OK", self.watch(kind, after.parse().unwrap_or(0), Duration::from_millis(wait)))
                }
                None => {
                    let after = parameter("after").map_or("", |(_, after)| after);
                    ("200 OK", self.objects.lock().unwrap().page(kind, after))
                }
            },
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                match objects.stored.get(&(kind.to_owned(), name.to_owned())) {
                    Some(stored) => ("200 OK", format_object(name, stored.revision, &stored.spec)),
                    None => ("404 Not Found", String::new()),
                }
            }
            ("POST", None) => {
                let Some(name) = json::field(meta, "name").and_then(json::text) else {
                    return ("400 Bad Request", String::new());
                };
                self.write(kind, name, spec, |current| current.is_none())
            }
            ("PUT", Some(name)) => {
                if !self.objects.lock().unwrap().stored.contains_key(&(kind.to_owned(), name.to_owned())) {
                    return ("404 Not Found", String::new());
                }
                self.write(kind, name, spec, |current| expected.is_none() || current == expected)
            }
            ("DELETE", Some(name)) => {
                if let Some((_, revision)) = parameter("revision") {
                    expected = revision.parse().ok();
                }
                let mut objects = self.objects.lock().unwrap();
                let current = objects.stored.get(&(kind.to_owned(), name.to_owned())).map(|stored| stored.revision);
                if expected.is_some() && current.is_some() && current != expected {
                    return ("409 Conflict", String::new());
                }
                let removed = objects.remove(kind, name);
                self.changed.notify_all();
                if removed { ("200 OK", "{}".to_owned()) } else { ("404 Not Found", String::new()) }
            }
            _ => ("400 Bad Request", String::new()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
        condition: impl Fn(Option<u64>) -> bool,
    ) -> (&'static str, String) {
        let mut objects = self.objects.lock().unwrap();
        let current = objects.stored.get(&(kind.to_owned(), name.to_owned()));
        if !condition(current.map(|stored| stored.revision)) {
            let text = current.map_or("null".to_owned(), |stored| format_object(name, stored.revision, &stored.spec));
            return ("409 Conflict", text);
        }
        let written = objects.put(kind, name, spec);
        self.changed.notify_all();
        ("200 OK", written)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let events = objects.events(kind, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"asOf\":{}}}", events.join(","), objects.revision);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}
