/**
 * @file The control daemon: starts disk, links and the operator interface around the control machine's
 * decision step, and stops them in order.
 */
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type { Address } from '../../shared/common/address.js';
import { loggerFor } from '../../shared/common/logger.js';
import { operatorTokenHash } from '../control/command-hash.js';
import type { CommandEntry, CommandOutcome } from '../control/commands.js';
import { currentMembership } from '../../shared/consensus/consensus-state.js';
import { votersOf } from '../../shared/consensus/membership.js';
import { createControlState, isLeader, type ControlState } from '../control/control-step.js';
import { unknownLoad } from '../control/views/backend-load.js';
import type { InForceView } from '../control/views/in-force.js';
import { haveEarlierLeasesExpired } from '../dissemination/lease-authority.js';
import { balancerReports } from '../dissemination/publisher.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { Settings } from '../settings/settings-schema.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { ControlEdge } from './control-edge.js';
import { listenHttp, type HttpServer, type TlsIdentity } from '../../shared/daemon/http-server.js';
import { memberApi } from './member-api.js';
import { listenForLinks, type LinkServer } from './message-link.js';
import { operatorApi } from './operator-api.js';
import { openStorageFolder } from '../../shared/daemon/storage-folder.js';

/** Time between two looks at whether the state has changed, in milliseconds, at start and stop. */
const POLL_INTERVAL_MS = 5;
/** How long a planned stop waits for another machine to lead, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2_000;

/** A running control daemon. */
export interface ControlDaemon {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  /** The state; to be read only. */
  readonly state: ControlState;
  /** Puts a command into the log, as the operator interface does; resolves with its outcome. */
  propose(entry: CommandEntry): Promise<CommandOutcome>;
  /** Hands over leadership, then stops. */
  stop(): Promise<void>;
}

/**
 * Starts a control daemon. A machine that stands alone is ready once it leads; one with peers at once,
 * since the others may start later.
 * @returns the daemon, `invalid-settings` without a data folder, `storage-failed` for a damaged one
 */
export async function startControlDaemon(
  settings: Settings,
): Promise<Result<ControlDaemon, AmberliftError>> {
  if (settings.dataFolder === undefined) {
    return err(amberliftError('invalid-settings', 'dataFolder: a control machine needs one.'));
  }
  const tls = await readTlsIdentity(settings);
  if (tls.isErr()) {
    return err(tls.error);
  }
  const folder = await openStorageFolder(settings.dataFolder);
  const storage = await ConsensusStorage.open(folder, settings.nodeId);
  if (storage.isErr()) {
    return err(storage.error);
  }
  const daemon = await listen(settings, storage.value, tls.value);
  const { state } = daemon;
  while (standsAlone(state, settings) && !isReady(state, settings)) {
    await sleep(POLL_INTERVAL_MS);
  }
  const { nodeId } = settings;
  loggerFor('control').info(`Control machine ${nodeId} is ready at index ${state.cluster.index}.`);
  return ok(daemon);
}

async function listen(
  settings: Settings,
  storage: ConsensusStorage,
  tls: TlsIdentity | undefined,
): Promise<ControlDaemon> {
  const { control, nodeId, clusterKey } = settings;
  const holder: { edge?: ControlEdge; http?: Parameters<typeof listenHttp>[1] } = {};
  const links = await listenForLinks(control.linkAddress, {
    onMessage: (message, link) => holder.edge?.onMessage(message, link) ?? true,
    onClose: (link) => holder.edge?.onClose(link),
    onTraffic: (direction, kind, bytes) => holder.edge?.onTraffic(direction, kind, bytes),
  });
  const http = await listenHttp(
    control.operatorAddress,
    (incoming, response) => holder.http?.(incoming, response),
    tls,
  );
  const state = createControlState({
    nodeId,
    clusterKey,
    linkAddress: links.address,
    operatorAddress: http.address,
    peers: control.peers.filter((peer) => peer.nodeId !== nodeId),
    operators: control.operators.map(({ name, token, addressRanges }) => ({
      name,
      tokenHash: operatorTokenHash(token),
      ...(addressRanges && { addressRanges }),
    })),
    recovered: storage.recovered,
  });
  const edge = new ControlEdge(state, storage);
  holder.edge = edge;
  holder.http = requestListener(edge, settings);
  return {
    linkAddress: links.address,
    operatorAddress: http.address,
    state,
    propose: (entry) => edge.propose(entry),
    stop: () => stop(edge, links, http, storage),
  };
}

async function readTlsIdentity({
  control,
}: Settings): Promise<Result<TlsIdentity | undefined, AmberliftError>> {
  if (control.operatorTls === undefined) {
    return ok(undefined);
  }
  const { certificateFile, keyFile } = control.operatorTls;
  try {
    const cert = await readFile(certificateFile, 'utf8');
    const key = await readFile(keyFile, 'utf8');
    return ok({ cert, key });
  } catch (cause) {
    return err(amberliftError('invalid-settings', `control.operatorTls: ${String(cause)}`));
  }
}

function requestListener(edge: ControlEdge, settings: Settings) {
  const { state } = edge;
  const operators = operatorApi({
    state: state.cluster,
    propose: (entry) => edge.propose(entry),
    query: () => edge.query(),
    inForce: () => inForceView(state),
    load: () => unknownLoad,
  });
  return memberApi(
    {
      state,
      adminToken: settings.control.adminToken,
      nowMs: () => performance.now(),
      changeMembers: (command) => edge.changeMembers(command),
    },
    operators,
  );
}

/** What balancers reported that they have in force. */
function inForceView({ publisher, leaseAuthority }: ControlState): InForceView {
  const balancers = balancerReports(publisher);
  // Until then balancers may hold leases of an earlier leader without having reported here.
  const isComplete = haveEarlierLeasesExpired(leaseAuthority, performance.now());
  return { balancers, isComplete };
}

async function stop(
  edge: ControlEdge,
  links: LinkServer,
  http: HttpServer,
  storage: ConsensusStorage,
): Promise<void> {
  edge.step({ type: 'stop' });
  const deadlineMs = performance.now() + TRANSFER_TIMEOUT_MS;
  const hasOthers = edge.state.consensus.role.name === 'leader' && otherVoters(edge.state) > 0;
  while (hasOthers && isLeader(edge.state) && performance.now() < deadlineMs) {
    await sleep(POLL_INTERVAL_MS);
    // Without effect while a hand-over is under way; one that failed is begun anew.
    edge.step({ type: 'stop' });
  }
  edge.close();
  await Promise.all([links.close(), http.close()]);
  await storage.close();
}

function otherVoters({ consensus }: ControlState): number {
  const voters = votersOf(currentMembership(consensus));
  return voters.filter(({ nodeId }) => nodeId !== consensus.nodeId).length;
}

/** True for the only member of a cluster, and for a machine that is about to begin one by itself. */
function standsAlone(state: ControlState, settings: Settings): boolean {
  const { members } = currentMembership(state.consensus);
  return members.length === 0 ? settings.control.peers.length === 0 : members.length === 1;
}

/** A leader has applied all that was ever accepted once an entry of its own term is committed. */
function isReady({ cluster, consensus }: ControlState, settings: Settings): boolean {
  const { role, commitIndex } = consensus;
  const { operators, routing } = cluster;
  const hasOperators = settings.control.operators.length === 0 || operators.size > 0;
  const hasAll = role.name === 'leader' && commitIndex >= role.termStartIndex;
  return hasAll && hasOperators && routing.keys.size > 0;
}
