//! Mutual authentication of a link by a shared cluster key, and of each frame by a MAC.
//!
//! Each side sends a [`Hello`] with a fresh nonce, then a [`Proof`]: a MAC over both hellos. Each
//! direction then uses its own session key, and each frame carries a truncated HMAC-SHA-256 over
//! its sequence number and payload, so that a changed, dropped, duplicated or reordered frame is
//! detected and ends the link. Frames are not encrypted; they carry digests of API keys, not keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::frame::{decode, encode};
use crate::{Error, Frame, Hello, Proof};

/// Protocol version; the handshake fails with a peer of another version.
pub const VERSION: i32 = 1;

/// Length of the authentication code of a frame, in bytes.
pub const MAC_LEN: usize = 16;

/// Length of a handshake nonce, in bytes.
pub const NONCE_LEN: usize = 32;

/// A secret key for HMAC-SHA-256: the cluster's key or a session key.
#[derive(Clone)]
pub struct Key(Vec<u8>);

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted the connection.
    Server,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Client => b"client",
            Side::Server => b"server",
        }
    }

    fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

impl Key {
    /// Returns a key from the contents of a secret file.
    pub fn new(bytes: &[u8]) -> Key {
        Key(bytes.to_vec())
    }

    /// Returns an HMAC over the parts, each prefixed with its length.
    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut m =
            <Hmac<Sha256>>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        for p in parts {
            m.update(&(p.len() as u64).to_be_bytes());
            m.update(p);
        }
        m
    }
}

/// An unfinished handshake.
pub struct Handshake {
    key: Key,
    side: Side,
    mine: Hello,
    theirs: Option<Hello>,
}

impl Handshake {
    /// Starts a handshake. The caller provides a fresh random nonce.
    pub fn new(
        key: Key,
        side: Side,
        cluster: &str,
        name: &str,
        nonce: [u8; NONCE_LEN],
    ) -> Handshake {
        let mine = Hello::new(VERSION, cluster.to_owned(), name.to_owned(), nonce.to_vec());
        Handshake { key, side, mine, theirs: None }
    }

    /// Returns the first payload to send: the encoded hello.
    pub fn hello(&self) -> Vec<u8> {
        encode(&Frame::Hello(self.mine.clone()))
    }

    /// Handles the peer's hello and returns the proof to send. Fails on another
    /// protocol version, another cluster, or an invalid or reflected nonce.
    pub fn on_hello(&mut self, payload: &[u8]) -> Result<Vec<u8>, Error> {
        let Frame::Hello(h) = decode(payload)? else {
            return Err(Error::Malformed("expected a hello".into()));
        };
        if h.version != VERSION {
            return Err(Error::WrongVersion(h.version));
        }
        if h.cluster != self.mine.cluster {
            return Err(Error::WrongCluster(h.cluster));
        }
        if h.nonce.len() != NONCE_LEN || h.nonce == self.mine.nonce {
            return Err(Error::Forged);
        }
        self.theirs = Some(h);
        let mac = self.proof_mac(self.side)?.finalize().into_bytes().to_vec();
        Ok(encode(&Frame::Proof(Proof::new(mac))))
    }

    /// Handles the peer's proof. Returns the peer's name and the authenticators of both
    /// directions, or [`Error::Forged`] if the peer does not hold the key.
    pub fn on_proof(self, payload: &[u8]) -> Result<(String, Sealer, Opener), Error> {
        let Frame::Proof(p) = decode(payload)? else {
            return Err(Error::Malformed("expected a proof".into()));
        };
        self.proof_mac(self.side.other())?.verify_slice(&p.mac).map_err(|_| Error::Forged)?;
        let sealer = Sealer { key: self.session_key(self.side)?, seq: 0 };
        let opener = Opener { key: self.session_key(self.side.other())?, seq: 0 };
        let name = self.theirs.map(|h| h.name).unwrap_or_default();
        Ok((name, sealer, opener))
    }

    /// Returns a MAC of `side` over both hellos; `label` separates proofs from session keys.
    fn transcript_mac(&self, label: &[u8], side: Side) -> Result<Hmac<Sha256>, Error> {
        let theirs = self.theirs.as_ref().ok_or(Error::Forged)?;
        let (client, server) = match self.side {
            Side::Client => (&self.mine, theirs),
            Side::Server => (theirs, &self.mine),
        };
        let hello = |h: &Hello| encode(&Frame::Hello(h.clone()));
        Ok(self.key.mac(&[label, side.label(), &hello(client), &hello(server)]))
    }

    fn proof_mac(&self, side: Side) -> Result<Hmac<Sha256>, Error> {
        self.transcript_mac(b"proof", side)
    }

    fn session_key(&self, side: Side) -> Result<Key, Error> {
        Ok(Key(self.transcript_mac(b"session", side)?.finalize().into_bytes().to_vec()))
    }
}

/// Adds authentication codes to the frames of the outgoing direction.
pub struct Sealer {
    key: Key,
    seq: u64,
}

/// Verifies the authentication codes of the frames of the incoming direction.
pub struct Opener {
    key: Key,
    seq: u64,
}

impl Sealer {
    /// Returns the payload with its authentication code appended.
    pub fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let code = self.key.mac(&[&self.seq.to_be_bytes(), &payload]).finalize().into_bytes();
        self.seq += 1;
        payload.extend_from_slice(&code[..MAC_LEN]);
        payload
    }
}

impl Opener {
    /// Returns the payload of the next frame, or [`Error::Forged`] if its code does not match.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let at = sealed.len().checked_sub(MAC_LEN).ok_or(Error::Forged)?;
        let (payload, code) = sealed.split_at(at);
        let mac = self.key.mac(&[&self.seq.to_be_bytes(), payload]);
        mac.verify_truncated_left(code).map_err(|_| Error::Forged)?;
        self.seq += 1;
        Ok(payload)
    }
}
