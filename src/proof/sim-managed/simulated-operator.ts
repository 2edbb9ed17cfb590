/**
 * @file A simulated operator: sends commands to control machines and, like the client of the
 * operators, retries with the same command ID if no answer arrives.
 */
import type { CommandOutcome, OperatorCommand } from '../../managed/control/commands.js';
import { answerFor } from '../../shared/common/error-kinds.js';
import { formatAddress } from '../../shared/common/address.js';
import type { SimulatedControl } from './simulated-control.js';
import { SimulatedProcess } from './simulated-process.js';
import type { Simulation } from './simulation.js';

const REQUEST_TIMEOUT_MS = 3_000;
const RETRY_DELAY_MS = 250;
const ZONE = 'zone-a';

/** A command with the context that the trace records. */
export interface OperatorRequest {
  readonly command: OperatorCommand;
  /** Name of the affected back end or service. */
  readonly subject: string;
  /** Name of the changed service. */
  readonly service: string;
}

/** Called with the final outcome of a command. */
export type OperatorAnswerHandler = (outcome: CommandOutcome) => void;

interface PendingCommand extends OperatorRequest {
  readonly commandId: string;
  readonly done: OperatorAnswerHandler;
  attempt: number;
  isAnswered: boolean;
}

/** An operator of one partner in the simulated world. */
export class SimulatedOperator extends SimulatedProcess {
  /** Probability that an answer is lost, from 0 to 1. */
  answerLossRate = 0;
  /** Number of commands without a final answer. */
  pendingCount = 0;
  private nextCommand = 1;

  constructor(
    simulation: Simulation,
    name: string,
    host: string,
    private readonly controls: readonly SimulatedControl[],
  ) {
    super(simulation, 'operator', name, host, ZONE);
  }

  /** Sends a command and retries it until a final answer arrives. */
  send(request: OperatorRequest, done: OperatorAnswerHandler = () => undefined): void {
    const commandId = `${this.name}-${this.nextCommand}`;
    this.nextCommand += 1;
    this.pendingCount += 1;
    const pending = { ...request, commandId, done, attempt: 0, isAnswered: false };
    this.sendAttempt(pending, this.controls[this.random.nextInt(this.controls.length)]);
  }

  /** Queries a control machine for its applied index. */
  queryState(control: SimulatedControl): void {
    const askedAtMs = this.simulation.nowMs;
    this.exchange(control, (respond) =>
      control.queryState(({ index }) => {
        if (index !== undefined) {
          respond(() =>
            this.simulation.record({
              type: 'shown',
              operator: this.name,
              control: control.name,
              index,
              askedAtMs,
            }),
          );
        }
      }),
    );
  }

  protected onStart(): void {
    this.pendingCount = 0;
  }

  protected onDown(): void {
    this.pendingCount = 0;
  }

  private sendAttempt(pending: PendingCommand, control: SimulatedControl | undefined): void {
    if (pending.isAnswered || control === undefined) {
      return;
    }
    pending.attempt += 1;
    const { commandId, command, subject, service, attempt } = pending;
    this.simulation.record({
      type: 'command-sent',
      operator: this.name,
      commandId,
      command: command.type,
      subject,
      service,
      control: control.name,
      attempt,
    });
    this.exchange(control, (respond) =>
      control.propose({ commandId, operator: this.name, command }, (outcome) => {
        if (this.random.nextFloat() >= this.answerLossRate) {
          respond(() => this.handleAnswer(pending, attempt, outcome, control));
        }
      }),
    );
    this.schedule(REQUEST_TIMEOUT_MS, () => {
      if (pending.attempt === attempt) {
        this.sendAttempt(pending, this.nextControl(control));
      }
    });
  }

  /** Simulates an HTTP exchange; a network cut loses the request or the answer. */
  private exchange(
    control: SimulatedControl,
    request: (respond: (handler: () => void) => void) => void,
  ): void {
    const { clock, network } = this.simulation;
    const delayMs = network.delayBetween(this.host, control.host);
    clock.after(delayMs, () => {
      if (network.isCut(this.host, control.host)) {
        return;
      }
      control.perform(() =>
        request((handler) =>
          clock.after(delayMs, () => {
            if (!network.isCut(control.host, this.host)) {
              this.perform(handler);
            }
          }),
        ),
      );
    });
  }

  private handleAnswer(
    pending: PendingCommand,
    attempt: number,
    outcome: CommandOutcome,
    control: SimulatedControl,
  ): void {
    if (pending.isAnswered) {
      return;
    }
    if (!outcome.accepted && answerFor(outcome.error.kind).retryable) {
      if (pending.attempt === attempt) {
        this.retry(pending, outcome, control);
      }
      return;
    }
    pending.isAnswered = true;
    this.pendingCount -= 1;
    const { commandId, command, subject, service } = pending;
    this.simulation.record({
      type: 'command-answered',
      operator: this.name,
      commandId,
      command: command.type,
      subject,
      service,
      accepted: outcome.accepted,
      ...answerDetail(outcome),
    });
    pending.done(outcome);
  }

  private retry(
    pending: PendingCommand,
    outcome: Extract<CommandOutcome, { accepted: false }>,
    control: SimulatedControl,
  ): void {
    const { leader } = outcome;
    const leaderControl = this.controls.find(
      ({ options }) =>
        leader !== undefined && formatAddress(options.operatorAddress) === formatAddress(leader),
    );
    const { attempt } = pending;
    this.schedule(leaderControl === undefined ? RETRY_DELAY_MS : 0, () => {
      if (pending.attempt === attempt) {
        this.sendAttempt(pending, leaderControl ?? this.nextControl(control));
      }
    });
  }

  private nextControl(control: SimulatedControl): SimulatedControl | undefined {
    return this.controls[(this.controls.indexOf(control) + 1) % this.controls.length];
  }
}

function answerDetail(outcome: CommandOutcome) {
  if (!outcome.accepted) {
    return { errorKind: outcome.error.kind };
  }
  const { index, version } = outcome;
  return { index, ...(version !== undefined && { version }) };
}
