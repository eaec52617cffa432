#!/usr/bin/env bash
# Makes crates/wire/src/generated/link.rs anew. Needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
out=crates/wire/src/generated
thrift -r --gen rs -out "$out" crates/wire/idl/link.thrift
# The generator trusts the sender in two places: a union whose only field is unknown panics, and a
# list allocates what its head claims. Both are made to fail as any other bad message does.
sed -i \
  -e 's/Ok(ret\.expect("return value should have been constructed"))/ret.ok_or_else(|| thrift::Error::Protocol(ProtocolError::new(ProtocolErrorKind::InvalidData, "received unknown field for union")))/' \
  -e 's/Vec::with_capacity(list_ident\.size as usize)/Vec::new()/' \
  "$out/link.rs"
