// Runs the compiled test files with the tap runner and prints the counts of assertions in the last line.
// Usage: node scripts/run-tests.mjs [part of a file name]
import { spawn } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { Parser } from 'tap-parser';
import { classifyResults, parseKnownRed } from './known-red.mjs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const MAX_KNOWN_RED = 3;
const TIMEOUT_SECONDS = 300;
const JOBS = 4;

function readKnownRed() {
  return existsSync(KNOWN_RED_FILE) ? parseKnownRed(readFileSync(KNOWN_RED_FILE, 'utf8')) : [];
}

function runTap(pattern) {
  return spawn(
    process.execPath,
    [
      'node_modules/tap/dist/esm/run.mjs',
      'run',
      '--disable-coverage',
      '--reporter=tap',
      `--jobs=${JOBS}`,
      `--timeout=${TIMEOUT_SECONDS}`,
      `dist/test/**/*${pattern}*.test.js`,
    ],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
}

/** Collects the assertions of all test files and nested subtests. */
function collectAssertions(parser, path, results) {
  parser.on('child', (child) => collectAssertions(child, [...path, child.name], results));
  parser.on('assert', (assertion) => {
    // The closing line of a subtest repeats its result; count only its assertions.
    const closesSubtest =
      path.length === 0 || results.children.has([...path, assertion.name].join(' > '));
    if (!closesSubtest || !assertion.ok) {
      results.list.push({
        name: [...path, assertion.name].join(' > '),
        ok: assertion.ok,
        diag: assertion.diag,
      });
    }
  });
  results.children.add(path.join(' > '));
}

const knownRed = readKnownRed();
const results = { list: [], children: new Set() };
const tap = runTap(process.argv[2] ?? '');
const parser = new Parser();
collectAssertions(parser, [], results);
tap.stdout.pipe(parser);

tap.on('close', (code) => {
  const { knownFailures, newFailures, passingEntries } = classifyResults(knownRed, results.list);
  const failures = [...knownFailures, ...newFailures];
  for (const failure of failures) {
    const label = newFailures.includes(failure) ? 'FAILED' : 'KNOWN RED';
    console.log(`${label} ${failure.name}`);
    if (failure.diag) console.log(JSON.stringify(failure.diag, undefined, 2));
  }
  for (const { file, testCase } of passingEntries) {
    console.log(`KNOWN RED PASSES, and should leave ${KNOWN_RED_FILE}: ${file} > ${testCase}`);
  }
  const passed = results.list.length - failures.length;
  const tooManyKnownRed = knownRed.length > MAX_KNOWN_RED;
  const noFailureExplainsCode = code !== 0 && failures.length === 0;
  if (tooManyKnownRed) console.log(`${KNOWN_RED_FILE} lists more than ${MAX_KNOWN_RED} tests.`);
  if (noFailureExplainsCode) console.log(`The tap runner exited with code ${code}.`);
  const failed = failures.length + (noFailureExplainsCode ? 1 : 0);
  console.log(`${passed} passed, ${failed} failed`);
  const hasFailed =
    newFailures.length > 0 || noFailureExplainsCode || tooManyKnownRed || passed === 0;
  process.exit(hasFailed ? 1 : 0);
});
