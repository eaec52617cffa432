//! Messages and framing between cypressfork processes.
//!
//! Messages are thrift structures, described in `idl/link.thrift`. A frame is a length, a
//! message and, once both sides have proved that they hold the cluster's key, a code that
//! authenticates it.

pub mod auth;
pub mod body;
mod convert;
pub mod frame;
mod generated;
pub mod packed;

use quick_error::quick_error;

pub use convert::{from_raft, into_raft, member_change, member_order};
pub use frame::{decode, encode};
pub use generated::link::{
    Ask, Call, Founders, Frame, Goodbye, Hello, MemberOrder, MemberVerb, Peer, Proof, RaftMessage,
    Return,
};

quick_error! {
    /// Why a frame was not taken.
    #[derive(Debug, PartialEq, Eq)]
    pub enum Error {
        /// The bytes are no message, or not the expected one.
        Malformed(why: String) {
            display("could not decode a message: {}", why)
        }
        /// The frame is larger than the cap.
        TooLarge(len: usize, cap: usize) {
            display("a frame of {} bytes is over the cap of {}", len, cap)
        }
        /// The peer belongs to another cluster.
        Cluster(theirs: String) {
            display("the peer belongs to cluster '{}'", theirs)
        }
        /// The peer speaks another version.
        Version(theirs: i32) {
            display("the peer speaks version {}", theirs)
        }
        /// The peer does not hold the key, or a frame was changed on the way.
        Forged {
            display("an authentication code does not match")
        }
    }
}
