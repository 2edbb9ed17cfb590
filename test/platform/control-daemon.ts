/** @file A single control machine with the platform's API, for tests over HTTP. */
import { mkdtempSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Test } from 'tap';
import { readStoredDocument } from '../../platform/config-document.js';
import { translateCall } from '../../platform/control-api.js';
import type { Address } from '../../src/shared/common/address.js';
import { createCallListener } from '../../src/registered/daemon/call-listener.js';
import { GroupDaemon } from '../../src/registered/daemon/group-daemon.js';
import { timingFor } from '../../src/registered/group/timing.js';

/** Time between two heartbeats of a back end. */
export const HEARTBEAT_INTERVAL_MS = 200;
/** Start time of the back end that `HEARTBEAT` belongs to. */
export const STARTED_AT_MS = 1_790_000_000_000;
/** A valid heartbeat. */
export const HEARTBEAT = {
  service: 'alpha',
  address: '127.0.0.1:9001',
  zone: 'zone-a',
  version: 'v1',
  capacity: 2,
  state: 'ready',
  warmupLeftMs: 0,
  callSeq: 500,
  born: STARTED_AT_MS,
};
/** Timeouts of links and feeds. */
export const TIMING = timingFor({ contactMs: 4_000, applyMs: 3_000, drainMs: 3_000 });

/** A running control machine. */
export interface Control {
  readonly daemon: GroupDaemon;
  /** Address that balancers are fed at. */
  readonly linkAddress: Address;
  /** @returns the HTTP status */
  post(path: string, body?: string | Uint8Array): Promise<number>;
  /** @returns the body of the response */
  get(path: string): Promise<string>;
}

/** @returns a control machine that is the leader of its group */
export async function startControl(t: Test): Promise<Control> {
  const linkAddress = { host: '127.0.0.1', port: await freePort() };
  const started = await GroupDaemon.start(
    {
      linkAddress,
      zone: 'zone-a',
      zones: [],
      seeds: [linkAddress],
      isFirstStart: true,
      tolerableLosses: 0,
      minimumCopies: 1,
      removeVoterAfterMs: 2_000,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      forgetBackendAfterMs: 60_000,
      requestDeadlineMs: 2_000,
      readDocument: ({ text }) => readStoredDocument(text),
      timing: TIMING,
    },
    mkdtempSync(join(tmpdir(), 'amberlift-starts-')),
  );
  const daemon = started._unsafeUnwrap();
  const server = createServer(
    createCallListener(
      translateCall,
      (call) => daemon.call(call),
      (refusal) => daemon.recordRefusal(refusal),
    ),
  ).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as { readonly port: number };
  t.teardown(async () => {
    server.closeAllConnections();
    server.close();
    await daemon.stop();
  });
  const post = async (path: string, body: string | Uint8Array = '') => {
    const response = await fetch(`http://127.0.0.1:${port}${path}`, { method: 'POST', body });
    return response.status;
  };
  const get = async (path: string) => (await fetch(`http://127.0.0.1:${port}${path}`)).text();
  const waitForLeader = async (): Promise<void> => {
    if ((await post('/Backends.Heartbeat/leads', JSON.stringify(HEARTBEAT))) !== 200) {
      await sleep(50);
      await waitForLeader();
    }
  };
  await waitForLeader();
  return { daemon, linkAddress, post, get };
}

/** @returns a TCP port that is free now */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as { readonly port: number };
  await new Promise((resolve) => server.close(resolve));
  return port;
}
