//! Messages between cypressfork processes and their framing.
//!
//! Messages are Thrift structures, defined in `idl/link.thrift`. A frame is a length and a message,
//! followed by an authentication code once the handshake is complete.

pub mod auth;
pub mod body;
pub mod compression;
mod convert;
pub mod frame;
mod generated;

use quick_error::quick_error;

pub use convert::{from_raft, into_raft, member_change, member_order};
pub use frame::{decode, encode};
pub use generated::link::{
    Ask, Call, Founders, Frame, Goodbye, Hello, MemberOrder, MemberVerb, Peer, Proof, RaftMessage,
    Return,
};

quick_error! {
    /// Why a frame or message was rejected. The texts are sent to the peer when a link is refused.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The bytes do not decode to the expected message.
        Malformed(why: String) {
            display("could not decode a message: {}", why)
        }
        /// The frame or the decompressed data exceeds the size limit.
        TooLarge(len: usize, cap: usize) {
            display("a frame of {} bytes is over the cap of {}", len, cap)
        }
        /// The peer belongs to another cluster.
        WrongCluster(theirs: String) {
            display("the peer belongs to cluster '{}'", theirs)
        }
        /// The peer uses another protocol version.
        WrongVersion(theirs: i32) {
            display("the peer speaks version {}", theirs)
        }
        /// An authentication code or nonce is invalid: the peer lacks the key, or a frame was changed.
        Forged {
            display("an authentication code does not match")
        }
    }
}
