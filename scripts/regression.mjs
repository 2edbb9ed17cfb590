// Plays the regression set on one state of the code, in a folder of its own, and writes a table of it.
// Usage: node scripts/regression.mjs --bench PROGRAM --into FOLDER SITE:DAYS[:JOBS] ...
// The set that is played before each landing stands in docs/OPERATIONS.md.
import { execFileSync, spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, openSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, join, resolve } from 'node:path';
import { cac } from 'cac';

/** Half of the processors, and one where the site has so many machines that days go one at a time. */
const DEFAULT_JOBS = 4;
const BENCH_TMP = '/tmp';

function fail(reason) {
  console.error(reason);
  process.exit(1);
}

/** @returns the site and how it is played, of an argument such as `site.toml:40:4` */
export function parsePlay(text) {
  const [site, days, jobs = String(DEFAULT_JOBS)] = text.split(':');
  if (!/^\d+$/.test(days ?? '') || !/^\d+$/.test(jobs)) {
    throw new Error(`${text} is not SITE:DAYS[:JOBS].`);
  }
  return { site: resolve(site), days: Number(days), jobs: Number(jobs) };
}

/** @returns the row of a site, from the journal entry that the bench wrote */
export function rowOf({ site, days: played = [] }, minutes) {
  const worths = played.map(({ G }) => G);
  const broken = played.flatMap(({ name, rules = {} }) =>
    Object.entries(rules).map(([rule, count]) => `${rule} ${count} on ${name}`),
  );
  const failed = played
    .filter(({ gate, fault }) => gate === false || fault)
    .map(({ name }) => name);
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / Math.max(1, worths.length);
  return [
    site,
    String(played.length),
    mean.toFixed(3),
    Math.min(...worths).toFixed(3),
    broken.join(', ') || 'none',
    failed.join(', ') || 'none',
    minutes.toFixed(1),
  ];
}

function newestEntry(journalFolder, since) {
  const names = readdirSync(journalFolder).filter(
    (name) => name.endsWith('.json') && !since.has(name),
  );
  const newest = names.sort().at(-1);
  return newest === undefined
    ? undefined
    : JSON.parse(readFileSync(join(journalFolder, newest), 'utf8'));
}

function play(bench, clone, into, { site, days, jobs }) {
  const journalFolder = join(clone, 'journal');
  const before = new Set(readdirSync(journalFolder));
  const log = openSync(join(into, `${basename(site, '.toml')}.log`), 'w');
  const startedAt = Date.now();
  const options = ['--days', String(days), '--jobs', String(jobs), '--why', 'regression set'];
  spawnSync(bench, ['hunt', site, ...options], { cwd: clone, stdio: ['ignore', log, log] });
  const entry = newestEntry(journalFolder, before);
  const minutes = (Date.now() - startedAt) / 60_000;
  return entry?.ok === true
    ? rowOf(entry, minutes)
    : [basename(site, '.toml'), '0', '', '', 'not played to its end', '', minutes.toFixed(1)];
}

function main() {
  const cli = cac('regression');
  cli
    .command('[...plays]', 'Play the regression set')
    .option('--bench <program>', 'The bench')
    .option('--into <folder>', 'A folder that does not exist yet')
    .action((plays, { bench, into }) => {
      if (bench === undefined || into === undefined || plays.length === 0) {
        fail('Needed: --bench PROGRAM --into FOLDER SITE:DAYS[:JOBS] ...');
      }
      const folder = resolve(into);
      if (existsSync(folder))
        fail(`${folder} is there already: one folder holds one state of the code.`);
      if (folder.startsWith(BENCH_TMP)) fail('The bench gives each process a /tmp of its own.');
      const dirty = execFileSync('git', ['status', '--porcelain', '--', ':!journal']).toString();
      if (dirty !== '') fail('The working tree has changes: they would not be played.');
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
      const rows = plays.map((text) => play(resolve(bench), clone, folder, parsePlay(text)));
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
