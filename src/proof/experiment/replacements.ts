/**
 * @file Planned changes of a running fleet: balancers, control machines and back ends are replaced by
 * new ones.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { Cluster, ClusterBackend, ClusterBalancer, ClusterControl } from './cluster.js';
import { readControlStatus, revisionsOf, waitUntilInForce } from './cluster-status.js';
import type { RunRecorder } from './run-recorder.js';

const MILLISECONDS_PER_SECOND = 1_000;
const STEP_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const HTTP_TIMEOUT_MS = 3_000;

/** The cluster that is changed, and the record of what is done. */
export interface FleetContext {
  readonly cluster: Cluster;
  readonly recorder: RunRecorder;
}

/**
 * Replaces every balancer by a new one, one after the other: the new one is listed first, then the old
 * one is stopped while the platform's list still has it.
 */
export async function replaceBalancers(
  context: FleetContext,
  intervalSeconds: number,
): Promise<void> {
  const stopping: Promise<void>[] = [];
  for (const old of [...context.cluster.balancers]) {
    stopping.push(replaceBalancer(context, old));
    await sleep(intervalSeconds * MILLISECONDS_PER_SECOND);
  }
  await Promise.all(stopping);
}

/**
 * Replaces every control machine by one with an empty disk, one after the other, at its addresses.
 */
export async function replaceControlMachines(context: FleetContext): Promise<void> {
  for (const old of [...context.cluster.controls]) {
    await replaceControl(context, old);
  }
}

/**
 * Drains a share of each service's back ends at the same time, after as many new ones were added.
 */
export async function drainBackends(
  { cluster, recorder }: FleetContext,
  share: number,
): Promise<void> {
  const leaving = cluster.options.deployment.services.flatMap((service) => {
    const members = cluster.backends.filter((one) => one.service === service && !one.leaving);
    return members.slice(0, Math.round(members.length * share));
  });
  const added: ClusterBackend[] = [];
  for (const { service } of leaving) {
    added.push(await cluster.startBackend(service));
  }
  await waitUntilInForce(cluster, revisionsOf(added), STEP_TIMEOUT_MS);
  recorder.note(`drain ${leaving.map(({ name }) => name).join(', ')}`);
  await Promise.all(leaving.map((backend) => cluster.drain(backend)));
}

async function replaceBalancer(
  { cluster, recorder }: FleetContext,
  old: ClusterBalancer,
): Promise<void> {
  const successor = await cluster.startBalancer();
  recorder.note(`${successor.nodeId} joins`);
  if (!cluster.balancers.includes(old)) {
    return;
  }
  cluster.removeBalancer(old);
  recorder.note(`${old.nodeId} stops`);
  old.process.signal('SIGTERM');
  await cluster.publishBalancersLate();
  await old.process.exited;
}

async function replaceControl(context: FleetContext, old: ClusterControl): Promise<void> {
  const { cluster, recorder } = context;
  old.isUp = false;
  old.process.signal('SIGTERM');
  await old.process.exited;
  recorder.note(`${old.nodeId} stopped`);
  await changeMembers(cluster, 'remove-member', old.nodeId);
  const successor = await cluster.startControlInPlaceOf(old);
  await waitForMember(cluster, (status) =>
    status.waiting.some(({ nodeId }) => nodeId === successor.nodeId),
  );
  await changeMembers(cluster, 'add-member', successor.nodeId);
  await changeMembers(cluster, 'promote-member', successor.nodeId);
  await waitForMember(cluster, (status) =>
    status.members.some(({ nodeId, role }) => nodeId === successor.nodeId && role === 'voter'),
  );
  recorder.note(`${successor.nodeId} is a voter`);
}

type LeaderStatus = NonNullable<Awaited<ReturnType<typeof readControlStatus>>>;

async function waitForMember(
  cluster: Cluster,
  isDone: (status: LeaderStatus) => boolean,
): Promise<void> {
  const endsAt = performance.now() + STEP_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    for (const control of cluster.controls.filter(({ isUp }) => isUp)) {
      const status = await readControlStatus(cluster, control);
      if (status?.role === 'leader' && isDone(status)) {
        return;
      }
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error('A control machine did not join in time.');
}

/** Asks each machine in turn until the leader has done it. */
async function changeMembers(
  cluster: Cluster,
  type: 'add-member' | 'promote-member' | 'remove-member',
  nodeId: string,
): Promise<void> {
  const { adminToken } = cluster.options.settings.control.control;
  const endsAt = performance.now() + STEP_TIMEOUT_MS;
  let answer: unknown;
  while (performance.now() < endsAt) {
    for (const { operatorAddress } of cluster.controls.filter(({ isUp }) => isUp)) {
      const response = await sendJson({
        to: operatorAddress,
        method: 'POST',
        path: '/v1/members',
        body: { type, nodeId },
        bearerToken: adminToken,
        timeoutMs: HTTP_TIMEOUT_MS,
      });
      if (response.isOk() && response.value.status === 200) {
        return;
      }
      answer = response.isOk() ? response.value.body : response.error;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${type} ${nodeId} was not done in time: ${JSON.stringify(answer)}`);
}
