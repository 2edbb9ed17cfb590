/** @file Guards against a subcommand that is listed in the help but fails to load. */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { main } from '../../../src/tools/cli/main.js';

async function outputOf(...args: string[]): Promise<string> {
  const lines: string[] = [];
  const original = console.info;
  console.info = (...parts: unknown[]) => void lines.push(parts.join(' '));
  await main(['node', 'amberlift', ...args]);
  console.info = original;
  return lines.join('\n');
}

t.test('each listed subcommand prints its own help', async (t) => {
  const source = readFileSync(new URL('../../../src/tools/cli/main.js', import.meta.url), 'utf8');
  const names = [...source.matchAll(/name: '([\w-]+)'/g)].map(([, name]) => name ?? '');
  t.ok(names.length >= 10);
  const help = await outputOf('--help');
  for (const name of names) {
    t.match(help, `  ${name} `, name);
    t.match(await outputOf(name, '--help'), `amberlift ${name}`, name);
  }
  t.notOk(process.exitCode, 'help sets no exit code');
});
