/**
 * @file Guards against a control machine that does not start, or says nothing, when it can't read the configuration that it has
 * stored, as after a downgrade.
 */
import { mkdtempSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import t from 'tap';
import { amberliftError, type AmberliftError } from '../../../src/shared/common/error-kinds.js';
import { setLogLevel, setLogSink } from '../../../src/shared/common/logger.js';
import type { DeclaredConfig } from '../../../src/registered/declared/declared-config.js';
import { GroupDaemon } from '../../../src/registered/daemon/group-daemon.js';
import { widestTiming } from '../../../src/registered/group/timing.js';

const RETRY_DELAY_MS = 50;
const TIMEOUT_MS = 5_000;
const CONFIG: DeclaredConfig = { version: 3, routes: [], services: [], idleTimeoutMs: 1_000 };

async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as { readonly port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}

t.test('a stored configuration that can not be read is named, and later ones apply', async (t) => {
  const lines: string[] = [];
  setLogLevel('info');
  setLogSink((line) => lines.push(line));
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-unreadable-'));
  const linkAddress = { host: '127.0.0.1', port: await freePort() };
  const start = async (
    isFirstStart: boolean,
    readDocument: (document: {
      readonly version: number;
    }) => Result<DeclaredConfig, AmberliftError>,
  ) => {
    const started = await GroupDaemon.start(
      {
        linkAddress,
        zone: 'zone-a',
        zones: [],
        seeds: [linkAddress],
        isFirstStart,
        tolerableLosses: 0,
        minimumCopies: 1,
        removeVoterAfterMs: 2_000,
        heartbeatIntervalMs: 200,
        forgetBackendAfterMs: 60_000,
        requestDeadlineMs: 2_000,
        readDocument,
        timing: widestTiming,
      },
      folder,
    );
    return started._unsafeUnwrap();
  };
  const declare = async (daemon: GroupDaemon, version: number) => {
    for (;;) {
      const document = { version, text: `{"version":${version}}` };
      const reply = await daemon.call({ type: 'declare-config', document });
      if (reply.type === 'accepted') {
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
  };

  const before = await start(true, ({ version }) => ok({ ...CONFIG, version }));
  await declare(before, 3);
  await before.stop();
  const after = await start(false, ({ version }) =>
    version === 3
      ? err(amberliftError('invalid-command', 'Unknown form'))
      : ok({ ...CONFIG, version }),
  );
  const isNamed = () => lines.some((line) => line.includes('config unreadable version=3 kept=0'));
  const giveUpAtMs = performance.now() + TIMEOUT_MS;
  while (!isNamed() && performance.now() < giveUpAtMs) {
    await sleep(RETRY_DELAY_MS);
  }
  t.ok(isNamed(), 'the log names the version');
  await declare(after, 4);
  t.equal(after.group.state.configs.version, 4);
  await after.stop();
});
