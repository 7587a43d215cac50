//! Stand-ins of the platform for the cases of the second review: store, servers, clients.
//!
//! They use the standard library alone, and speak what PROTOCOL.md says. A case is a program of its
//! own that includes this file as a module.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------
// Record

/// What happened, in the order of time, as `record.txt` shows it.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the case began.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let mut lines = lock(&self.lines);
        let line = format!("{:>7} ms  {}", self.now(), text.as_ref());
        lines.push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for line in lock(&self.lines).iter() {
            let _ = writeln!(text, "{line}");
        }
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write {}: {error}", path.display());
        }
    }
}

// ---------------------------------------------------------------------------------------------
// JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Obj(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Self::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> Option<u64> {
        match self {
            Self::Num(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn arr(&self) -> &[Json] {
        match self {
            Self::Arr(items) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..]
            .starts_with(word.as_bytes())
            .then(|| self.at += word.len())?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::Arr(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.eat(b',').is_none() {
                        self.eat(b']')?;
                        return Some(Json::Arr(items));
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Obj(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.eat(b':')?;
                    fields.push((name, self.value()?));
                    if self.eat(b',').is_none() {
                        self.eat(b'}')?;
                        return Some(Json::Obj(fields));
                    }
                }
            }
            _ => {
                let from = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            text.extend(letter.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Quotes a text for JSON.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            letter if (letter as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", letter as u32);
            }
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

// ---------------------------------------------------------------------------------------------
// Base64

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for at in 0..3 {
            group = group << 8 | u32::from(*chunk.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            if at <= chunk.len() {
                let index = (group >> (18 - 6 * at)) & 63;
                out.push(LETTERS[index as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(index) = LETTERS.iter().position(|letter| *letter == byte) else {
            continue;
        };
        group = group << 6 | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn decode_query(text: &str) -> HashMap<String, String> {
    let decode = |text: &str| {
        let bytes = text.as_bytes();
        let (mut out, mut at) = (Vec::new(), 0);
        while at < bytes.len() {
            match bytes[at] {
                b'+' => out.push(b' '),
                b'%' if at + 2 < bytes.len() + 0 => {
                    let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
                    out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                    at += 2;
                }
                byte => out.push(byte),
            }
            at += 1;
        }
        String::from_utf8_lossy(&out).into_owned()
    };
    text.split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode(name), decode(value))
        })
        .collect()
}

/// Reads from a stream as HTTP needs it.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Reads a head up to its blank line; `None` at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = self.buffer.drain(..end + 4).collect::<Vec<u8>>();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                return Ok(Some(text.split("\r\n").map(str::to_owned).collect()));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exactly(length)?;
        self.exactly(2)?;
        Ok(data)
    }

    pub fn to_end(&mut self) -> io::Result<Vec<u8>> {
        while self.more()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads a request; `None` at the end of the stream.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(lines) = self.head()? else {
            return Ok(None);
        };
        let mut words = lines[0].split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let headers = headers(&lines[1..]);
        let is_chunked =
            header(&headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
        let body = if is_chunked {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break body;
                }
                body.extend(chunk);
            }
        } else {
            let length = header(&headers, "content-length")
                .and_then(|value| value.trim().parse().ok())
                .unwrap_or(0);
            self.exactly(length)?
        };
        Ok(Some(Request {
            method,
            path: path.to_owned(),
            query: decode_query(query),
            headers,
            body,
        }))
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect()
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

pub type Headers = Vec<(String, String)>;

/// What a stand-in does with a request.
pub enum Reply {
    /// A whole answer.
    Full(u16, Headers, Vec<u8>),
    /// Nothing, and the connection stays open.
    Silence,
    /// A closed connection.
    Close,
    /// The handler writes the answer itself; it returns whether the connection is kept.
    Raw(Box<dyn FnOnce(&mut TcpStream) -> io::Result<bool> + Send>),
}

pub fn json_reply(status: u16, body: impl Into<String>) -> Reply {
    let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
    Reply::Full(status, headers, body.into().into_bytes())
}

pub fn head_of(status: u16, headers: &[(String, String)]) -> String {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head
}

pub fn write_full(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "{}Content-Length: {}\r\n\r\n",
        head_of(status, headers),
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves connections of a listener until the process ends.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

pub fn serve_connection<H: Fn(Request) -> Reply>(stream: TcpStream, handler: &H) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.request()? {
        match handler(request) {
            Reply::Full(status, headers, body) => {
                write_full(&mut writer, status, &headers, &body)?;
            }
            Reply::Silence => {
                // The peer gives up some time; nothing further is answered on this connection.
                let _ = reader.to_end();
                return Ok(());
            }
            Reply::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return Ok(());
            }
            Reply::Raw(write) => {
                if !write(&mut writer)? {
                    let _ = writer.shutdown(Shutdown::Both);
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A client's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    write_request(&mut stream, method, path, headers, body)?;
    read_answer(&mut Reader::new(stream))
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn read_answer(reader: &mut Reader) -> io::Result<Answer> {
    let Some(lines) = reader.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = lines[0]
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let headers = headers(&lines[1..]);
    let mut body = Vec::new();
    let is_chunked =
        header(&headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length = header(&headers, "content-length").and_then(|value| value.parse::<usize>().ok());
    let is_whole = if is_chunked {
        loop {
            match reader.chunk() {
                Ok(chunk) if chunk.is_empty() => break true,
                Ok(chunk) => body.extend(chunk),
                Err(_) => break false,
            }
        }
    } else if let Some(length) = length {
        match reader.exactly(length) {
            Ok(bytes) => {
                body = bytes;
                true
            }
            Err(_) => false,
        }
    } else {
        match reader.to_end() {
            Ok(bytes) => {
                body = bytes;
                true
            }
            Err(_) => false,
        }
    };
    Ok(Answer {
        status,
        headers,
        body,
        is_whole,
    })
}

// ---------------------------------------------------------------------------------------------
// Store

#[derive(Debug, Clone)]
pub struct Item {
    /// Base64, as it travels.
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

impl Item {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&decode64(&self.value)).into_owned()
    }
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug, Default)]
pub struct StoreState {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    log: Vec<Change>,
    /// Before this revision the history is forgotten.
    forgotten: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A transaction as it was asked for.
#[derive(Debug, Clone, Default)]
pub struct Txn {
    pub expected: Vec<(String, u64)>,
    pub set: Vec<(String, String, u64)>,
    pub delete: Vec<String>,
}

/// What the store does with a call of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Serve,
    /// Turned away with 503.
    Busy,
    /// Turned away with 429.
    TooMany,
    /// Not done, and not answered.
    Silent,
    /// Done so many milliseconds later, if its condition still holds, and not answered.
    Late(u64),
    /// Done at once, and not answered.
    Lost,
}

type Hook = Box<dyn Fn(usize, &Request, Option<&Txn>) -> Verdict + Send + Sync>;

/// The platform's store, at one port for each machine, so that it can tell them apart.
pub struct Store {
    pub state: Mutex<StoreState>,
    changed: Condvar,
    hook: Mutex<Option<Arc<Hook>>>,
    /// Machines whose waiting calls are cut.
    cut: Mutex<Vec<bool>>,
}

impl Store {
    /// Starts a store for some machines; returns it and its address for each of them.
    pub fn start(machines: usize) -> (Arc<Self>, Vec<SocketAddr>) {
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 100,
                next_lease: 1,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
            hook: Mutex::default(),
            cut: Mutex::new(vec![false; machines]),
        });
        let mut addresses = Vec::new();
        for machine in 0..machines {
            let listener = listen();
            addresses.push(listener.local_addr().expect("a bound socket"));
            let serving = Arc::clone(&store);
            serve(listener, move |request| serving.answer(machine, &request));
        }
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(ms(10));
            expiring.expire();
        });
        (store, addresses)
    }

    /// Sets what decides on calls.
    pub fn set_hook(&self, hook: Hook) {
        *lock(&self.hook) = Some(Arc::new(hook));
    }

    /// Cuts the waiting calls of a machine, or lets them wait again.
    pub fn set_cut(&self, machine: usize, is_cut: bool) {
        lock(&self.cut)[machine] = is_cut;
        self.changed.notify_all();
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = lock(&self.state);
        state.put(key, encode64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = lock(&self.state);
        state.delete(key);
        drop(state);
        self.changed.notify_all();
    }

    /// Takes all keys away that live with the lease of a key; the lease itself goes on.
    pub fn take_keys_of(&self, key: &str) -> Vec<String> {
        let mut state = lock(&self.state);
        let Some(lease) = state.items.get(key).map(|item| item.lease) else {
            return Vec::new();
        };
        let keys: Vec<String> = state
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            state.delete(key);
        }
        drop(state);
        self.changed.notify_all();
        keys
    }

    pub fn item(&self, key: &str) -> Option<Item> {
        lock(&self.state).items.get(key).cloned()
    }

    /// Forgets the history so far.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.forgotten = state.revision;
        state.log.clear();
        drop(state);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let over: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in &over {
            state.end_lease(*lease);
        }
        drop(state);
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(self: &Arc<Self>, machine: usize, request: &Request) -> Reply {
        let txn = (request.path == "/v1/kv-txn").then(|| parse_txn(&request.body));
        let hook = lock(&self.hook).clone();
        let verdict = hook.map_or(Verdict::Serve, |hook| hook(machine, request, txn.as_ref()));
        match verdict {
            Verdict::Serve => self.carry_out(machine, request, txn.as_ref()),
            Verdict::Busy => json_reply(503, "{}"),
            Verdict::TooMany => json_reply(429, "{}"),
            Verdict::Silent => Reply::Silence,
            Verdict::Lost => {
                self.carry_out(machine, request, txn.as_ref());
                Reply::Silence
            }
            Verdict::Late(millis) => {
                let (store, request) = (Arc::clone(self), request.clone());
                thread::spawn(move || {
                    thread::sleep(ms(millis));
                    store.carry_out(machine, &request, txn.as_ref());
                });
                Reply::Silence
            }
        }
    }

    fn carry_out(&self, machine: usize, request: &Request, txn: Option<&Txn>) -> Reply {
        self.expire();
        let path = request.path.as_str();
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/kv-key" => match lock(&self.state).items.get(&query("key")) {
                Some(item) => json_reply(200, item_json(&query("key"), item)),
                None => json_reply(404, "{}"),
            },
            "/v1/kv-range" => {
                let state = lock(&self.state);
                let (prefix, after) = (query("prefix"), query("after"));
                let all: Vec<(&String, &Item)> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let items: Vec<String> = all
                    .iter()
                    .take(500)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                json_reply(
                    200,
                    format!(
                        "{{\"items\":[{}],\"hasMore\":{},\"currentRev\":{}}}",
                        items.join(","),
                        all.len() > 500,
                        state.revision
                    ),
                )
            }
            "/v1/kv-watch" => self.watch(
                machine,
                &query("prefix"),
                query("after").parse().unwrap_or(0),
                query("waitMs").parse().unwrap_or(0),
            ),
            "/v1/kv-txn" => {
                let reply = lock(&self.state).commit(txn.expect("a transaction"));
                self.changed.notify_all();
                reply
            }
            "/v1/kv-lease" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let span = body
                    .and_then(|body| body.get("ttlMs").num())
                    .unwrap_or(3_000)
                    .max(1_000);
                let mut state = lock(&self.state);
                let lease = state.next_lease;
                state.next_lease += 1;
                state
                    .leases
                    .insert(lease, (Instant::now() + ms(span), ms(span)));
                json_reply(200, format!("{{\"lease\":{lease},\"ttlMs\":{span}}}"))
            }
            _ => {
                let (call, id) = path.rsplit_once('/').unwrap_or((path, ""));
                let lease: u64 = id.parse().unwrap_or(0);
                let mut state = lock(&self.state);
                match call {
                    "/v1/kv-keep" => match state.leases.get_mut(&lease) {
                        Some((until, span)) => {
                            *until = Instant::now() + *span;
                            json_reply(200, format!("{{\"ttlMs\":{}}}", span.as_millis()))
                        }
                        None => json_reply(404, "{}"),
                    },
                    "/v1/kv-lease-end" => {
                        state.end_lease(lease);
                        drop(state);
                        self.changed.notify_all();
                        json_reply(200, "{}")
                    }
                    _ => json_reply(404, "{}"),
                }
            }
        }
    }

    fn watch(&self, machine: usize, prefix: &str, after: u64, wait: u64) -> Reply {
        let until = Instant::now() + ms(wait);
        let mut state = lock(&self.state);
        loop {
            if lock(&self.cut)[machine] {
                return Reply::Close;
            }
            if after < state.forgotten {
                return json_reply(410, "{}");
            }
            let events: Vec<String> = state
                .log
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(change_json)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return json_reply(
                    200,
                    format!(
                        "{{\"events\":[{}],\"currentRev\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        self.set(key, value, lease);
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn commit(&mut self, txn: &Txn) -> Reply {
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = txn
            .expected
            .iter()
            .all(|(key, revision)| current(key) == *revision);
        if !holds {
            let found: Vec<String> = txn
                .expected
                .iter()
                .filter_map(|(key, _)| Some(item_json(key, self.items.get(key)?)))
                .collect();
            return json_reply(412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let mut leases = txn.set.iter().map(|(_, _, lease)| lease);
        if leases.any(|lease| *lease != 0 && !self.leases.contains_key(lease)) {
            return json_reply(404, "{}");
        }
        self.revision += 1;
        for (key, value, lease) in &txn.set {
            self.set(key, value.clone(), *lease);
        }
        for key in &txn.delete {
            if self.items.remove(key).is_some() {
                let revision = self.revision;
                self.log.push(Change {
                    key: key.clone(),
                    revision,
                    item: None,
                });
            }
        }
        json_reply(200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn change_json(change: &Change) -> String {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
            quoted(&change.key),
            change.revision
        ),
    }
}

fn parse_txn(body: &[u8]) -> Txn {
    let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
    Txn {
        expected: body
            .get("expected")
            .arr()
            .iter()
            .map(|row| {
                let revision = row.get("revision").num().unwrap_or(0);
                (row.get("key").str().to_owned(), revision)
            })
            .collect(),
        set: body
            .get("setKeys")
            .arr()
            .iter()
            .map(|row| {
                let lease = row.get("lease").num().unwrap_or(0);
                (
                    row.get("key").str().to_owned(),
                    row.get("value").str().to_owned(),
                    lease,
                )
            })
            .collect(),
        delete: body
            .get("deleteKeys")
            .arr()
            .iter()
            .map(|key| key.str().to_owned())
            .collect(),
    }
}

// ---------------------------------------------------------------------------------------------
// Servers

/// An order as a server received it.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: u64,
    pub holder: String,
    pub token: u64,
    pub operation: String,
    pub adapter: String,
    pub expected: u64,
    pub status: u16,
}

/// A request that a server began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: u64,
    pub id: String,
    pub path: String,
}

#[derive(Debug, Default)]
pub struct EngineState {
    pub sequence: u64,
    pub adapters: BTreeMap<String, u64>,
    pub incoming: BTreeMap<String, Instant>,
    pub uses: HashMap<String, u32>,
    pub orders: Vec<Order>,
    pub runs: Vec<Run>,
    pub has_overflowed: bool,
    pub state: &'static str,
    pub is_gone: bool,
}

/// A model server with one base model.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub state: Mutex<EngineState>,
    record: Record,
    store: Arc<Store>,
}

pub const MODEL: &str = "m0";
/// Time of a load of an adapter.
const LOAD: Duration = Duration::from_millis(250);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = listen();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a bound socket"),
            slots,
            state: Mutex::new(EngineState {
                sequence: 1,
                state: "ready",
                ..EngineState::default()
            }),
            record: record.clone(),
            store: Arc::clone(store),
        });
        let serving = Arc::clone(&engine);
        serve(listener, move |request| serving.answer(request));
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                if lock(&beating.state).is_gone {
                    return;
                }
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        engine
    }

    /// Writes the server's entry.
    pub fn register(&self) {
        let state = lock(&self.state);
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{}\",\"coldLeftMs\":0,\"sequence\":{},\"models\":{}}}",
            quoted(&self.service),
            self.address,
            quoted(&self.zone),
            state.state,
            state.sequence,
            models_json(&state)
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn settle(state: &mut EngineState) {
        let now = Instant::now();
        let loaded: Vec<String> = state
            .incoming
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in loaded {
            state.incoming.remove(&adapter);
            state.adapters.insert(adapter, 1);
        }
    }

    fn answer(self: &Arc<Self>, request: Request) -> Reply {
        let expected = request.header("expect-instance");
        let attempt = request.header("request-attempt").map(str::to_owned);
        let mut headers: Headers = Vec::new();
        if let Some(attempt) = &attempt {
            headers.push(("Request-Attempt".to_owned(), attempt.clone()));
        }
        headers.push(("Keep-Alive".to_owned(), "timeout=10".to_owned()));
        if expected.is_some_and(|expected| expected != self.id) {
            headers.push(("Not-Executed".to_owned(), "1".to_owned()));
            return Reply::Full(421, headers, Vec::new());
        }
        match request.path.as_str() {
            "/v1/order" => self.order(&request),
            "/v1/report" => self.report(),
            "/health" => {
                headers.push(("Instance-Id".to_owned(), self.id.clone()));
                Reply::Full(200, headers, Vec::new())
            }
            _ => self.run(request, headers),
        }
    }

    fn report(&self) -> Reply {
        let mut state = lock(&self.state);
        Self::settle(&mut state);
        let incoming: Vec<String> = state
            .incoming
            .keys()
            .map(|adapter| quoted(&format!("{MODEL}/{adapter}@1")))
            .collect();
        json_reply(
            200,
            format!(
                "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"sequence\":{},\"queued\":0,\
                 \"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"incoming\":[{}]}}",
                models_json(&state),
                state.sequence,
                incoming.join(",")
            ),
        )
    }

    fn order(&self, request: &Request) -> Reply {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let operation = body.get("operation").str().to_owned();
        let adapter = body.get("adapter").str().to_owned();
        let expected = body.get("expected").num();
        let mut state = lock(&self.state);
        Self::settle(&mut state);
        let is_load = operation == "load";
        let holds = state.adapters.contains_key(&adapter);
        let is_used = state.uses.get(&adapter).is_some_and(|uses| *uses > 0);
        let status = if body.get("holder").str().is_empty()
            || body.get("fencingToken").num().is_none()
        {
            400
        } else if adapter.is_empty() || (is_load && holds) || (!is_load && !holds) {
            200
        } else if is_load && state.incoming.contains_key(&adapter) {
            202
        } else if expected.is_some_and(|expected| expected != state.sequence)
            || (is_load && state.incoming.len() >= 4)
            || (!is_load && is_used)
        {
            409
        } else if is_load {
            state.sequence += 1;
            state
                .incoming
                .insert(adapter.clone(), Instant::now() + LOAD);
            if state.adapters.len() + state.incoming.len() > self.slots {
                state.has_overflowed = true;
            }
            202
        } else {
            state.sequence += 1;
            state.adapters.remove(&adapter);
            200
        };
        let order = Order {
            at: self.record.now(),
            holder: body.get("holder").str().to_owned(),
            token: body.get("fencingToken").num().unwrap_or(0),
            operation,
            adapter,
            expected: expected.unwrap_or(0),
            status,
        };
        self.record.say(format!(
            "{}: order {} {} expected={} holder={} token={} -> {}",
            self.id,
            order.operation,
            order.adapter,
            order.expected,
            order.holder,
            order.token,
            order.status
        ));
        state.orders.push(order);
        json_reply(status, "{}")
    }

    fn run(self: &Arc<Self>, request: Request, mut headers: Headers) -> Reply {
        let model = request.header("model").unwrap_or_default().to_owned();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned());
        let id = request
            .header("request-attempt")
            .unwrap_or_default()
            .to_owned();
        let mut state = lock(&self.state);
        Self::settle(&mut state);
        let is_absent = adapter
            .as_ref()
            .is_some_and(|adapter| !state.adapters.contains_key(adapter));
        if is_absent {
            headers.push(("Not-Executed".to_owned(), "1".to_owned()));
            return Reply::Full(421, headers, Vec::new());
        }
        if let Some(adapter) = &adapter {
            *state.uses.entry(adapter.clone()).or_default() += 1;
        }
        state.runs.push(Run {
            at: self.record.now(),
            id,
            path: request.path.clone(),
        });
        drop(state);
        let engine = Arc::clone(self);
        let (events, pause) = stream_of(&request.path);
        headers.push(("Server-Seal".to_owned(), "seal".to_owned()));
        headers.push(("Content-Type".to_owned(), "text/event-stream".to_owned()));
        headers.push(("Transfer-Encoding".to_owned(), "chunked".to_owned()));
        Reply::Raw(Box::new(move |stream| {
            let written = write_events(stream, &headers, (events, pause));
            if let Some(adapter) = &adapter {
                if let Some(uses) = lock(&engine.state).uses.get_mut(adapter) {
                    *uses -= 1;
                }
            }
            written.map(|()| true)
        }))
    }
}

/// Events of a stream and the pause before each, in ms: 57 of them where the path ends in `/long`.
fn stream_of(path: &str) -> (u64, u64) {
    if path.ends_with("/long") {
        (57, 122)
    } else {
        (4, 10)
    }
}

fn write_events(
    stream: &mut TcpStream,
    headers: &[(String, String)],
    (events, pause): (u64, u64),
) -> io::Result<()> {
    stream.write_all(format!("{}\r\n", head_of(200, headers)).as_bytes())?;
    for event in 1..=events {
        thread::sleep(ms(pause));
        let event = format!("id: {event}\ndata: piece {event}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn models_json(state: &EngineState) -> String {
    let adapters: Vec<String> = state
        .adapters
        .keys()
        .map(|adapter| quoted(&format!("{adapter}@1")))
        .collect();
    format!(
        "[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{}]}}]",
        adapters.join(",")
    )
}

// ---------------------------------------------------------------------------------------------
// Nodes

/// A node of the system: a process started as the deploy file says.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Two free ports behind each other.
fn port_pair() -> (u16, u16) {
    loop {
        let first = listen();
        let port = first.local_addr().expect("a bound socket").port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return (port, port + 1);
        }
    }
}

fn free_port() -> SocketAddr {
    listen().local_addr().expect("a bound socket")
}

impl Node {
    /// Writes the settings of a node, and starts it.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let (front, readiness) = (free_port(), free_port());
        let (first, last) = port_pair();
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=chivevalve\nmachineClass=front\nserves=front\nip=127.0.0.1\n\
             zone={zone}\nregion=ljubljana\nzones.hall-a=ljubljana\nzones.hall-b=ljubljana\n\
             zones.hall-c=ljubljana\nlisten.front={front}\nlisten.readiness={readiness}\n\
             innerPortRange={first},{last}\nseeds=\nbootstrap=false\nlossCounts=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n\
             heartbeatMs=1200\ntolerance.machines=2\ntolerance.zones=0\ntolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.stretchMaxMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetExtra=54\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n\
             bounds.requireFence=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             bounds.ceilingWindowS=5\nbounds.ceilingOverage=1.1\nbounds.version_ms=5000\n\
             platform.address={store}\nplatform.form=kv\nplatform.writesPerS=400\n\
             platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
             platform.minTtlMs=1000\n"
        );
        fs::write(&settings, text)?;
        let node = Self {
            name: name.to_owned(),
            front,
            readiness,
            settings,
            log: folder.join(format!("{name}.log")),
            child: Mutex::default(),
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process, also again after it has ended.
    pub fn spawn(&self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new("target/release/chivevalved")
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CHIVEVALVE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *lock(&self.child) = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(pid.to_string())
                .status();
        }
    }

    /// How the process ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut child = lock(&self.child);
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "node".to_owned())];
        call(
            self.readiness,
            "GET",
            "/v1/ready",
            &headers,
            b"",
            ms(1_000),
        )
        .is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Deployment

pub const HOST: &str = "shop.example";

/// The configuration: one route of each kind, figures as on the users' sheet.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, goal: u64, extra: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"goalMs\":{goal},\"priority\":1,\
             \"service\":\"{service}\",{extra}}}"
        )
    };
    let streams = "\"maxAttempts\":2,\"stickySessions\":true,\"resumable\":true,\"gapTargetMs\":250";
    let once = "\"maxAttempts\":1,\"stickySessions\":true,\"resumable\":false,\"gapTargetMs\":250";
    let plain = "\"maxAttempts\":2,\"stickySessions\":false,\"resumable\":false";
    let routes = [
        route("daily-summary", "streaming", "llm-pool", 15_000, 600, streams),
        route("weekly-digest", "streaming", "llm-pool", 25_000, 1_000, once),
        route("receipt-push", "unsafe", "connector-api", 1_000, 100, plain),
        route("stock-push", "safe", "connector-api", 1_000, 100, plain),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"connector-api\",\"healthPath\":\"/health\",\"maxConns\":100,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"llm-pool\",\"healthPath\":\"/health\",\"maxConns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":141396,\
         \"adapterSlots\":20,\"weightsMb\":68000,\"loadsPerS\":3.1,\"models\":[{{\"name\":\"{MODEL}\",\
         \"weightsMb\":65500,\"loadS\":2.9,\"adapters\":3000,\"adapterMb\":40}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Identity of a client's attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Ends the case: writes the record and returns the exit code.
pub fn verdict(record: &Record, breaches: &[String]) -> i32 {
    for breach in breaches {
        record.say(format!("BROKEN {breach}"));
    }
    record.say(if breaches.is_empty() {
        "the rule held".to_owned()
    } else {
        format!("the rule was broken {} times", breaches.len())
    });
    i32::from(!breaches.is_empty())
}

/// Whether a flag is set.
pub fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

/// `leaseMs` of the pages.
const LEASE_MS: u64 = 3_000;

/// Rule ONE: no two holders with one token, no lower token after a higher one, and no two holders
/// that take turns within `leaseMs`.
///
/// A holder that follows another one for good is no breach, however soon.
pub fn judge_one(engine: &Engine) -> Vec<String> {
    let mut breaches = Vec::new();
    let orders = lock(&engine.state).orders.clone();
    for (at, order) in orders.iter().enumerate() {
        let before = &orders[..at];
        let told = format!("ONE: at {} ms {} takes an order of {}", order.at, engine.id, order.holder);
        if let Some(higher) = before.iter().find(|earlier| earlier.token > order.token) {
            breaches.push(format!(
                "{told} with token {} after one of {} with {}",
                order.token, higher.holder, higher.token
            ));
        }
        let is_same_token = |earlier: &&Order| {
            earlier.token == order.token && earlier.holder != order.holder
        };
        if let Some(other) = before.iter().find(is_same_token) {
            breaches.push(format!("{told} with the token {} of {}", order.token, other.holder));
        }
        let last_own = before.iter().rposition(|earlier| earlier.holder == order.holder);
        if let Some(last_own) = last_own {
            let behind = order.at - before[last_own].at;
            if last_own + 1 < at && behind < LEASE_MS {
                let between = &before[at - 1].holder;
                breaches.push(format!("{told} {behind} ms behind its last one, with {between} between"));
            }
        }
    }
    breaches
}
