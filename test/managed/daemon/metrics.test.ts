/** @file Tests the metrics and health status of a balancer, and its shutdown on signals. */
import t from 'tap';
import type { Address } from '../../../src/shared/common/address.js';
import { sendJson } from '../../../src/managed/daemon/http-json.js';
import { balancerMetrics } from '../../../src/managed/daemon/metrics/balancer-metrics.js';
import { startMetricsServer } from '../../../src/managed/daemon/metrics/metrics-server.js';
import { startProcess } from '../../../src/proof/processes/child-process.js';
import { exitCodes } from '../../../src/shared/common/error-kinds.js';
import {
  accept,
  BalancerWorld,
  isToBackend,
  makeKey,
  makeService,
} from '../balancer/balancer-world.js';

const loopback: Address = { host: '127.0.0.1', port: 0 };
const LONG_GRACE_MS = '600000';

async function healthAt(to: Address) {
  const answer = await sendJson({ to, method: 'GET', path: '/health', timeoutMs: 5_000 });
  return answer._unsafeUnwrap();
}

t.test('a balancer reports error counts by kind and the latency of opens', async (t) => {
  const service = makeService(1);
  const world = new BalancerWorld([service]);
  const [open] = world.open(service);
  world.nowMs += 5;
  t.ok(isToBackend(open) && world.answer(open, accept).length === 1);
  world.established(service, {});
  world.established(service, {}, makeKey(9, 'current'));
  const metrics = balancerMetrics(world.state, () => world.nowMs);
  const server = await startMetricsServer(loopback, metrics);
  t.teardown(() => server?.close());
  const { host, port } = server?.address ?? loopback;
  const response = await fetch(`http://${host}:${port}/metrics`);
  const text = await response.text();
  for (const line of [
    'amberlift_forwarded_packets_total 1',
    'amberlift_opens_received_total 1',
    'amberlift_opens_accepted_total 1',
    'amberlift_errors_total{kind="unknown-key"} 1',
    'amberlift_backends{state="ready"} 4',
    'amberlift_lease_held 1',
  ]) {
    t.ok(text.split('\n').includes(line), line);
  }
  const [, median] = /amberlift_open_latency_seconds\{quantile="0.5"\} (.*)/.exec(text) ?? [];
  t.ok(Math.abs(Number(median) - 0.005) < 0.000_1, `median ${median ?? 'none'}`);
  t.strictSame((await healthAt({ host, port })).body, { state: 'ready' });
  world.step({ type: 'stop' });
  t.match(await healthAt({ host, port }), { status: 503, body: { state: 'stopping' } });
});

t.test('the first SIGTERM stops gracefully, the second one immediately', async (t) => {
  const settings = {
    nodeId: 'balancer-1',
    clusterKey: 'test-cluster-key',
    logLevel: 'warn',
    metricsAddress: '127.0.0.1:0',
    'balancer.stopGraceMs': LONG_GRACE_MS,
  };
  const flags = Object.entries(settings).flatMap(([path, value]) => ['--set', `${path}=${value}`]);
  const balancer = await startProcess('balancer', ['balancer', ...flags]);
  t.teardown(() => balancer.signal('SIGKILL'));
  const metricsAddress = balancer.announcement.metricsAddress as Address;
  t.match(await healthAt(metricsAddress), { status: 503, body: { state: 'starting' } });
  balancer.signal('SIGTERM');
  let state: unknown;
  while (state !== 'stopping') {
    ({ state } = (await healthAt(metricsAddress)).body as { state: unknown });
  }
  balancer.signal('SIGTERM');
  t.equal(await balancer.exited, exitCodes.failure, 'exits before the end of the grace period');
});

t.test('a graceful stop exits with the success code', async (t) => {
  const flags = ['nodeId=b', 'clusterKey=test-cluster-key', 'balancer.stopGraceMs=0'];
  const args = [...flags, 'logLevel=warn'].flatMap((setting) => ['--set', setting]);
  const balancer = await startProcess('balancer', ['balancer', ...args]);
  t.teardown(() => balancer.signal('SIGKILL'));
  balancer.signal('SIGTERM');
  t.equal(await balancer.exited, exitCodes.success);
});
