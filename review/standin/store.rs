//! Stand-in of the platform's store, as PROTOCOL.md tells it: objects, conditions, watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::note;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    events: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Serves on a loopback address and returns it.
    pub fn serve(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("the store can listen");
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.connection(stream));
            }
        });
        address
    }

    /// Writes an object as the operator and the backends do; `value` has all fields but `metadata`.
    pub fn write(&self, kind: &str, name: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.put(kind, name, Json::parse(value));
        self.0.1.notify_all();
        note(&format!("store acked kind={kind} name={name} revision={} {value}", state.revision));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.remove(kind, name);
        self.0.1.notify_all();
        note(&format!("store acked kind={kind} name={name} revision={} removed", state.revision));
    }

    /// Returns the `spec` of an object, or null.
    pub fn spec(&self, kind: &str, name: &str) -> Json {
        let state = self.0.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or(Json::Null, |object| object.get("spec").clone())
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            // The call takes the time that the pages give.
            thread::sleep(Duration::from_millis(4));
            let headers = [("content-type", "application/json")];
            let bytes = http::response(status, &headers, body.to_string().as_bytes());
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let target = request.word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/-/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let field = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value.to_owned())
        };
        if request.method() == "GET" && name.is_empty() {
            let number = |wanted: &str| field(wanted).and_then(|text| text.parse().ok());
            return match number("watch") {
                Some(after) => self.watch(kind, after, number("wait-ms").unwrap_or(0)),
                None => (200, self.0.0.lock().unwrap().list(kind, field("after"))),
            };
        }
        let mut state = self.0.0.lock().unwrap();
        let answer = match request.method() {
            "GET" => state.get(kind, name),
            "POST" | "PUT" => state.write(request.method(), kind, &Json::parse(&request.text())),
            _ => (400, Json::Null),
        };
        self.0.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let found = state.events_after(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let mut answer = Json::Object(vec![("events".to_owned(), Json::List(found))]);
                answer.set("store-revision", Json::Number(state.revision.to_string()));
                return (200, answer);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, mut object: Json) {
        let key = (kind.to_owned(), name.to_owned());
        let before = self.objects.get(&key);
        let created = before.and_then(|known| known.get("metadata").get("created").number());
        self.revision += 1;
        let created = created.unwrap_or(self.revision);
        let metadata = format!(
            "{{\"name\":\"{name}\",\"rev\":{},\"created\":{created},\"finalizers\":[],\"deleting\":false}}",
            self.revision
        );
        object.set("metadata", Json::parse(&metadata));
        self.objects.insert(key, object.clone());
        self.events.push((self.revision, kind.to_owned(), object, false));
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let mut metadata = object.get("metadata").clone();
            metadata.set("rev", Json::Number(self.revision.to_string()));
            object.set("metadata", metadata);
            self.events.push((self.revision, kind.to_owned(), object, true));
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Json) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.clone()),
            None => (404, Json::Object(Vec::new())),
        }
    }

    fn write(&mut self, method: &str, kind: &str, body: &Json) -> (u16, Json) {
        let name = body.get("metadata").get("name").text().to_owned();
        let known = self.objects.get(&(kind.to_owned(), name.clone())).cloned();
        match (method, &known) {
            ("POST", Some(object)) => return (409, object.clone()),
            ("PUT", None) => return (404, Json::Object(Vec::new())),
            ("PUT", Some(object)) => {
                let wanted = body.get("metadata").get("rev").number();
                if wanted.is_some() && wanted != object.get("metadata").get("rev").number() {
                    return (409, object.clone());
                }
                if object.get("spec") == body.get("spec") {
                    return (200, object.clone());
                }
            }
            _ => {}
        }
        let mut object = Json::Object(vec![("spec".to_owned(), body.get("spec").clone())]);
        object.set("status", Json::Null);
        self.put(kind, &name, object);
        self.get(kind, &name)
    }

    fn list(&self, kind: &str, after: Option<String>) -> Json {
        let of_kind = self.objects.iter().filter(|((known, name), _)| {
            known == kind && after.as_ref().is_none_or(|after| name > after)
        });
        let items = of_kind.map(|(_, object)| object.clone()).collect();
        let mut list = Json::Object(vec![("items".to_owned(), Json::List(items))]);
        list.set("has-more", Json::Bool(false));
        list.set("store-revision", Json::Number(self.revision.to_string()));
        list
    }

    fn events_after(&self, kind: &str, after: u64) -> Vec<Json> {
        let events = self.events.iter();
        let events = events.filter(|(revision, known, ..)| *revision > after && known == kind);
        let events = events.map(|(_, _, object, deleted)| {
            let mut event = Json::Object(vec![("object".to_owned(), object.clone())]);
            event.set("deleted", Json::Bool(*deleted));
            event
        });
        events.collect()
    }
}
