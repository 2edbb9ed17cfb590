/** @file Signals that arrive before a daemon has installed its handlers, and repeated stop signals. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import t from 'tap';

const RELOAD = new URL('../../../src/registered/daemon/reload-signal.js', import.meta.url).href;
const STOP = new URL('../../../src/shared/daemon/stop-signal.js', import.meta.url).href;
const PROGRAM = `
import { onReloadSignal } from '${RELOAD}';
import { onStopSignal } from '${STOP}';
const say = (line) => process.stdout.write(line + '\\n');
say('loaded');
process.stdin.once('data', () => {
  onReloadSignal(() => say('reload'));
  onStopSignal({ signals: ['SIGTERM'], onStop: () => say('stop'), onRepeat: () => { say('again'); process.exit(0); } });
  say('started');
});
`;

t.test(
  'a reload is deferred until the start, and a second stop signal does not end the process',
  async (t) => {
    const child = spawn(process.execPath, ['--input-type=module', '--eval', PROGRAM], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const lines = createInterface(child.stdout)[Symbol.asyncIterator]();
    const next = async () => ((await lines.next()) as { readonly value: string }).value;
    t.equal(await next(), 'loaded');
    child.kill('SIGHUP');
    child.stdin.write('start\n');
    const begun = new Set([await next(), await next()]);
    t.same(
      begun,
      new Set(['started', 'reload']),
      'the reload was deferred, or arrived during the start',
    );
    child.kill('SIGHUP');
    t.equal(await next(), 'reload');
    child.kill('SIGTERM');
    t.equal(await next(), 'stop');
    child.kill('SIGTERM');
    t.equal(await next(), 'again');
    const [code] = (await once(child, 'exit')) as [number | null];
    t.equal(code, 0);
  },
);
