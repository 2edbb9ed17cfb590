/**
 * @file The control daemon: starts and stops the storage, the links and the operator API of a control
 * machine.
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
import { ControlRuntime } from './control-runtime.js';
import { listenHttp, type HttpServer, type TlsIdentity } from '../../shared/daemon/http-server.js';
import { memberApi } from './member-api.js';
import { listenForLinks, type LinkServer } from './message-link.js';
import { operatorApi } from './operator-api.js';
import { openStorageFolder } from '../../shared/daemon/storage-folder.js';

/** How often start and stop check the state. */
const POLL_INTERVAL_MS = 5;
/** How long a stop waits until another machine has become leader. */
const LEADERSHIP_TRANSFER_TIMEOUT_MS = 2_000;

/** A running control daemon. */
export interface ControlDaemon {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  /** For reading only. */
  readonly state: ControlState;
  /** Proposes a command for the replicated log, like the operator API; resolves with its outcome. */
  propose(entry: CommandEntry): Promise<CommandOutcome>;
  /** Transfers leadership, then stops. */
  stop(): Promise<void>;
}

/**
 * Starts a control daemon. The only member of a cluster is ready once it leads; a machine with peers is
 * ready at once, since the peers may start later.
 * @returns the daemon, `invalid-settings` without a data folder or with unreadable TLS files, or
 *   `storage-failed` for a damaged data folder
 */
export async function startControlDaemon(
  settings: Settings,
): Promise<Result<ControlDaemon, AmberliftError>> {
  if (settings.dataFolder === undefined) {
    return err(amberliftError('invalid-settings', 'dataFolder: required for control machines.'));
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
  const daemon = await startListening(settings, storage.value, tls.value);
  const { state } = daemon;
  while (isOnlyMember(state, settings) && !isReady(state, settings)) {
    await sleep(POLL_INTERVAL_MS);
  }
  const { nodeId } = settings;
  loggerFor('control').info(`Control machine ${nodeId} is ready at index ${state.cluster.index}.`);
  return ok(daemon);
}

async function startListening(
  settings: Settings,
  storage: ConsensusStorage,
  tls: TlsIdentity | undefined,
): Promise<ControlDaemon> {
  const { control, nodeId, clusterKey } = settings;
  const holder: { runtime?: ControlRuntime; httpListener?: Parameters<typeof listenHttp>[1] } = {};
  const links = await listenForLinks(control.linkAddress, {
    onMessage: (message, link) => holder.runtime?.onMessage(message, link) ?? true,
    onClose: (link) => holder.runtime?.onClose(link),
    onTraffic: (direction, kind, bytes) => holder.runtime?.onTraffic(direction, kind, bytes),
  });
  const http = await listenHttp(
    control.operatorAddress,
    (incoming, response) => holder.httpListener?.(incoming, response),
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
  const runtime = new ControlRuntime(state, storage);
  holder.runtime = runtime;
  holder.httpListener = requestListener(runtime, settings);
  return {
    linkAddress: links.address,
    operatorAddress: http.address,
    state,
    propose: (entry) => runtime.propose(entry),
    stop: () => stop(runtime, links, http, storage),
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

function requestListener(runtime: ControlRuntime, settings: Settings) {
  const { state } = runtime;
  const operatorListener = operatorApi({
    state: state.cluster,
    propose: (entry) => runtime.propose(entry),
    confirmLeadership: () => runtime.confirmLeadership(),
    inForce: () => inForceView(state),
    load: () => unknownLoad,
  });
  return memberApi(
    {
      state,
      adminToken: settings.control.adminToken,
      nowMs: () => performance.now(),
      changeMembers: (command) => runtime.changeMembers(command),
    },
    operatorListener,
  );
}

/** The configuration versions that balancers have reported as in force. */
function inForceView({ publisher, leaseAuthority }: ControlState): InForceView {
  const balancers = balancerReports(publisher);
  // Before that, balancers may hold leases of an earlier leader without having reported to this one.
  const isComplete = haveEarlierLeasesExpired(leaseAuthority, performance.now());
  return { balancers, isComplete };
}

async function stop(
  runtime: ControlRuntime,
  links: LinkServer,
  http: HttpServer,
  storage: ConsensusStorage,
): Promise<void> {
  runtime.step({ type: 'stop' });
  const deadlineMs = performance.now() + LEADERSHIP_TRANSFER_TIMEOUT_MS;
  const shouldTransferLeadership =
    runtime.state.consensus.role.name === 'leader' && countOtherVoters(runtime.state) > 0;
  while (shouldTransferLeadership && isLeader(runtime.state) && performance.now() < deadlineMs) {
    await sleep(POLL_INTERVAL_MS);
    // Restarts a failed transfer; no effect while one is in progress.
    runtime.step({ type: 'stop' });
  }
  runtime.close();
  await Promise.all([links.close(), http.close()]);
  await storage.close();
}

function countOtherVoters({ consensus }: ControlState): number {
  const voters = votersOf(currentMembership(consensus));
  return voters.filter(({ nodeId }) => nodeId !== consensus.nodeId).length;
}

/** True for the only member of a cluster, and for a machine without peers that is about to create one. */
function isOnlyMember(state: ControlState, settings: Settings): boolean {
  const { members } = currentMembership(state.consensus);
  return members.length === 0 ? settings.control.peers.length === 0 : members.length === 1;
}

/** A leader has applied all accepted entries once an entry of its own term is committed. */
function isReady({ cluster, consensus }: ControlState, settings: Settings): boolean {
  const { role, commitIndex } = consensus;
  const { operators, routing } = cluster;
  const hasOperators = settings.control.operators.length === 0 || operators.size > 0;
  const hasAppliedAll = role.name === 'leader' && commitIndex >= role.termStartIndex;
  return hasAppliedAll && hasOperators && routing.keys.size > 0;
}
