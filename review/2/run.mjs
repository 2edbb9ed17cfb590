// Configurations are acknowledged that no balancer takes: one has a service with a name of more than 200 characters, one a
// negative idle timeout.
// The check: no open that was sent more than configApplyMs after an acknowledgement runs on a route that was dropped.
import { URL } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { startBackend } from '../standins/backend.mjs';
import { startClient } from '../standins/client.mjs';
import { configOf } from '../standins/config.mjs';
import { bounds, ports, zones } from '../standins/deployment.mjs';
import { callAny } from '../standins/platform.mjs';
import { runCase } from '../standins/run-case.mjs';

const SERVER_PORT = 8080;
const OPENS_PER_CLIENT = 4;
const MARGIN_MS = 500;
const START_LIMIT_MS = 15_000;
const LOG_LINES = 4;
const LONG_NAME = `reports.${'accounting-of-the-cooperatives.'.repeat(6)}cr-central.svc`;
const SHORT_NAME = 'reports';
const NO_IDLE_TIMEOUT = -1;
const IDLE_TIMEOUT_MS = 15_000;
const routeOf = (number, service = 'authd') => ({
  name: `r-${number}`,
  host: `198.18.0.${number}`,
  port: 8443,
  service,
});

await runCase(new URL('record.txt', import.meta.url).pathname, async (run) => {
  const { record, deployment, routers, hasTrouble } = run;
  const { network, cores, fronts } = deployment;
  const kept = routeOf(1);
  const put = async (config) => {
    const answer = await callAny(cores, 'POST', '/Config.Put', config);
    record.line(`configuration ${config.version}: ${answer.status} by ${answer.by} ${answer.body}`);
    return { status: answer.status, atMs: record.nowMs() };
  };
  const first = await put(configOf(5, [kept, routeOf(2)]));
  const common = { record, cores, clientPort: ports.datagram, port: SERVER_PORT };
  const backends = [];
  for (const number of [1, 2, 3]) {
    const options = { id: `i-1000000${number}`, service: 'authd', ip: `${network}.3.${number}` };
    backends.push(await startBackend({ ...common, ...options, zone: zones[number - 1] }));
  }
  if (first.status !== 200 || !(await run.waitUntilReady())) {
    record.line('the deployment did not become ready');
    return undefined;
  }
  record.line('all balancers are in');
  const clients = [];
  for (const [index, zone] of zones.entries()) {
    const ip = `${network}.4.${index + 1}`;
    clients.push(await startClient({ record, routers, ip, zone }));
  }
  let nextPort = 40_001;
  const openOn = async (route) => {
    const opens = clients.flatMap((client) =>
      Array.from({ length: OPENS_PER_CLIENT }, () => client.open(route, nextPort++)),
    );
    return (await Promise.all(opens)).map(({ flow }) => flow.state);
  };
  const before = [...(await openOn(kept)), ...(await openOn(routeOf(2)))];
  record.line(`opens before the changes: ${before.join(' ')}`);
  if (before.some((state) => state !== 'open')) {
    return undefined;
  }
  await sleep(bounds.contactMs);

  /**
   * Puts a configuration and tries the route that it drops and the one that it adds.
   * @returns the number of opens that were handled as only the older version allows
   */
  const change = async ({ what, config, dropped, added }) => {
    record.line(`change to version ${config.version}: ${what}`);
    const { status, atMs } = await put(config);
    const read = await callAny(cores, 'GET', '/Config.Get');
    const held = read.status === 200 ? JSON.parse(read.body).version : 'unknown';
    record.line(`read back: ${read.status}, version ${held}`);
    if (status !== 200) {
      record.line('it was refused, so it need not apply');
      return 0;
    }
    await sleep(bounds.configApplyMs + MARGIN_MS);
    record.line(`${Math.round(record.nowMs() - atMs)} ms after the acknowledgement:`);
    const onDropped = await openOn(dropped);
    const onAdded = await openOn(added);
    record.line(`opens on the route that it drops: ${onDropped.join(' ')}`);
    record.line(`opens on the route that it adds: ${onAdded.join(' ')}`);
    const isLate = (states, state) => states.filter((one) => one === state).length;
    return isLate(onDropped, 'open') + isLate(onAdded, 'reset');
  };

  const name = hasTrouble ? LONG_NAME : SHORT_NAME;
  const withName = await change({
    what: `a service is added whose name has ${name.length} characters`,
    config: configOf(9, [kept, routeOf(3), routeOf(9, name)]),
    dropped: routeOf(2),
    added: routeOf(3),
  });
  const between = await change({
    what: 'that service is removed again',
    config: configOf(12, [kept, routeOf(4)]),
    dropped: routeOf(3),
    added: routeOf(4),
  });
  const idleTimeoutMs = hasTrouble ? NO_IDLE_TIMEOUT : IDLE_TIMEOUT_MS;
  const withTimeout = await change({
    what: `limits.idleTimeoutMs is ${idleTimeoutMs}`,
    config: { ...configOf(15, [kept, routeOf(5)]), limits: { idleTimeoutMs } },
    dropped: routeOf(4),
    added: routeOf(5),
  });

  // What follows from it: no departure reaches a balancer either, and one that is restarted does not come back.
  const [leaving] = backends;
  await leaving.drain();
  await sleep(bounds.drainMs + MARGIN_MS);
  const takenBefore = leaving.opens.length;
  await openOn(kept);
  const takenLate = leaving.opens.length - takenBefore;
  record.line(
    `opens that reached ${leaving.id} over drainMs after it was acknowledged to drain: ${takenLate}`,
  );
  const [restarted] = fronts;
  deployment.signal(restarted, 'SIGTERM');
  while (deployment.isRunning(restarted) || routers.isIn(restarted)) {
    await sleep(100);
  }
  deployment.start(restarted);
  const startedAtMs = record.nowMs();
  while (!routers.isIn(restarted) && record.nowMs() - startedAtMs < START_LIMIT_MS) {
    await sleep(100);
  }
  const tookMs = Math.round(record.nowMs() - startedAtMs);
  record.line(
    `${restarted.name} was restarted; in: ${routers.isIn(restarted)}, after ${tookMs} ms`,
  );

  backends.forEach((backend) => backend.crash());
  clients.forEach((client) => client.end());
  for (const machine of fronts) {
    deployment
      .logOf(machine)
      .filter((line) => /feed lost .*unexpected|config in force/.test(line))
      .slice(0, LOG_LINES)
      .forEach((line) => record.line(`log of ${machine.name}: ${line}`));
  }
  record.line(
    `opens handled as only the older version allows: ${withName} after the long name, ` +
      `${between} after its removal, ${withTimeout} after the negative timeout`,
  );
  return withName + between + withTimeout > 0;
});
