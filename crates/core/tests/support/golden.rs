//! Golden files of whole sessions: what was done and what came of it, line by line.

use std::fmt::Debug;
use std::path::Path;
use std::{env, fs};

/// A transcript that is compared with a file under `tests/golden`.
#[derive(Default)]
pub struct Session {
    text: String,
}

impl Session {
    pub fn say(&mut self, line: &str) {
        self.text += &format!("# {line}\n");
    }

    pub fn note<A: Debug, B: Debug>(&mut self, did: A, came: B) {
        self.text += &format!("{did:?}\n    => {came:?}\n");
    }

    /// Compares with the file; with `UPDATE_GOLDEN` set, writes it instead.
    pub fn check(self, name: &str) {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
        if env::var_os("UPDATE_GOLDEN").is_some() {
            fs::create_dir_all(path.parent().unwrap()).unwrap();
            fs::write(&path, &self.text).unwrap();
        }
        let want = fs::read_to_string(&path).unwrap_or_default();
        assert!(want == self.text, "the session differs from {name}:\n{}", self.text);
    }
}
