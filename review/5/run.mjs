/**
 * @file A route is moved to another service while the back end of the old one is full and an open waits there: the last copy
 * of that open is sent long after the new configuration was seen to work. With TROUBLE=0 the back end is not full.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
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
const FULL_MS = 400;
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

// The client's attempt and the operator's change, at the same time.
alpha.setFull(hasTrouble);
const attempt = client.open({ route: ROUTE, port: 443, via, name: 'attempt' });
setTimeout(() => {
  alpha.setFull(false);
  record(`${alpha.id} is not full any more`);
}, FULL_MS);
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
