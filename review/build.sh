#!/usr/bin/env bash
# Builds the stand-ins of all scripts, without a network, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
CARGO_TARGET_DIR=target cargo build --release --locked --offline --manifest-path standin/Cargo.toml
