//! Recorded traffic, so that operators can try their own.

use std::collections::HashMap;
use std::path::Path;
use std::str::FromStr;

use chivevalve::clock::Millis;
use chivevalve::request::Class;
use eyre::{Result, WrapErr, ensure, eyre};

use super::traffic::Request;

/// The columns, in order; a trace's first line names them.
pub const COLUMNS: [&str; 8] = [
    "arrival_ms",
    "account",
    "adapter",
    "class",
    "weight",
    "idempotent",
    "prompt_tokens",
    "output_tokens",
];
/// The largest class number; see [`Class`].
const LAST_CLASS: u32 = 2;

/// A trace's requests by arrival.
#[derive(Debug, Default)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
    /// How many adapters they name.
    pub adapters: u32,
}

/// Gives each name a number, in the order of its first use.
#[derive(Debug, Default)]
struct Numbers(HashMap<String, u32>);

impl Numbers {
    fn of(&mut self, name: &str) -> u32 {
        let next = u32::try_from(self.0.len()).unwrap_or(u32::MAX);
        *self.0.entry(name.to_owned()).or_insert(next)
    }
}

/// Reads a trace from a file.
///
/// # Errors
///
/// When the file can't be read, or for the first malformed line with its number.
pub fn read(path: &Path) -> Result<Trace> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("can't read the trace {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("the trace {} is malformed", path.display()))
}

/// Reads a trace from text.
fn parse(text: &str) -> Result<Trace> {
    let mut lines = (1_usize..).zip(text.lines());
    let header: Vec<&str> = lines
        .next()
        .map(|(_, line)| line.split(',').map(str::trim).collect())
        .unwrap_or_default();
    ensure!(
        header == COLUMNS,
        "line 1: the columns must be {}",
        COLUMNS.join(",")
    );
    let mut trace = Trace::default();
    let (mut accounts, mut adapters) = (Numbers::default(), Numbers::default());
    for (number, line) in lines {
        if line.trim().is_empty() {
            continue;
        }
        let request = request(line, &mut accounts, &mut adapters)
            .wrap_err_with(|| format!("line {number}"))?;
        trace.requests.push(request);
    }
    ensure!(!trace.requests.is_empty(), "it holds no request");
    trace.requests.sort_by_key(|request| request.arrival);
    trace.adapters = adapters.of("");
    Ok(trace)
}

fn request(line: &str, accounts: &mut Numbers, adapters: &mut Numbers) -> Result<Request> {
    let cells: Vec<&str> = line.split(',').map(str::trim).collect();
    ensure!(
        cells.len() == COLUMNS.len(),
        "{} columns instead of {}",
        cells.len(),
        COLUMNS.len()
    );
    let class: u32 = cell(&cells, 3)?;
    ensure!(class <= LAST_CLASS, "class {class} is above {LAST_CLASS}");
    let weight: u32 = cell(&cells, 4)?;
    ensure!(weight > 0, "weight is 0; it is at least 1");
    let output_tokens: u32 = cell(&cells, 7)?;
    ensure!(output_tokens > 0, "output_tokens is 0; it is at least 1");
    ensure!(!cells[1].is_empty(), "account is empty");
    ensure!(!cells[2].is_empty(), "adapter is empty");
    Ok(Request {
        arrival: Millis(cell(&cells, 0)?),
        account: accounts.of(cells[1]),
        adapter: adapters.of(cells[2]),
        class: Class::from_index(class),
        weight,
        idempotent: truth(cells[5])?,
        prompt_tokens: cell(&cells, 6)?,
        output_tokens,
    })
}

fn cell<T: FromStr>(cells: &[&str], column: usize) -> Result<T> {
    let text = cells[column];
    text.parse()
        .map_err(|_| eyre!("{} is {text:?}, not a whole number", COLUMNS[column]))
}

fn truth(text: &str) -> Result<bool> {
    match text {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        _ => Err(eyre!("idempotent is {text:?}, not true or false")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str =
        "arrival_ms,account,adapter,class,weight,idempotent,prompt_tokens,output_tokens\n";

    #[test]
    fn parse_sorts_and_numbers() {
        let text = format!("{HEAD}20,a,x,0,1,true,10,20\n\n10,b,y,2,3,0,10,20\n");
        let trace = parse(&text).expect("a good trace");
        assert_eq!(trace.adapters, 2);
        assert_eq!(trace.requests[0].arrival, Millis(10));
        assert_eq!(trace.requests[0].class, Class::Bulk);
        assert_eq!(trace.requests[0].adapter, 1);
    }

    #[test]
    fn parse_malformed_line() {
        for (line, why) in [
            ("1,a,x,0,1,true,10", "7 columns instead of 8"),
            ("-1,a,x,0,1,true,10,20", "arrival_ms is \"-1\""),
            ("1,a,x,3,1,true,10,20", "class 3 is above 2"),
            ("1,a,x,0,0,true,10,20", "weight is 0"),
            ("1,a,x,0,1,maybe,10,20", "idempotent is \"maybe\""),
            ("1,a,x,0,1,true,10,0", "output_tokens is 0"),
            ("1,a,,0,1,true,10,1", "adapter is empty"),
        ] {
            let text = format!("{HEAD}1,a,x,0,1,true,10,20\n{line}\n");
            let error = format!("{:#}", parse(&text).expect_err("a malformed line"));
            assert!(error.starts_with("line 3: "), "{error}");
            assert!(error.contains(why), "{error}");
        }
    }

    #[test]
    fn parse_without_header() {
        let error = parse("1,a,x,0,1,true,10,20\n").expect_err("no header");
        assert!(error.to_string().starts_with("line 1: "), "{error}");
    }
}
