/**
 * @file A route is moved to another service while the back end of the old one is full with the work of others and an open waits there: the last copy
 * of that open is sent long after the new configuration was seen to work. With TROUBLE=0 the others send nothing.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { startBackend } from '../standins-2/backend.mjs';
import { startClient } from '../standins-2/client.mjs';
import {
  BOUNDS,
  BROKEN,
  configOf,
  createRecord,
  hasTrouble,
  HELD,
  NOT_RUN,
  sleep,
  startDeployment,
} from '../standins-2/deployment.mjs';

const ROUTE = '198.18.0.1';
const OTHER = '198.18.0.2';
/** More than the 2 slots and 8 places in the queue of one back end, as in the site file. */
const BUSY_FLOWS = 12;
const WORK_MS = 90;
const BUSY_MS = 400;
/** A client waits before it sends again what was not run. */
const REJECTED_PAUSE_MS = 10;
/** From the acknowledgement on, until one of them has been taken by beta. */
const PROBE_INTERVAL_MS = 20;
const MAX_PROBES = 15;

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const system = await startDeployment({ record, controls: 3, balancers: 2, tolerate: 1, net: 81 });
const { net, controlHosts, balancerHosts } = system;
const controls = controlHosts.map((host) => ({ host }));
const via = balancerHosts[0];
const beforeMove = configOf(3, [
  [ROUTE, 443, 'alpha', 'unsafe'],
  [OTHER, 443, 'beta', 'unsafe'],
]);
const afterMove = configOf(5, [
  [ROUTE, 443, 'beta', 'unsafe'],
  [OTHER, 443, 'beta', 'unsafe'],
]);
afterMove.services = beforeMove.services;

if ((await system.order('/Config.Put', beforeMove)) !== 200) {
  record('not run: no configuration was acknowledged');
  process.exit(NOT_RUN);
}
const place = { record, port: 8080, zone: 'hall-a', controls };
const alpha = await startBackend({
  ...place,
  id: 'i-0000a001',
  service: 'alpha',
  host: `127.${net}.3.1`,
});
const beta = await startBackend({
  ...place,
  id: 'i-0000b001',
  service: 'beta',
  host: `127.${net}.3.2`,
});
if (!(await alpha.started) || !(await beta.started) || !(await system.waitReady())) {
  record('not run: a back end was not acknowledged, or a balancer is not ready');
  process.exit(NOT_RUN);
}
await sleep(2_500);
const client = await startClient({ record, host: `127.${net}.4.1` });
const probes = await startClient({ record, host: `127.${net}.4.2` });

const usual = await probes.open({ route: ROUTE, port: 443, via, name: 'before the move' });
if (usual.outcome !== 'open' || alpha.taken.length !== 1) {
  record('not run: the route does not lead to alpha');
  process.exit(NOT_RUN);
}
await usual.request('p-0');
usual.finish();

const others = await startClient({ record, host: `127.${net}.4.3` });
const busyFlows = await Promise.all(
  Array.from({ length: BUSY_FLOWS }, () =>
    others.open({ route: ROUTE, port: 443, via, name: 'busy' }),
  ),
);
if (busyFlows.some(({ outcome }) => outcome !== 'open')) {
  record('not run: a flow of the others did not open');
  process.exit(NOT_RUN);
}
if (hasTrouble) {
  const untilMs = record.nowMs() + BUSY_MS;
  busyFlows.forEach(async (one, index) => {
    for (let turn = 0; record.nowMs() < untilMs; turn += 1) {
      await one.request(`b-${index}-${turn}`, via, WORK_MS);
      await sleep(one.answers.at(-1)?.includes('Not-Executed') ? REJECTED_PAUSE_MS : 0);
    }
  });
  while (!alpha.isFull() && record.nowMs() < untilMs) {
    await sleep(1);
  }
}

// The client's attempt and the operator's change, at the same time.
const attempt = client.open({ route: ROUTE, port: 443, via, name: 'attempt' });
await sleep(10);
const status = await system.order('/Config.Put', afterMove);
record(`version 5, which moves the route to beta: ${status}`);
const opened = [attempt];
const firstAtBeta = () => beta.taken.find(({ route }) => route === `${ROUTE}:443`);
for (let probe = 0; probe < MAX_PROBES && firstAtBeta() === undefined; probe += 1) {
  opened.push(probes.open({ route: ROUTE, port: 443, via, name: 'after the move' }));
  await sleep(PROBE_INTERVAL_MS);
}
const flows = await Promise.all(opened);
const [flow] = flows;
if (flow.outcome === 'open') {
  await flow.request('order-1');
}
const seenAtMs = firstAtBeta()?.atMs;
if (status !== 200 || seenAtMs === undefined) {
  record('not run: the move was not acknowledged or not seen in time');
  process.exit(NOT_RUN);
}
record(`beta saw the effect of version 5 at ${seenAtMs.toFixed(0)}`);
const late = alpha.taken.flatMap(({ key, copy, atMs }) => {
  const sent = flows.find((one) => one.key === key)?.opens.find((one) => one.copy === copy);
  const afterEffectMs = (sent?.atMs ?? -Infinity) - seenAtMs;
  return afterEffectMs > BOUNDS.rollbackSlackMs ? [{ key, copy, atMs, afterEffectMs }] : [];
});
for (const { key, copy, atMs, afterEffectMs } of late) {
  record(
    `alpha took copy ${copy} of ${key} at ${atMs.toFixed(0)}, sent ${afterEffectMs.toFixed(0)} ms after the effect`,
  );
}
const ran = alpha.run.some(({ requestId }) => requestId === 'order-1');
record(
  `order-1 was run by ${ran ? 'alpha, as only version 3 allows' : 'another service or not at all'}`,
);
record(late.length > 0 ? 'CONFIG broken' : 'CONFIG held');
process.exit(late.length > 0 ? BROKEN : HELD);
