/** @file Guards against an entry of KNOWN-RED.txt that hides failures of other test cases. */
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import t from 'tap';

interface Entry {
  readonly file: string;
  readonly testCase: string;
}

interface Result {
  readonly name: string;
  readonly ok: boolean;
}

interface KnownRedScript {
  parseKnownRed(text: string): Entry[];
  classifyResults(
    entries: readonly Entry[],
    results: readonly Result[],
  ): {
    readonly knownFailures: Result[];
    readonly newFailures: Result[];
    readonly passingEntries: Entry[];
  };
}

const script = (await import(
  pathToFileURL(resolve('scripts/known-red.mjs')).href
)) as KnownRedScript;

const FILE = 'dist/test/some/one.test.js';
const entries = script.parseKnownRed('some/one.test.js > a case, seed 1: what was seen; issue 3\n');

function failed(...parts: string[]): Result {
  return { name: [FILE, ...parts].join(' > '), ok: false };
}

t.test('an entry names a file and a test case', async (t) => {
  t.same(entries, [{ file: 'some/one.test.js', testCase: 'a case, seed 1' }]);
  t.throws(() => script.parseKnownRed('some/one.test.js: a whole file'));
});

t.test('a failure of a listed test case is known, and so are its enclosing results', async (t) => {
  const results = [
    failed('a case, seed 1', 'an assertion'),
    failed('a case, seed 1'),
    failed(),
    { name: `${FILE} > another case > fine`, ok: true },
  ];
  const { knownFailures, newFailures, passingEntries } = script.classifyResults(entries, results);
  t.equal(knownFailures.length, 3);
  t.same(newFailures, []);
  t.same(passingEntries, []);
});

t.test(
  'a failure of another test case in the same file is new, and so is the failed file',
  async (t) => {
    const other = failed('a case, seed 10', 'an assertion');
    const results = [failed('a case, seed 1', 'an assertion'), other, failed()];
    t.same(script.classifyResults(entries, results).newFailures, [other, failed()]);
  },
);

t.test('a failed file without a failed test case is new', async (t) => {
  t.same(script.classifyResults(entries, [failed()]).newFailures, [failed()]);
});

t.test('an entry whose test case passes is reported for removal', async (t) => {
  const results = [{ name: `${FILE} > a case, seed 1 > an assertion`, ok: true }];
  t.same(script.classifyResults(entries, results).passingEntries, entries);
});
