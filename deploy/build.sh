#!/bin/sh
# Builds both programs below target/: one bundle each, and the snapshot of the runtime with the bundle loaded.
set -e
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund

# msgpackr looks for a native part, of use for long texts only, and loads much for that: not looking starts sooner.
# Snapshots know no dynamic import; the bundler writes `require` for it.
npx esbuild platform/balancer.ts platform/control.ts --bundle --platform=node --target=node20 --format=cjs \
  --outdir=target --out-extension:.js=.cjs --minify-whitespace --minify-syntax --sourcemap=external \
  --supported:dynamic-import=false '--define:process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED="true"'

# A snapshot is refused where these options are not the same as in `run` of deploy/system.toml.
snapshot() {
  node --max-semi-space-size=1 "--max-old-space-size=$2" \
    --snapshot-blob "target/$1.blob" --build-snapshot "target/$1.cjs"
}
snapshot balancer 160
snapshot control 200
