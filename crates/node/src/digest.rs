//! Digests of keys, request ids and bodies.

use cypressfork_core::claim::BodyDigest;
use cypressfork_core::fleet::fingerprint::{Fingerprint, Identity};
use cypressfork_core::unit::RequestId;
use sha2::{Digest, Sha256};

/// Bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The digest under which a configuration knows a bearer key.
pub fn key_digest(key: &str) -> String {
    hex(&Sha256::digest(key))
}

/// The digest that stands for a client account's request everywhere.
pub fn request_id(client_account: &str, id: &str) -> RequestId {
    RequestId(of_parts(&[client_account.as_bytes(), id.as_bytes()]))
}

/// A digest of what a request asks for, to tell another request under the same id.
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
    of_parts(&[method.as_bytes(), path.as_bytes(), body])
}

/// What all copies of a request have in common.
pub fn fingerprint(r: &Identity) -> Fingerprint {
    let names = [r.account.unwrap_or_default(), r.method, r.host, r.path].map(str::as_bytes);
    let [account, method, host, path] = names;
    let all = of_parts(&[account, method, host, path, r.body]);
    let digest = all.first_chunk().map_or(0, |b| u64::from_be_bytes(*b));
    Fingerprint { brief: r.brief(), digest }
}

fn of_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut h = Sha256::new();
    for part in parts {
        h.update((part.len() as u64).to_be_bytes());
        h.update(part);
    }
    let mut out = [0; 16];
    out.copy_from_slice(&h.finalize()[..16]);
    out
}
