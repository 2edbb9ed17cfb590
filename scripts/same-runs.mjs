// Plays the same seeds of both simulators on two builds, and ends with 1 where a run differs: a change that is meant to
// change nothing leaves each trace of the managed pair and each log of the registered pair as it was, byte for byte.
// Usage: node scripts/same-runs.mjs --old FOLDER --new FOLDER [--seeds COUNT] [--first SEED]   (checkouts that are built)
import { spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readdirSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { cac } from 'cac';

const SOAK_MS = 40_000;
/** Every eighth deployment of the soak is larger. */
const LARGE = { balancerCount: 24, backendCount: 16, clientCount: 40 };

/** Imports a module of a build by its name: modules may lie elsewhere in an older build. */
function importFrom(build, name) {
  const root = join(build, 'dist/src');
  const file = readdirSync(root, { recursive: true }).find((path) =>
    `/${path}`.endsWith(`/${name}`),
  );
  return import(pathToFileURL(join(root, file)).href);
}

/** Prints one line for each run of a build: what ran, and the digest of what came of it. */
async function play(build, first, seeds) {
  const { runVirtualSoak } = await importFrom(build, 'soak/virtual-soak.js');
  for (let seed = first; seed < first + seeds; seed += 1) {
    const options = seed % 8 === 0 ? LARGE : {};
    const run = { seed, durationMs: SOAK_MS, endsWithLoss: seed % 2 === 0, options };
    const report = await runVirtualSoak(run);
    const digest = createHash('sha256').update(JSON.stringify(report)).digest('hex');
    const { servedRequests, violations } = report;
    console.log(
      `soak ${seed}: ${servedRequests} served, ${violations.length} violations ${digest}`,
    );
  }
  const { runScenario } = await importFrom(build, 'run-scenario.js');
  const { scenarios } = await importFrom(build, 'scenarios/index.js');
  for (const scenario of scenarios) {
    const { events, violations, digest } = await runScenario(scenario, first);
    const { length } = violations;
    console.log(`${scenario.name} ${first}: ${events} events, ${length} violations ${digest}`);
  }
}

/** @returns the lines of a build, played in a process of its own */
function linesOf(build, first, seeds) {
  const words = [fileURLToPath(import.meta.url), '--play', build];
  const child = spawn(process.execPath, [...words, '--first', first, '--seeds', seeds], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const parts = [];
  child.stdout.on('data', (part) => parts.push(part));
  return new Promise((done, fail) => {
    child.on('close', (code) =>
      code === 0
        ? done(Buffer.concat(parts).toString().trim().split('\n'))
        : fail(new Error(`${build} ended with code ${code}`)),
    );
  });
}

async function compare(oldBuild, newBuild, first, seeds) {
  const [before, after] = await Promise.all(
    [oldBuild, newBuild].map((build) => linesOf(resolve(build), first, seeds)),
  );
  const differing = before.flatMap((line, at) => (line === after[at] ? [] : [[line, after[at]]]));
  differing.forEach(([line, other]) => console.log(`- ${line}\n+ ${other}`));
  const same = before.length - differing.length;
  console.log(before.filter((line) => !differing.some(([other]) => other === line)).join('\n'));
  console.log(`${same} runs the same, ${differing.length} differ`);
  process.exitCode = differing.length === 0 && before.length === after.length ? 0 : 1;
}

if (process.argv[1] !== undefined && basename(process.argv[1]) === 'same-runs.mjs') {
  const cli = cac('same-runs');
  cli
    .command('', 'Play the same seeds on two builds')
    .option('--old <folder>', 'A checkout that is built')
    .option('--new <folder>', 'Another one')
    .option('--first <seed>', 'The first seed', { default: 1 })
    .option('--seeds <count>', 'Seeds of the soak; scenarios play the first one', { default: 16 })
    .option('--play <folder>', 'Only play this build')
    .action(({ old: oldBuild, new: newBuild, play: build, first, seeds }) => {
      if (build !== undefined) return play(build, Number(first), Number(seeds));
      if (oldBuild !== undefined && newBuild !== undefined) {
        return compare(oldBuild, newBuild, first, seeds);
      }
      console.error('Needed: --old FOLDER --new FOLDER');
      process.exitCode = 2;
      return undefined;
    });
  cli.help();
  cli.parse();
}
