/** @file Control machines over loopback HTTP that share one cluster state, for tests of the operator client. */
import {
  operatorApi,
  type LeadershipConfirmation,
} from '../../../src/managed/daemon/operator-api.js';
import {
  listenHttp,
  type HttpServer,
  type TlsIdentity,
} from '../../../src/shared/daemon/http-server.js';
import { OperatorClient } from '../../../src/tools/client/operator-client.js';
import {
  decodeClusterState,
  encodeClusterState,
} from '../../../src/managed/control/cluster-snapshot.js';
import { applyCommand } from '../../../src/managed/control/apply-command.js';
import { emptyClusterState } from '../../../src/managed/control/cluster-state.js';
import { operatorTokenHash } from '../../../src/managed/control/command-hash.js';
import {
  SYSTEM_OPERATOR,
  type CommandEntry,
  type CommandOutcome,
} from '../../../src/managed/control/commands.js';
import { unknownLoad } from '../../../src/managed/control/views/backend-load.js';
import type { BalancerInForce } from '../../../src/managed/control/views/in-force.js';
import type { Address } from '../../../src/shared/common/address.js';

/** How a machine responds to requests. */
export type MachineMode = 'leads' | 'loses-answers' | 'follows' | 'is-cut-off';

export interface Machine {
  readonly address: Address;
  mode: MachineMode;
  /** IDs of the commands that the machine received. */
  readonly sentIds: string[];
}

/** Operators and their tokens. */
export const TOKENS = { tarjeta: 'token-of-tarjeta', hara: 'token-of-hara' } as const;

/** Machines that share one state object, which stands for instant replication. */
export class OperatorWorld {
  readonly state = emptyClusterState();
  readonly machines: Machine[] = [];
  balancers: BalancerInForce[] = [];
  private readonly servers: HttpServer[] = [];

  constructor() {
    const operators = Object.entries(TOKENS).map(([name, token], index) => ({
      name,
      tokenHash: operatorTokenHash(token),
      addressRanges: [`127.${index + 1}.0.0/16`],
    }));
    this.apply({
      commandId: 'operators',
      operator: SYSTEM_OPERATOR,
      command: { type: 'set-operators', operators },
    });
  }

  async start(mode: MachineMode, tls?: TlsIdentity): Promise<Machine> {
    const sentIds: string[] = [];
    const api = operatorApi({
      state: this.state,
      propose: async (entry) => {
        sentIds.push(entry.commandId);
        return machine.mode === 'leads' || machine.mode === 'loses-answers'
          ? this.apply(entry)
          : { accepted: false, ...this.refusal(machine) };
      },
      confirmLeadership: async () =>
        machine.mode === 'leads' ? {} : (this.refusal(machine) satisfies LeadershipConfirmation),
      inForce: () => ({ balancers: this.balancers, isComplete: true }),
      load: () => unknownLoad,
    });
    const server = await listenHttp(
      { host: '127.0.0.1', port: 0 },
      (incoming, response) => {
        if (machine.mode === 'loses-answers') {
          response.end = () => response.destroy();
        }
        api(incoming, response);
      },
      tls,
    );
    const machine: Machine = { address: server.address, mode, sentIds };
    this.servers.push(server);
    this.machines.push(machine);
    return machine;
  }

  /** Restarts all machines from a snapshot of the state. */
  restart(): void {
    Object.assign(this.state, decodeClusterState(encodeClusterState(this.state)));
  }

  client(operator: keyof typeof TOKENS = 'tarjeta', ca?: string): OperatorClient {
    return new OperatorClient({
      controlAddresses: this.machines.map(({ address }) => address),
      bearerToken: TOKENS[operator],
      ca,
      retry: { requestTimeoutMs: 2_000, maxAttempts: 4, retryDelayMs: 1 },
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.servers.map((server) => server.close()));
  }

  private apply(entry: CommandEntry): CommandOutcome {
    const position = { term: 1, index: this.state.index + 1 };
    return applyCommand(this.state, position, { ...entry, atMs: Date.UTC(2026, 11, 2) }).outcome;
  }

  private refusal(machine: Machine) {
    const leader = this.machines.find(({ mode }) => mode === 'leads')?.address;
    return machine.mode === 'follows' && leader !== undefined
      ? {
          error: { kind: 'not-leader' as const, message: 'Another machine is the leader.' },
          leader,
        }
      : { error: { kind: 'no-quorum' as const, message: 'No quorum.' } };
  }
}
