// Runs the same seeds of both simulators on two builds and exits with 1 if a run differs. Verifies that a refactoring
// keeps the traces and reports identical byte for byte.
// Usage: node scripts/same-runs.mjs --old FOLDER --new FOLDER [--seeds COUNT] [--first SEED]   (built checkouts)
import { spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { readdirSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { cac } from 'cac';

const SOAK_MS = 40_000;
/** Deployment of every eighth seed of the soak. */
const LARGE = { balancerCount: 24, backendCount: 16, clientCount: 40 };

/** Imports a module by the end of its path, as its folder may differ between builds. */
function importFrom(build, name) {
  const root = join(build, 'dist/src');
  const file = readdirSync(root, { recursive: true }).find((path) =>
    `/${path}`.endsWith(`/${name}`),
  );
  return import(pathToFileURL(join(root, file)).href);
}

/** Runs all seeds on a build; prints one line per run with the digest of its result. */
async function runBuild(build, first, seeds) {
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

/** @returns the lines that a child process printed for a build */
function runInChildProcess(build, first, seeds) {
  const args = [fileURLToPath(import.meta.url), '--play', build];
  const child = spawn(process.execPath, [...args, '--first', first, '--seeds', seeds], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const chunks = [];
  child.stdout.on('data', (chunk) => chunks.push(chunk));
  return new Promise((done, fail) => {
    child.on('close', (code) =>
      code === 0
        ? done(Buffer.concat(chunks).toString().trim().split('\n'))
        : fail(new Error(`${build} exited with code ${code}`)),
    );
  });
}

async function compare(oldBuild, newBuild, first, seeds) {
  const [oldLines, newLines] = await Promise.all(
    [oldBuild, newBuild].map((build) => runInChildProcess(resolve(build), first, seeds)),
  );
  const differing = oldLines.flatMap((line, index) =>
    line === newLines[index] ? [] : [[line, newLines[index]]],
  );
  differing.forEach(([line, other]) => console.log(`- ${line}\n+ ${other}`));
  const sameCount = oldLines.length - differing.length;
  console.log(oldLines.filter((line) => !differing.some(([other]) => other === line)).join('\n'));
  console.log(`${sameCount} runs the same, ${differing.length} differ`);
  process.exitCode = differing.length === 0 && oldLines.length === newLines.length ? 0 : 1;
}

if (process.argv[1] !== undefined && basename(process.argv[1]) === 'same-runs.mjs') {
  const cli = cac('same-runs');
  cli
    .command('', 'Compare runs of the same seeds on two builds')
    .option('--old <folder>', 'Built checkout of the old version')
    .option('--new <folder>', 'Built checkout of the new version')
    .option('--first <seed>', 'First seed', { default: 1 })
    .option('--seeds <count>', 'Number of seeds of the soak; scenarios use only the first', {
      default: 16,
    })
    .option('--play <folder>', 'Run only this build and print its lines')
    .action(({ old: oldBuild, new: newBuild, play: build, first, seeds }) => {
      if (build !== undefined) return runBuild(build, Number(first), Number(seeds));
      if (oldBuild !== undefined && newBuild !== undefined) {
        return compare(oldBuild, newBuild, first, seeds);
      }
      console.error('Required: --old FOLDER --new FOLDER');
      process.exitCode = 2;
      return undefined;
    });
  cli.help();
  cli.parse();
}
