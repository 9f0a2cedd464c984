//! Reads the JSON pages of instances. Missing fields get default values, so that one version of
//! the tool can read a fleet that runs several versions.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tanager_core::ResultCode;

use crate::error::{Error, Result};

/// Longest time to wait for one instance.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A page of one instance.
#[derive(Debug)]
pub struct Page {
    pub address: SocketAddr,
    pub body: Value,
}

/// The pages that could be read.
pub struct FetchedPages {
    pub pages: Vec<Page>,
    /// Whether the page of every instance could be read.
    pub complete: bool,
}

/// Reads a page of all instances concurrently. Instances that cannot be read are reported on
/// standard error.
pub async fn fetch_all(addresses: &[SocketAddr], path: &str) -> Result<FetchedPages> {
    let tasks: Vec<_> = addresses
        .iter()
        .map(|address| {
            let (address, path) = (*address, path.to_owned());
            tokio::spawn(async move { (address, fetch(address, &path).await) })
        })
        .collect();
    let mut pages = Vec::new();
    for task in tasks {
        match task.await {
            Ok((address, Ok(body))) => pages.push(Page { address, body }),
            Ok((address, Err(cause))) => {
                let code = ResultCode::PeerUnreachable;
                eprintln!("{code}: instance at {address}: {cause}");
            }
            Err(_) => {}
        }
    }
    if pages.is_empty() {
        let addresses = addresses.to_vec();
        return Err(Error::Unreachable { addresses });
    }
    let complete = pages.len() == addresses.len();
    Ok(FetchedPages { pages, complete })
}

/// Reads one page. `/explain` answers with status 404 if the instance has no recorded decision
/// about the id; the result is then an empty list.
async fn fetch(address: SocketAddr, path: &str) -> std::result::Result<Value, String> {
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build();
    let url = format!("http://{address}{path}");
    let client = client.map_err(|e| e.to_string())?;
    let response = client.get(url).send().await.map_err(|e| root_cause(&e))?;
    match response.status().as_u16() {
        200 => response.json().await.map_err(|e| root_cause(&e)),
        404 if path.starts_with("/explain") => Ok(json!([])),
        status => Err(format!("status {status}")),
    }
}

/// Returns the innermost cause; the outer ones only repeat the address.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut inner = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    inner.to_string()
}

/// Returns the pages as one JSON array.
pub fn to_json(pages: &[Page]) -> String {
    let list = pages
        .iter()
        .map(|p| json!({ "address": p.address, "page": p.body }));
    format!("{:#}\n", Value::Array(list.collect()))
}

/// Returns the number at `key`, or 0 if it is missing.
pub fn number(value: &Value, key: &str) -> u64 {
    value[key].as_u64().unwrap_or(0)
}

/// Returns the text at `key`, or `-` if it is missing.
pub fn text<'a>(value: &'a Value, key: &str) -> &'a str {
    value[key].as_str().unwrap_or("-")
}

/// Returns named rows, given as an object or as a list of pairs.
pub fn rows(value: &Value) -> Vec<(String, &Value)> {
    match value {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => list.iter().filter_map(pair).collect(),
        _ => Vec::new(),
    }
}

fn pair(row: &Value) -> Option<(String, &Value)> {
    Some((row.get(0)?.as_str()?.to_owned(), row.get(1)?))
}
