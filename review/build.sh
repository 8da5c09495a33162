#!/usr/bin/env bash
# Builds every stand-in that the cases start. Needs no network: the stand-ins use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
