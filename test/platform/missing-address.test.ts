/** @file A program must exit with the code for invalid settings if a required address is missing. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import t from 'tap';
import { exitCodes } from '../../src/shared/common/error-kinds.js';

t.test('a balancer refuses settings without a packet address', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-missing-address-'));
  t.teardown(() => rmSync(folder, { recursive: true, force: true }));
  const settings = {
    nodeName: 'balancer-a',
    ip: '127.0.0.1',
    zone: 'zone-a',
    internalPorts: [0, 0],
    seeds: ['127.0.0.1:1'],
    bootstrap: false,
    heartbeatMs: 1_200,
    listen: { ready: '127.0.0.1:0' },
    tolerate: { machines: 0 },
    bounds: {
      contactMs: 5_000,
      configApplyMs: 4_000,
      syncS: 6,
      drainMs: 4_000,
      graceS: 1,
      flowLifetimeS: 60,
    },
  };
  const file = join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  const child = spawn(process.execPath, ['dist/platform/balancer.js'], {
    env: { PATH: process.env.PATH, AMBERLIFT_NODE_FILE: file },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  const [code] = (await once(child, 'exit')) as [number | null];
  t.equal(code, exitCodes.settings);
});
