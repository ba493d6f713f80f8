#!/usr/bin/env bash
# Regenerates src/peer_capnp.rs after a change of the schema. Needs Debian's
# package `capnproto` and `cargo install capnpc`; the build itself needs neither.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:../src --src-prefix=. peer.capnp
rustfmt --edition 2024 ../src/peer_capnp.rs
