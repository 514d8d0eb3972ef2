//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};
use crate::record::Record;

#[derive(Clone)]
struct Object {
    rev: u64,
    /// All fields but the metadata.
    fields: Vec<(String, Json)>,
}

#[derive(Default)]
struct Data {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, object, and whether it was deleted.
    log: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

fn render(name: &str, object: &Object) -> Json {
    let metadata = json::obj(vec![
        ("name", json::str(name)),
        ("rev", json::num(object.rev)),
        ("finalizers", Json::Arr(Vec::new())),
    ]);
    let mut fields = vec![("metadata".to_owned(), metadata)];
    fields.extend(object.fields.clone());
    Json::Obj(fields)
}

impl Data {
    fn put(&mut self, kind: &str, name: &str, fields: Vec<(String, Json)>) -> Json {
        self.rev += 1;
        let object = Object { rev: self.rev, fields };
        let shown = render(name, &object);
        self.objects.insert((kind.to_owned(), name.to_owned()), object);
        self.log.push((self.rev, kind.to_owned(), shown.clone(), false));
        shown
    }

    fn delete(&mut self, kind: &str, name: &str) {
        if let Some(mut object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.rev += 1;
            object.rev = self.rev;
            self.log.push((self.rev, kind.to_owned(), render(name, &object), true));
        }
    }
}

impl Store {
    pub fn new(record: Record) -> Self {
        let data = Data { rev: 1, ..Data::default() };
        Self { data: Arc::new((Mutex::new(data), Condvar::new())), record }
    }

    /// Opens another address of the store, for one machine.
    pub fn open(&self, ip: &str) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("bind");
        let addr = listener.local_addr().expect("address");
        let store = self.clone();
        http::serve(listener, move |stream| store.connection(stream));
        addr
    }

    /// Writes an object as the operator or a backend does, and returns its revision.
    pub fn write(&self, kind: &str, name: &str, fields: Vec<(&str, Json)>) -> u64 {
        let mut data = self.data.0.lock().expect("store");
        let fields = fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
        data.put(kind, name, fields);
        let rev = data.rev;
        self.data.1.notify_all();
        rev
    }

    fn connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            if request.method() != "GET" {
                self.record.note(&format!(
                    "store {} {} -> {status}",
                    request.method(),
                    request.target()
                ));
            }
            let headers = [("Content-Type", "application/json".to_owned())];
            if writer.write_all(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|part| part.split_once('=')).collect();
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let mut data = self.data.0.lock().expect("store");
        let id = |name: &str| (kind.to_owned(), name.to_owned());
        match request.method() {
            "GET" if name.is_empty() => match number("watch") {
                Some(after) => {
                    let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
                    loop {
                        let seen = |(rev, of, _, _): &&(u64, String, Json, bool)| {
                            *rev > after && of == kind
                        };
                        let events: Vec<Json> = data
                            .log
                            .iter()
                            .filter(seen)
                            .map(|(_, _, object, deleted)| {
                                json::obj(vec![
                                    ("object", object.clone()),
                                    ("deleted", Json::Bool(*deleted)),
                                ])
                            })
                            .collect();
                        let left = end.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let body = json::obj(vec![
                                ("events", Json::Arr(events)),
                                ("store-revision", json::num(data.rev)),
                            ]);
                            return (200, body.to_string());
                        }
                        data = self.data.1.wait_timeout(data, left).expect("store").0;
                    }
                }
                None => {
                    let after = query.get("after").copied().unwrap_or("");
                    let items: Vec<Json> = data
                        .objects
                        .iter()
                        .filter(|((of, name), _)| of == kind && name.as_str() > after)
                        .map(|((_, name), object)| render(name, object))
                        .collect();
                    let body = json::obj(vec![
                        ("items", Json::Arr(items)),
                        ("has-more", Json::Bool(false)),
                        ("store-revision", json::num(data.rev)),
                    ]);
                    (200, body.to_string())
                }
            },
            "GET" => match data.objects.get(&id(name)) {
                Some(object) => (200, render(name, object).to_string()),
                None => (404, "{}".to_owned()),
            },
            "POST" | "PUT" => {
                let Ok(body) = Json::parse(&request.body) else {
                    return (400, "{}".to_owned());
                };
                let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
                let create = request.method() == "POST";
                let name = if create { metadata.text("name").unwrap_or("") } else { name };
                let known = data.objects.get(&id(name)).cloned();
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                match known {
                    Some(object) if create => (409, render(name, &object).to_string()),
                    None if !create => (404, "{}".to_owned()),
                    Some(object) if metadata.u64("rev").is_some_and(|rev| rev != object.rev) => {
                        (409, render(name, &object).to_string())
                    }
                    Some(object) if object.fields.iter().any(|(k, v)| k == "spec" && *v == spec) => {
                        (200, render(name, &object).to_string())
                    }
                    _ => {
                        let shown = data.put(kind, name, vec![("spec".to_owned(), spec)]);
                        self.data.1.notify_all();
                        (if create { 201 } else { 200 }, shown.to_string())
                    }
                }
            }
            "DELETE" => {
                let Some(object) = data.objects.get(&id(name)).cloned() else {
                    return (404, "{}".to_owned());
                };
                if number("rev").is_some_and(|rev| rev != object.rev) {
                    return (409, render(name, &object).to_string());
                }
                data.delete(kind, name);
                self.data.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        }
    }
}
