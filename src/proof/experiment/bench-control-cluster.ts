/**
 * @file Control machines for measurements: the leader runs in this process, so that a commit is timed
 * without an operator's HTTP, the others are processes of their own on loopback.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate } from 'node:timers/promises';
import { formatAddress } from '../../shared/common/address.js';
import { setLogLevel } from '../../shared/common/logger.js';
import { timedCommandId } from '../../managed/control/command-id.js';
import type { CommandOutcome, OperatorCommand } from '../../managed/control/commands.js';
import { startControlDaemon, type ControlDaemon } from '../../managed/daemon/control-daemon.js';
import { loadSettings } from '../../managed/settings/load-settings.js';
import type { Settings } from '../../managed/settings/settings-schema.js';
import { ADMIN_TOKEN, addVoter } from './bench-control-members.js';
import { startProcess, type ManagedProcess } from './child-process.js';

const OPERATOR = 'bench';
/** The bearer token of the operator of a bench. */
export const OPERATOR_TOKEN = 'bench-token';
const LEADER = 'c1';

/** A folder of this run alone. */
export async function makeBenchFolder(): Promise<string> {
  return mkdtemp(join(tmpdir(), 'amberlift-bench-'));
}

/** Removes a folder and all in it. */
export async function removeBenchFolder(path: string): Promise<void> {
  await rm(path, { recursive: true, force: true });
}

/**
 * @returns flags by which a control machine of a bench is started
 */
export function controlFlags(nodeId: string, dataFolder: string): string[] {
  return [
    `nodeId=${nodeId}`,
    `dataFolder=${dataFolder}`,
    'clusterKey=bench-cluster-key',
    'logLevel=warn',
    `control.adminToken=${ADMIN_TOKEN}`,
    `control.operators=[{name: ${OPERATOR}, token: ${OPERATOR_TOKEN}}]`,
  ];
}

/** A control cluster whose leader is in this process. */
export class BenchCluster {
  private nextCommand = 1;

  private constructor(
    readonly leader: ControlDaemon,
    private readonly followers: ManagedProcess[],
  ) {}

  /**
   * Starts a leader and, one after another, the other voters.
   * @param folder each machine gets a folder in it
   */
  static async start(machines: number, folder: string): Promise<BenchCluster> {
    setLogLevel('warn');
    const leader = await startHere(controlFlags(LEADER, join(folder, LEADER)));
    const cluster = new BenchCluster(leader, []);
    for (let number = 2; number <= machines; number += 1) {
      await cluster.addFollower(`c${number}`, folder);
    }
    return cluster;
  }

  /** Puts a command of the operator into the log; resolves with its outcome. */
  propose(command: OperatorCommand): Promise<CommandOutcome> {
    const commandId = timedCommandId(Date.now(), String(this.nextCommand));
    this.nextCommand += 1;
    return this.leader.propose({ commandId, operator: OPERATOR, command });
  }

  /** @throws Error where the command is refused */
  async proposeSurely(command: OperatorCommand): Promise<void> {
    const outcome = await this.propose(command);
    if (!outcome.accepted) {
      throw new Error(`The bench's command was refused: ${outcome.error.message}`);
    }
  }

  /**
   * Starts a machine with an empty disk and makes it a voter.
   * @returns how long the change of the members took, with the state to be sent, in milliseconds
   */
  async addFollower(nodeId: string, folder: string): Promise<number> {
    const peer = `{nodeId: ${LEADER}, linkAddress: "${formatAddress(this.leader.linkAddress)}"}`;
    const flags = [...controlFlags(nodeId, join(folder, nodeId)), `control.peers=[${peer}]`];
    const args = flags.flatMap((flag) => ['--set', flag]);
    this.followers.push(await startProcess(nodeId, ['control', ...args]));
    const startMs = performance.now();
    await addVoter(this.leader.operatorAddress, nodeId);
    return performance.now() - startMs;
  }

  /** Resolves once every follower has all on its disk, so that nothing of a commit is still going on. */
  async settle(): Promise<void> {
    while (!this.isSettled()) {
      await setImmediate();
    }
  }

  private isSettled(): boolean {
    const { role, log } = this.leader.state.consensus;
    return (
      role.name !== 'leader' ||
      [...role.progress.values()].every(({ matchIndex }) => matchIndex >= log.last.index)
    );
  }

  async stop(): Promise<void> {
    this.followers.forEach((follower) => follower.signal('SIGKILL'));
    await Promise.all(this.followers.map((follower) => follower.exited));
    await this.leader.stop();
  }
}

/** Starts a control machine in this process. */
export async function startHere(overrides: readonly string[]): Promise<ControlDaemon> {
  const settings: Settings = loadSettings({ overrides })._unsafeUnwrap();
  return (await startControlDaemon(settings))._unsafeUnwrap();
}
