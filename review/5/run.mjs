/**
 * @file A back end crashes right after its start; its only heartbeat comes seconds late, when the next incarnation at the
 * same address holds flows. With TROUBLE=0 that heartbeat comes at once.
 */
import { dirname } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';
import { startBackend } from '../standins-2/backend.mjs';
import { startClient } from '../standins-2/client.mjs';
import { startDelayedPath } from '../standins-2/delayed-path.mjs';
import {
  BROKEN,
  configOf,
  CONTROL_PORT,
  createRecord,
  hasTrouble,
  HELD,
  NOT_RUN,
  sleep,
  startDeployment,
} from '../standins-2/deployment.mjs';

const FLOWS = 6;
const ROUTE = '198.18.0.1';
const LATE_MS = 6_000;
/** `addrReuseS` of the settings is 2 s. */
const NEXT_START_AFTER_CRASH_MS = 2_000;
const SERVE_UNTIL_MS = LATE_MS + 6_000;

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const system = await startDeployment({ record, controls: 3, balancers: 2, tolerate: 1, net: 71 });
const { net, controlHosts, balancerHosts } = system;
const controls = controlHosts.map((host) => ({ host }));

if ((await system.order('/Config.Put', configOf(3, [[ROUTE, 443, 'beta']]))) !== 200) {
  record('not run: no configuration was acknowledged');
  process.exit(NOT_RUN);
}
const place = { record, service: 'beta', host: `127.${net}.3.1`, port: 8080, zone: 'hall-a' };

const pathHost = `127.${net}.5.1`;
await startDelayedPath({
  record,
  listenHost: pathHost,
  port: CONTROL_PORT,
  to: controlHosts[0],
  delayMs: hasTrouble ? LATE_MS : 0,
});
const firstStartedAtMs = record.nowMs();
const first = await startBackend({ ...place, id: 'i-0000aa01', controls: [{ host: pathHost }] });
record(`back end ${first.id} starts at ${place.host}:${place.port} and sends its first heartbeat`);
await sleep(500);
first.crash();
record(`back end ${first.id} crashes`);
await sleep(NEXT_START_AFTER_CRASH_MS);
const second = await startBackend({ ...place, id: 'i-0000bb02', controls: controls.slice(1) });
record(`back end ${second.id} starts at ${place.host}:${place.port}`);
if (!(await second.started) || !(await system.waitReady())) {
  record('not run: the second start was not acknowledged, or a balancer is not ready');
  process.exit(NOT_RUN);
}
record(`back end ${second.id} is acknowledged`);
await sleep(300);

const client = await startClient({ record, host: `127.${net}.4.1` });
const flows = await Promise.all(
  Array.from({ length: FLOWS }, (_, index) => {
    const via = balancerHosts[index % balancerHosts.length];
    return client.open({ route: ROUTE, port: 443, via, name: `flow-${index}` });
  }),
);
if (flows.some(({ outcome }) => outcome !== 'open')) {
  record('not run: a flow did not open');
  process.exit(NOT_RUN);
}
let answered = 0;
let unanswered = 0;
await Promise.all(
  flows.map(async (flow, index) => {
    const via = balancerHosts[index % balancerHosts.length];
    for (let turn = 0; record.nowMs() - firstStartedAtMs < SERVE_UNTIL_MS; turn += 1) {
      if (flow.outcome !== 'open') {
        return;
      }
      const requestId = `q-${index}-${turn}`;
      if (await flow.request(requestId, via)) {
        answered += 1;
      } else {
        unanswered += 1;
        record(`client ${flow.key} has no answer to ${requestId}`);
      }
      await sleep(300);
    }
  }),
);
const resets = flows.flatMap((flow) =>
  flow.resets.filter((reset) => reset.isOfSystem && reset.wasOpen),
);
const held = flows.filter(({ key }) => second.flows.has(key)).length;
record(
  `answered=${answered} unanswered=${unanswered}; ${second.id} still holds ${held} of ${FLOWS} flows`,
);
record(`resets of open flows that their back end did not send: ${resets.length} of ${FLOWS}`);
record(resets.length > 0 ? 'FLOW broken' : 'FLOW held');
process.exit(resets.length > 0 ? BROKEN : HELD);
