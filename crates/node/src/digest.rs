//! Digests of keys, request ids and bodies.

use cypressfork_core::claim::BodyDigest;
use cypressfork_core::fleet::fingerprint::{Fingerprint, RequestIdentity};
use cypressfork_core::unit::RequestId;
use sha2::{Digest, Sha256};

/// Returns the bytes in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns the digest by which a configuration identifies a bearer key.
pub fn key_digest(key: &str) -> String {
    hex(&Sha256::digest(key))
}

/// Returns the digest that identifies a request of a client account. `id` is the account's own id for
/// it.
pub fn request_id(client_account: &str, id: &str) -> RequestId {
    RequestId(digest_parts(&[client_account.as_bytes(), id.as_bytes()]))
}

/// Returns the digest of a request's method, path and body. It differs for another request that reuses
/// the same id.
pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
    digest_parts(&[method.as_bytes(), path.as_bytes(), body])
}

/// Returns the fingerprint of a request, which is the same for all its retries.
pub fn fingerprint(r: &RequestIdentity) -> Fingerprint {
    let parts = [r.account.unwrap_or_default(), r.method, r.host, r.path].map(str::as_bytes);
    let [account, method, host, path] = parts;
    let hash = digest_parts(&[account, method, host, path, r.body]);
    let digest = hash.first_chunk().map_or(0, |b| u64::from_be_bytes(*b));
    Fingerprint { brief: r.brief(), digest }
}

/// Returns the first 16 bytes of a SHA-256 over the parts, each preceded by its length.
fn digest_parts(parts: &[&[u8]]) -> [u8; 16] {
    let mut h = Sha256::new();
    for part in parts {
        h.update((part.len() as u64).to_be_bytes());
        h.update(part);
    }
    let mut out = [0; 16];
    out.copy_from_slice(&h.finalize()[..16]);
    out
}
