//! An HTTP client for requests to the processes under test.

use std::io::{BufRead, BufReader};

use serde_json::Value;

use super::{KEY, WAIT_TIMEOUT};

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build()
        .into()
}

/// Fetches `url` and returns the body, `None` on any failure.
pub fn get_text(url: &str) -> Option<String> {
    agent().get(url).call().ok()?.body_mut().read_to_string().ok()
}

/// Fetches `url` and returns its JSON body, `None` on any failure.
pub fn get_json(url: &str) -> Option<Value> {
    serde_json::from_str(&get_text(url)?).ok()
}

/// Builder of a request, with the `Authorization` header of [`KEY`] by default.
pub struct Request {
    url: String,
    method: &'static str,
    headers: Vec<(String, String)>,
}

/// The status, headers and body of an answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn new(address: &str, path: &str) -> Request {
        let auth = ("authorization".to_owned(), format!("Bearer {KEY}"));
        Request { url: format!("http://{address}{path}"), method: "POST", headers: vec![auth] }
    }

    pub fn method(mut self, m: &'static str) -> Request {
        self.method = m;
        self
    }

    /// Sets a header, replacing an earlier value.
    pub fn header(mut self, name: &str, value: &str) -> Request {
        self.headers.retain(|(n, _)| n != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Removes a header.
    pub fn without_header(mut self, name: &str) -> Request {
        self.headers.retain(|(n, _)| n != name);
        self
    }

    /// Sends the request and reads the whole answer.
    pub fn send(self, body: &str) -> Answer {
        let (status, headers, mut reader) = self.open(body);
        let mut body = String::new();
        use std::io::Read;
        reader.read_to_string(&mut body).unwrap();
        Answer { status, headers, body }
    }

    /// Sends the request and returns status, headers and a reader of the body.
    pub fn open(self, body: &str) -> (u16, Vec<(String, String)>, impl BufRead + use<>) {
        let mut r = ureq::http::Request::builder().method(self.method).uri(&self.url);
        for (n, v) in &self.headers {
            r = r.header(n, v);
        }
        let response = agent().run(r.body(body.to_owned()).unwrap()).unwrap();
        let status = response.status().as_u16();
        let headers = response
            .headers()
            .iter()
            .map(|(n, v)| (n.to_string(), v.to_str().unwrap_or_default().to_owned()))
            .collect();
        (status, headers, BufReader::new(response.into_body().into_reader()))
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {}", self.body))
    }

    /// Returns the result code in the JSON body, empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }
}
