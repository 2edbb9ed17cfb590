/**
 * @file How long commands are not taken after the leader of three control machines is killed: real
 * processes on loopback, asked by the operators' client through the machines that are left.
 */
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { formatAddress, type Address } from '../../shared/common/address.js';
import { OperatorClient } from '../../tools/client/operator-client.js';
import type { OperatorCommand } from '../../managed/control/commands.js';
import {
  OPERATOR_TOKEN,
  controlFlags,
  makeBenchFolder,
  removeBenchFolder,
} from './bench-control-cluster.js';
import { addVoter, memberStatus } from './bench-control-members.js';
import { startProcess, type ManagedProcess } from './child-process.js';

const MACHINES = ['c1', 'c2', 'c3'];
const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 1_000;

/** The figures of killed leaders. */
export interface FailoverFigures {
  /** How many leaders were killed, one after another; each came back on its disk. */
  readonly kills: number;
  /** From the kill until a command that was sent at once was accepted, ascending. */
  readonly acceptedAfterMs: readonly number[];
  /** True where every accepted command was found again at the end. */
  readonly isWhole: boolean;
}

interface Machine {
  readonly nodeId: string;
  readonly flags: readonly string[];
  process: ManagedProcess;
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
}

/**
 * Kills the leader again and again.
 */
export async function measureFailover(kills: number): Promise<FailoverFigures> {
  const folder = await makeBenchFolder();
  const machines: Machine[] = [];
  try {
    await startAll(machines, folder);
    const acceptedAfterMs: number[] = [];
    await define(machines, 0);
    for (let kill = 1; kill <= kills; kill += 1) {
      acceptedAfterMs.push(await killLeader(machines, kill));
    }
    acceptedAfterMs.sort((left, right) => left - right);
    return { kills, acceptedAfterMs, isWhole: await holdsAll(machines, kills) };
  } finally {
    machines.forEach(({ process }) => process.signal('SIGKILL'));
    await Promise.all(machines.map(({ process }) => process.exited));
    await removeBenchFolder(folder);
  }
}

async function startAll(machines: Machine[], folder: string): Promise<void> {
  for (const nodeId of MACHINES) {
    const [first] = machines;
    const peers =
      first === undefined
        ? []
        : [`{nodeId: ${first.nodeId}, linkAddress: "${formatAddress(first.linkAddress)}"}`];
    const flags = [
      ...controlFlags(nodeId, join(folder, nodeId)),
      `control.peers=[${peers.join(', ')}]`,
    ];
    machines.push(await startMachine(nodeId, flags));
    if (first !== undefined) {
      await addVoter(first.operatorAddress, nodeId);
    }
  }
}

async function startMachine(nodeId: string, flags: readonly string[]): Promise<Machine> {
  const process = await start(nodeId, flags);
  const { linkAddress, operatorAddress } = process.ready as unknown as Machine;
  return { nodeId, flags, process, linkAddress, operatorAddress };
}

function start(nodeId: string, flags: readonly string[]): Promise<ManagedProcess> {
  return startProcess(nodeId, ['control', ...flags.flatMap((flag) => ['--set', flag])]);
}

/** Kills the leader, sends a command at once, then starts the machine again on its disk and addresses. */
async function killLeader(machines: Machine[], number: number): Promise<number> {
  const leader = await leaderOf(machines);
  leader.process.signal('SIGKILL');
  const startMs = performance.now();
  await define(
    machines.filter((machine) => machine !== leader),
    number,
  );
  const acceptedAfterMs = performance.now() - startMs;
  await leader.process.exited;
  leader.process = await start(leader.nodeId, [
    ...leader.flags,
    `control.linkAddress=${formatAddress(leader.linkAddress)}`,
    `control.operatorAddress=${formatAddress(leader.operatorAddress)}`,
  ]);
  await caughtUp(machines);
  return acceptedAfterMs;
}

async function define(machines: readonly Machine[], number: number): Promise<void> {
  const command: OperatorCommand = {
    type: 'define-service',
    service: serviceName(number),
    address: { host: `127.1.0.${number + 1}`, port: 7000 },
    policy: 'adaptive',
    limits: {},
  };
  const client = new OperatorClient({
    controlAddresses: machines.map(({ operatorAddress }) => operatorAddress),
    bearerToken: OPERATOR_TOKEN,
  });
  (await client.send(`define-${number}`, command))._unsafeUnwrap();
}

async function leaderOf(machines: readonly Machine[]): Promise<Machine> {
  return pollUntil(async () => {
    for (const machine of machines) {
      const status = await memberStatus(machine.operatorAddress);
      if (status?.role === 'leader') {
        return machine;
      }
    }
    return undefined;
  });
}

async function caughtUp(machines: readonly Machine[]): Promise<void> {
  await pollUntil(async () => {
    const statuses = await Promise.all(
      machines.map(({ operatorAddress }) => memberStatus(operatorAddress)),
    );
    const indexes = new Set(statuses.map((status) => status?.commitIndex));
    return indexes.size === 1 && !indexes.has(undefined) ? true : undefined;
  });
}

async function pollUntil<T>(probe: () => Promise<T | undefined>): Promise<T> {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    const found = await probe();
    if (found !== undefined) {
      return found;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error('The control machines came to no state to go on from.');
}

async function holdsAll(machines: readonly Machine[], kills: number): Promise<boolean> {
  const client = new OperatorClient({
    controlAddresses: machines.map(({ operatorAddress }) => operatorAddress),
    bearerToken: OPERATOR_TOKEN,
  });
  for (let number = 0; number <= kills; number += 1) {
    const retired = await client.send(`retire-${number}`, {
      type: 'retire-service',
      service: serviceName(number),
    });
    if (retired.isErr()) {
      return false;
    }
  }
  return true;
}

function serviceName(number: number): string {
  return `service-${number}`;
}
