//! Proof that both ends of a link hold the cluster's key, and codes on every frame after it.
//!
//! Both sides send a [`Hello`] with a fresh nonce, then a [`Proof`] over both hellos. Each
//! direction then has a key of its own, and each frame a code over its number and payload: a
//! frame that is changed, dropped, doubled or reordered breaks the link. Frames are not
//! encrypted; they carry digests of keys, not keys.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::frame::{decode, encode};
use crate::{Error, Frame, Hello, Proof};

/// The protocol's version; peers of another are refused.
pub const VERSION: i32 = 1;

/// Bytes of a frame's code.
pub const CODE: usize = 16;

/// Bytes of a nonce.
pub const NONCE: usize = 32;

/// The cluster's key.
#[derive(Clone)]
pub struct Key(Vec<u8>);

/// Which end of a link this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It connected.
    Client,
    /// It accepted.
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
    /// A key from the bytes of a secret file.
    pub fn new(bytes: &[u8]) -> Key {
        Key(bytes.to_vec())
    }

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

/// A link that is being opened.
pub struct Handshake {
    key: Key,
    side: Side,
    mine: Hello,
    theirs: Option<Hello>,
}

impl Handshake {
    /// Begins with a fresh nonce.
    pub fn new(key: Key, side: Side, cluster: &str, name: &str, nonce: [u8; NONCE]) -> Handshake {
        let mine = Hello::new(VERSION, cluster.to_owned(), name.to_owned(), nonce.to_vec());
        Handshake { key, side, mine, theirs: None }
    }

    /// The first payload to send.
    pub fn hello(&self) -> Vec<u8> {
        encode(&Frame::Hello(self.mine.clone()))
    }

    /// Takes the peer's first payload; returns the second one to send.
    pub fn on_hello(&mut self, payload: &[u8]) -> Result<Vec<u8>, Error> {
        let Frame::Hello(h) = decode(payload)? else {
            return Err(Error::Malformed("expected a hello".into()));
        };
        if h.version != VERSION {
            return Err(Error::Version(h.version));
        }
        if h.cluster != self.mine.cluster {
            return Err(Error::Cluster(h.cluster));
        }
        if h.nonce.len() != NONCE || h.nonce == self.mine.nonce {
            return Err(Error::Forged);
        }
        self.theirs = Some(h);
        let mac = self.proof(self.side)?.finalize().into_bytes().to_vec();
        Ok(encode(&Frame::Proof(Proof::new(mac))))
    }

    /// Takes the peer's second payload; returns its name and the keys of the open link.
    pub fn on_proof(self, payload: &[u8]) -> Result<(String, Sealer, Opener), Error> {
        let Frame::Proof(p) = decode(payload)? else {
            return Err(Error::Malformed("expected a proof".into()));
        };
        self.proof(self.side.other())?.verify_slice(&p.mac).map_err(|_| Error::Forged)?;
        let sealer = Sealer { key: self.session(self.side)?, seq: 0 };
        let opener = Opener { key: self.session(self.side.other())?, seq: 0 };
        let name = self.theirs.map(|h| h.name).unwrap_or_default();
        Ok((name, sealer, opener))
    }

    fn mac_of(&self, label: &[u8], side: Side) -> Result<Hmac<Sha256>, Error> {
        let theirs = self.theirs.as_ref().ok_or(Error::Forged)?;
        let (client, server) = match self.side {
            Side::Client => (&self.mine, theirs),
            Side::Server => (theirs, &self.mine),
        };
        let hello = |h: &Hello| encode(&Frame::Hello(h.clone()));
        Ok(self.key.mac(&[label, side.label(), &hello(client), &hello(server)]))
    }

    fn proof(&self, side: Side) -> Result<Hmac<Sha256>, Error> {
        self.mac_of(b"proof", side)
    }

    fn session(&self, side: Side) -> Result<Key, Error> {
        Ok(Key(self.mac_of(b"session", side)?.finalize().into_bytes().to_vec()))
    }
}

/// Seals the frames of one direction.
pub struct Sealer {
    key: Key,
    seq: u64,
}

/// Opens the frames of one direction.
pub struct Opener {
    key: Key,
    seq: u64,
}

impl Sealer {
    /// The payload with its code.
    pub fn seal(&mut self, mut payload: Vec<u8>) -> Vec<u8> {
        let code = self.key.mac(&[&self.seq.to_be_bytes(), &payload]).finalize().into_bytes();
        self.seq += 1;
        payload.extend_from_slice(&code[..CODE]);
        payload
    }
}

impl Opener {
    /// The payload, if its code is right and it is the next one.
    pub fn open<'a>(&mut self, sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let at = sealed.len().checked_sub(CODE).ok_or(Error::Forged)?;
        let (payload, code) = sealed.split_at(at);
        let mac = self.key.mac(&[&self.seq.to_be_bytes(), payload]);
        mac.verify_truncated_left(code).map_err(|_| Error::Forged)?;
        self.seq += 1;
        Ok(payload)
    }
}
