#!/usr/bin/env bash
# Makes crates/wire/src/generated/link.rs anew. Needs Debian's thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
thrift -r --gen rs -out crates/wire/src/generated crates/wire/idl/link.thrift
