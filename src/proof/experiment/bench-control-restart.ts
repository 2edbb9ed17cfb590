/**
 * @file How long a control machine takes to start again after many changes, as a real process on a disk
 * as a killed machine leaves it, and whether all that was accepted is there.
 */
import { cp, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createConsensusState } from '../../shared/consensus/consensus-state.js';
import type { OperatorCommand } from '../../managed/control/commands.js';
import type { ControlState } from '../../managed/control/control-state.js';
import { encodeClusterState } from '../../managed/control/cluster-snapshot.js';
import { ConsensusStorage } from '../../shared/daemon/consensus-storage.js';
import { openStorageFolder } from '../../shared/daemon/storage-folder.js';
import {
  BenchCluster,
  controlFlags,
  makeBenchFolder,
  removeBenchFolder,
  startHere,
} from './bench-control-cluster.js';
import { startProcess } from './child-process.js';

const BACKENDS_PER_SERVICE = 9;
const CLIENTS = 64;
const POLL_INTERVAL_MS = 2;
const BYTE_VALUES = 256;

/** The figures of a restart. */
export interface RestartFigures {
  readonly changes: number;
  readonly services: number;
  readonly backends: number;
  /** From the start of the process until it leads and answers. */
  readonly processReadyMs: number;
  /** The same of a process with an empty disk: what starting costs by itself. */
  readonly emptyProcessReadyMs: number;
  /** From asking that a machine with an empty disk be added until it is a voter with the whole state. */
  readonly joinMs: number;
  readonly snapshotBytes: number;
  /** Bytes of the log file for each entry that it holds. */
  readonly logBytesPerChange: number;
  /** True where the state found again equals the state before, byte for byte. */
  readonly isWhole: boolean;
}

/**
 * Makes the changes at one machine, copies its disk without stopping it, and starts a process on it.
 */
export async function measureRestart(changes: number): Promise<RestartFigures> {
  const folder = await makeBenchFolder();
  const cluster = await BenchCluster.start(1, folder);
  try {
    await makeChanges(cluster, changes);
    const { cluster: before } = cluster.leader.state;
    const { services, backends } = before.routing;
    const left = await copyOf(folder, 'left', cluster.leader.state);
    const processReadyMs = await timedStart(left);
    const emptyProcessReadyMs = await timedStart(join(folder, 'empty'));
    const isWhole = await holds(await copyOf(folder, 'checked', cluster.leader.state), cluster);
    return {
      changes,
      services: services.size,
      backends: backends.size,
      processReadyMs,
      emptyProcessReadyMs,
      ...(await diskFigures(left)),
      joinMs: await cluster.addFollower('c2', folder),
      isWhole,
    };
  } finally {
    await cluster.stop();
    await removeBenchFolder(folder);
  }
}

async function makeChanges(cluster: BenchCluster, changes: number): Promise<void> {
  const services = Math.ceil(changes / (BACKENDS_PER_SERVICE + 1));
  await inParallel(services, (number) => cluster.proposeSurely(defineService(number)));
  await inParallel(changes - services, (number) =>
    cluster.proposeSurely(addBackend(number, number % services)),
  );
}

async function inParallel(count: number, task: (number: number) => Promise<void>): Promise<void> {
  let next = 0;
  const client = async () => {
    while (next < count) {
      const number = next;
      next += 1;
      await task(number);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, client));
}

/** What is accepted is synced; a snapshot that is being written is let end, for a copy of one moment. */
async function copyOf(folder: string, name: string, state: ControlState): Promise<string> {
  while (state.consensus.persistence.inFlight !== undefined) {
    await sleep(POLL_INTERVAL_MS);
  }
  const copy = join(folder, name);
  await cp(join(folder, 'c1'), copy, { recursive: true });
  return copy;
}

async function timedStart(dataFolder: string): Promise<number> {
  const args = controlFlags('c1', dataFolder).flatMap((flag) => ['--set', flag]);
  const startMs = performance.now();
  const started = await startProcess('c1', ['control', ...args]);
  const readyMs = performance.now() - startMs;
  started.signal('SIGKILL');
  await started.exited;
  return readyMs;
}

async function diskFigures(folder: string) {
  const storage = await ConsensusStorage.open(await openStorageFolder(folder), 'c1');
  const { recovered } = storage._unsafeUnwrap();
  const { log } = createConsensusState('c1', recovered);
  const { size } = await stat(join(folder, 'log'));
  return {
    snapshotBytes: recovered.snapshot?.data.length ?? 0,
    logBytesPerChange: size / (log.last.index - log.base.index),
  };
}

/** A leader appends an entry of its own, so only what entries changed is compared. */
async function holds(dataFolder: string, cluster: BenchCluster): Promise<boolean> {
  const restarted = await startHere(controlFlags('c1', dataFolder));
  const position = { index: 0, term: 0 };
  const [before, after] = [cluster.leader, restarted].map(({ state }) =>
    encodeClusterState({ ...state.cluster, ...position }),
  );
  await restarted.stop();
  return before !== undefined && after !== undefined && Buffer.compare(before, after) === 0;
}

function defineService(number: number): OperatorCommand {
  const address = { host: hostOf(1, number), port: 7000 };
  const service = serviceName(number);
  return { type: 'define-service', service, address, policy: 'adaptive', limits: {} };
}

function addBackend(number: number, service: number): OperatorCommand {
  const address = { host: hostOf(2, number), port: 9000 };
  const healthAddress = { ...address, port: 9001 };
  const zone = 'zone-a';
  return { type: 'add-backend', service: serviceName(service), address, healthAddress, zone };
}

function serviceName(number: number): string {
  return `service-${number}`;
}

function hostOf(network: number, number: number): string {
  return `127.${network}.${Math.floor(number / BYTE_VALUES)}.${number % BYTE_VALUES}`;
}
