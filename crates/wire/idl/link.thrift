// What cypressfork's own processes say to each other.
//
// A field is never renumbered or given another type. A new one is optional, so that the two
// releases of a rolling upgrade understand each other.

namespace rs cypressfork

// First frame in both directions.
struct Hello {
  1: required i32 version,
  2: required string cluster,
  3: required string name,
  // Fresh random bytes that the other side's proof and both keys are made from.
  4: required binary nonce,
}

// Second frame in both directions: an HMAC-SHA256 over both hellos under the cluster's key.
struct Proof {
  1: required binary mac,
}

struct Peer {
  1: required i64 node,
  2: required string address,
}

struct Founders {
  1: required list<Peer> peers,
}

enum MemberVerb {
  ADD = 1,
  PROMOTE = 2,
  REMOVE = 3,
}

struct MemberOrder {
  1: required MemberVerb verb,
  2: required i64 node,
  // Where the new replica listens; for ADD.
  3: optional string address,
}

// Asks something of a control process. The command and the query are MessagePack: the bytes of a
// command go into the replicated log as they came, and are not decoded and encoded on the way.
union Ask {
  1: binary command,
  2: binary query,
  3: MemberOrder members,
  // Asks for the identity in the data folder.
  4: bool identify,
  // Makes the fresh processes named a group.
  5: Founders founders,
  // A router's deed on its data centre's reserve, as MessagePack.
  6: binary reserve,
  // A standing question for what a control process knows of the fleet, as MessagePack.
  7: binary watch,
  // A control process that is no member says that it is there, as MessagePack.
  8: binary announce,
  // A router's request to set tokens aside in another router's slices, as MessagePack.
  9: binary share,
}

struct Call {
  1: required i64 id,
  2: required Ask ask,
  // W3C trace context of the request that this call is part of.
  3: optional string traceparent,
}

struct Return {
  1: required i64 id,
  // 0, or the number of the result code.
  2: required i32 code,
  3: optional binary body,
  // Where the leader is, if the receiver does not lead and knows.
  4: optional string leader,
}

struct MemberSet {
  1: required list<i64> voters,
  2: required list<i64> learners,
  // Where each of them listens.
  3: optional list<Peer> addresses,
}

struct LogEntry {
  1: required i64 term,
  2: required i64 index,
  // Neither of the next two: an entry that carries nothing.
  3: optional binary command,
  4: optional MemberSet members,
}

struct SnapshotMeta {
  1: required i64 index,
  2: required i64 term,
  3: required MemberSet members,
}

struct Position {
  1: required i64 index,
  2: required i64 term,
}

struct Append {
  1: required Position prev,
  2: required list<LogEntry> entries,
  3: required i64 commit,
  4: required i64 round,
}

struct Appended {
  1: required i64 matched,
  2: required i64 round,
}

struct Rejected {
  1: required i64 hint,
  2: required i64 round,
}

struct SnapshotPart {
  1: required SnapshotMeta meta,
  2: required i64 offset,
  3: required binary bytes,
  4: required bool last,
}

struct SnapshotReply {
  1: required i64 index,
  2: required i64 offset,
  3: required bool done,
}

struct Mark {
  1: required i64 incarnation,
  2: required i64 boot,
  3: required i64 term,
  4: required i64 last,
}

struct RejoinReply {
  1: required i64 boot,
  2: required bool welcome,
}

union RaftBody {
  1: Position pre_vote,
  2: bool pre_vote_reply,
  3: Position vote,
  4: bool vote_reply,
  5: Append append_entries,
  6: Appended appended,
  7: Rejected rejected,
  8: SnapshotPart snapshot,
  9: SnapshotReply snapshot_reply,
  10: bool take_over,
  11: Mark rejoin,
  12: RejoinReply rejoin_reply,
}

struct RaftMessage {
  1: required i64 sender,
  2: required i64 receiver,
  3: required i64 term,
  4: required RaftBody body,
  // Where the sender listens: a replica that has no members yet knows no other way to answer.
  5: optional string reply_to,
}

// Says why a link is closed.
struct Goodbye {
  1: required i32 code,
  2: required string why,
}

union Frame {
  1: Hello hello,
  2: Proof proof,
  3: Call call,
  4: Return answer,
  5: RaftMessage raft,
  6: Goodbye goodbye,
}
