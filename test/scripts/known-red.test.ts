/** @file An entry of KNOWN-RED.txt covers its own test case and nothing else. */
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
  judge(
    entries: readonly Entry[],
    results: readonly Result[],
  ): { readonly known: Result[]; readonly fresh: Result[]; readonly passing: Entry[] };
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

t.test('a failure of the test case is known, with what repeats it', async (t) => {
  const results = [
    failed('a case, seed 1', 'an assertion'),
    failed('a case, seed 1'),
    failed(),
    { name: `${FILE} > another case > fine`, ok: true },
  ];
  const { known, fresh, passing } = script.judge(entries, results);
  t.equal(known.length, 3);
  t.same(fresh, []);
  t.same(passing, []);
});

t.test('another failure in the same file is new, and so is that of the file', async (t) => {
  const other = failed('a case, seed 10', 'an assertion');
  const results = [failed('a case, seed 1', 'an assertion'), other, failed()];
  t.same(script.judge(entries, results).fresh, [other, failed()]);
});

t.test('a file that fails without a test case is new', async (t) => {
  t.same(script.judge(entries, [failed()]).fresh, [failed()]);
});

t.test('an entry whose test case passes should leave the list', async (t) => {
  const results = [{ name: `${FILE} > a case, seed 1 > an assertion`, ok: true }];
  t.same(script.judge(entries, results).passing, entries);
});
