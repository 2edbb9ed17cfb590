// Runs the regression set on a clone of the current commit and writes a table of the results.
// Usage: node scripts/regression.mjs --bench PROGRAM --into FOLDER SITE:DAYS[:JOBS] ...
// docs/OPERATIONS.md lists the set to run before each merge.
import { execFileSync, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, openSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { cac } from 'cac';

/** Days that run in parallel; use 1 for sites with many machines. */
const DEFAULT_JOBS = 4;
const BENCH_TMP = '/tmp';

function fail(reason) {
  console.error(reason);
  process.exit(1);
}

/** Parses a site, its number of days and of parallel jobs, such as `site.toml:40:4`. */
export function parseSiteRun(text) {
  const [site, days, jobs = String(DEFAULT_JOBS)] = text.split(':');
  if (!/^\d+$/.test(days ?? '') || !/^\d+$/.test(jobs)) {
    throw new Error(`${text}: expected SITE:DAYS[:JOBS].`);
  }
  return { site: resolve(site), days: Number(days), jobs: Number(jobs) };
}

/** @returns the table row of a site, from the journal entry written by the bench */
export function tableRow({ site, days: playedDays = [] }, minutes) {
  const worths = playedDays.map(({ G }) => G);
  const brokenRules = playedDays.flatMap(({ name, rules = {} }) =>
    Object.entries(rules).map(([rule, count]) => `${rule} ${count} on ${name}`),
  );
  const failedDays = playedDays
    .filter(({ gate, fault }) => gate === false || fault)
    .map(({ name }) => name);
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / Math.max(1, worths.length);
  return [
    site,
    String(playedDays.length),
    mean.toFixed(3),
    Math.min(...worths).toFixed(3),
    brokenRules.join(', ') || 'none',
    failedDays.join(', ') || 'none',
    minutes.toFixed(1),
  ];
}

function newestEntry(journalFolder, earlierEntries) {
  const names = readdirSync(journalFolder).filter(
    (name) => name.endsWith('.json') && !earlierEntries.has(name),
  );
  const newest = names.sort().at(-1);
  return newest === undefined
    ? undefined
    : JSON.parse(readFileSync(join(journalFolder, newest), 'utf8'));
}

function runSite(bench, clone, outputFolder, { site, days, jobs }) {
  const journalFolder = join(clone, 'journal');
  const earlierEntries = new Set(readdirSync(journalFolder));
  const log = openSync(join(outputFolder, `${basename(site, '.toml')}.log`), 'w');
  const startedAt = Date.now();
  const options = ['--days', String(days), '--jobs', String(jobs), '--why', 'regression set'];
  spawnSync(bench, ['hunt', site, ...options], { cwd: clone, stdio: ['ignore', log, log] });
  const entry = newestEntry(journalFolder, earlierEntries);
  const minutes = (Date.now() - startedAt) / 60_000;
  return entry?.ok === true
    ? tableRow(entry, minutes)
    : [basename(site, '.toml'), '0', '', '', 'did not complete', '', minutes.toFixed(1)];
}

function main() {
  const cli = cac('regression');
  cli
    .command('[...plays]', 'Run the regression set')
    .option('--bench <program>', 'Path of the bench program')
    .option('--into <folder>', 'Output folder; must not exist yet')
    .action((siteRuns, { bench, into }) => {
      if (bench === undefined || into === undefined || siteRuns.length === 0) {
        fail('Required: --bench PROGRAM --into FOLDER SITE:DAYS[:JOBS] ...');
      }
      const folder = resolve(into);
      if (existsSync(folder)) fail(`${folder} already exists; choose a new folder for each run.`);
      if (folder.startsWith(BENCH_TMP))
        fail('--into must be outside /tmp: the bench gives each process a private /tmp.');
      const dirty = execFileSync('git', ['status', '--porcelain', '--', ':!journal']).toString();
      if (dirty !== '')
        fail('The working tree has uncommitted changes, which the clone would not contain.');
      const clone = join(folder, 'code');
      mkdirSync(folder, { recursive: true });
      execFileSync('git', ['clone', '--quiet', '.', clone]);
      const commit = execFileSync('git', ['rev-parse', '--short', 'HEAD']).toString().trim();
      const head = [
        'site',
        'days',
        'mean worth',
        'least',
        'rules broken',
        'gates failed',
        'minutes',
      ];
      const rows = siteRuns.map((text) =>
        runSite(resolve(bench), clone, folder, parseSiteRun(text)),
      );
      const table = [head, head.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`);
      const text = `Code ${commit}\n\n${table.join('\n')}\n`;
      writeFileSync(join(folder, 'table.md'), text);
      console.log(text);
    });
  cli.help();
  cli.parse();
}

if (process.argv[1] !== undefined && basename(process.argv[1]) === 'regression.mjs') {
  main();
}
