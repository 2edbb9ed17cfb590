/** @file Applies commands directly to a cluster state with two operators, without a consensus log. */
import { applyCommand, type AppliedEntry } from '../../../src/managed/control/apply-command.js';
import {
  emptyClusterState,
  type ClusterState,
} from '../../../src/managed/control/cluster-state.js';
import {
  defaultRecordBounds,
  type RecordBounds,
} from '../../../src/managed/control/command-records.js';
import {
  SYSTEM_OPERATOR,
  type AcceptedOutcome,
  type Command,
  type SystemCommand,
} from '../../../src/managed/control/commands.js';

export class ControlWorld {
  readonly state: ClusterState = emptyClusterState();
  nowMs = Date.UTC(2026, 11, 2);
  private nextId = 1;

  constructor(private readonly bounds: RecordBounds = defaultRecordBounds) {
    this.system({
      type: 'set-operators',
      operators: [
        { name: 'tarjeta', tokenHash: 'a', addressRanges: ['127.1.0.0/16'] },
        { name: 'hara', tokenHash: 'b', addressRanges: ['127.2.0.0/16'] },
      ],
    });
  }

  send(operator: string, commandId: string, command: Command): AppliedEntry {
    const position = { term: 1, index: this.state.index + 1 };
    const entry = { operator, commandId, command, atMs: this.nowMs };
    return applyCommand(this.state, position, entry, this.bounds);
  }

  system(command: SystemCommand): AppliedEntry {
    return this.send(SYSTEM_OPERATOR, `system-${this.state.index}`, command);
  }

  /** Sends a command with a new ID; throws if it is refused. */
  accepted(operator: string, command: Command): AcceptedOutcome {
    this.nextId += 1;
    const { outcome } = this.send(operator, `id-${this.nextId}`, command);
    if (!outcome.accepted) {
      throw new Error(`${command.type} was refused: ${outcome.error.message}`);
    }
    return outcome;
  }

  define(operator: string, service: string, host: string, port = 7000): AcceptedOutcome {
    const address = { host, port };
    const policy = 'adaptive';
    return this.accepted(operator, {
      type: 'define-service',
      service,
      address,
      policy,
      limits: {},
    });
  }

  add(operator: string, service: string, host: string, port = 9000): number {
    const address = { host, port };
    const { backendId = 0 } = this.accepted(operator, addCommand(service, address));
    return backendId;
  }

  retire(operator: string, backendId: number): void {
    this.accepted(operator, { type: 'drain-backend', backendId });
    this.accepted(operator, { type: 'retire-backend', backendId });
  }
}

export function addCommand(service: string, address: { host: string; port: number }): Command {
  return { type: 'add-backend', service, address, healthAddress: address, zone: 'zone-a' };
}
