/** @file The results table of the regression set reports all failures of the journal entry. */
import { resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import t from 'tap';

interface RegressionScript {
  parseSiteRun(text: string): {
    readonly site: string;
    readonly days: number;
    readonly jobs: number;
  };
  tableRow(entry: object, minutes: number): string[];
}

const script = (await import(
  pathToFileURL(resolve('scripts/regression.mjs')).href
)) as RegressionScript;

t.test('an argument names the site, days and jobs', async (t) => {
  t.same(script.parseSiteRun('a/b.toml:40:2'), { site: resolve('a/b.toml'), days: 40, jobs: 2 });
  t.equal(script.parseSiteRun('b.toml:8').jobs, 4);
  t.throws(() => script.parseSiteRun('b.toml'));
  t.throws(() => script.parseSiteRun('b.toml:many'));
});

t.test('the row lists broken rules and failed gates with their days', async (t) => {
  const day = { name: 'quiet-1', G: 0.9, gate: true, rules: {}, fault: null };
  const days = [
    day,
    { ...day, name: 'hunt-1', G: 0, gate: false, rules: { CONFIG: 3 } },
    { ...day, name: 'hunt-2', G: 0.6, fault: 'no request was served' },
  ];
  t.same(script.tableRow({ site: 'some-site', days }, 12.34), [
    'some-site',
    '3',
    '0.500',
    '0.000',
    'CONFIG 3 on hunt-1',
    'hunt-1, hunt-2',
    '12.3',
  ]);
  t.same(script.tableRow({ site: 'some-site', days: [day] }, 1).slice(4, 6), ['none', 'none']);
});
