//! Transcripts of test sessions and their comparison with golden files.

use std::fmt::Debug;
use std::path::Path;
use std::{env, fs};

/// A transcript of inputs and outputs that is compared with a file under `tests/golden`.
#[derive(Default)]
pub struct Session {
    text: String,
}

impl Session {
    /// Appends a comment line.
    pub fn comment(&mut self, line: &str) {
        self.text += &format!("# {line}\n");
    }

    /// Appends an input and its output.
    pub fn record<A: Debug, B: Debug>(&mut self, input: A, output: B) {
        self.text += &format!("{input:?}\n    => {output:?}\n");
    }

    /// Asserts that the transcript equals the golden file. If `UPDATE_GOLDEN` is set, overwrites the
    /// file first.
    pub fn check(self, name: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
        if env::var_os("UPDATE_GOLDEN").is_some() {
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(&path, &self.text).unwrap();
        }
        let want = fs::read_to_string(&path).unwrap_or_default();
        assert!(want == self.text, "the transcript differs from {name}:\n{}", self.text);
    }
}
