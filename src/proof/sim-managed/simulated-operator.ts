/**
 * @file A simulated operator: sends commands to control machines, the same command ID again when no
 * answer comes, as the operators' client does.
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

/** What an operator does. */
export interface OperatorRequest {
  readonly command: OperatorCommand;
  /** The back end or service that it is about, for the trace. */
  readonly subject: string;
  /** Name of the service that it changes. */
  readonly service: string;
}

/** Called with the final answer. */
export type OperatorAnswerHandler = (outcome: CommandOutcome) => void;

interface PendingCommand extends OperatorRequest {
  readonly commandId: string;
  readonly done: OperatorAnswerHandler;
  attempt: number;
  isAnswered: boolean;
}

/** An operator of one partner. */
export class SimulatedOperator extends SimulatedProcess {
  /** Share of answers that are lost on the way, from 0 to 1. */
  answerLossShare = 0;
  /** Commands without a final answer. */
  unanswered = 0;
  private nextCommand = 1;

  constructor(
    simulation: Simulation,
    name: string,
    host: string,
    private readonly controls: readonly SimulatedControl[],
  ) {
    super(simulation, 'operator', name, host, ZONE);
  }

  /** Sends a command until a final answer comes. */
  send(request: OperatorRequest, done: OperatorAnswerHandler = () => undefined): void {
    const commandId = `${this.name}-${this.nextCommand}`;
    this.nextCommand += 1;
    this.unanswered += 1;
    const pending = { ...request, commandId, done, attempt: 0, isAnswered: false };
    this.attempt(pending, this.controls[this.random.nextInt(this.controls.length)]);
  }

  /** Asks one control machine what is in force. */
  show(control: SimulatedControl): void {
    const askedAtMs = this.simulation.nowMs;
    this.exchange(control, (answer) =>
      control.show(({ index }) => {
        if (index !== undefined) {
          answer(() =>
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
    this.unanswered = 0;
  }

  protected onDown(): void {
    this.unanswered = 0;
  }

  private attempt(pending: PendingCommand, control: SimulatedControl | undefined): void {
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
    this.exchange(control, (answer) =>
      control.propose({ commandId, operator: this.name, command }, (outcome) => {
        if (this.random.nextFloat() >= this.answerLossShare) {
          answer(() => this.handleAnswer(pending, attempt, outcome, control));
        }
      }),
    );
    this.later(REQUEST_TIMEOUT_MS, () => {
      if (pending.attempt === attempt) {
        this.attempt(pending, this.controlAfter(control));
      }
    });
  }

  /** One HTTP exchange: a request, and an answer where one comes. */
  private exchange(
    control: SimulatedControl,
    request: (answer: (take: () => void) => void) => void,
  ): void {
    const { clock, network } = this.simulation;
    const delayMs = network.delayBetween(this.host, control.host);
    clock.after(delayMs, () => {
      if (network.isCut(this.host, control.host)) {
        return;
      }
      control.perform(() =>
        request((take) =>
          clock.after(delayMs, () => {
            if (!network.isCut(control.host, this.host)) {
              this.perform(take);
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
    this.unanswered -= 1;
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
    const named = this.controls.find(
      ({ options }) =>
        leader !== undefined && formatAddress(options.operatorAddress) === formatAddress(leader),
    );
    const { attempt } = pending;
    this.later(named === undefined ? RETRY_DELAY_MS : 0, () => {
      if (pending.attempt === attempt) {
        this.attempt(pending, named ?? this.controlAfter(control));
      }
    });
  }

  private controlAfter(control: SimulatedControl): SimulatedControl | undefined {
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
