/**
 * @file Checks that the configuration of each balancer at the end of a run matches the last accepted commands
 * on each service and back end.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { ImpairmentTracker } from './impairment-tracker.js';

/** Limit after the last acceptance, or after the end of the balancer's last impairment if that is later. */
const IN_FORCE_LIMIT_MS = 5_000;

type Answer = Extract<TraceEvent, { type: 'command-answered' }>;

/** Admin state of a back end after an accepted command; undefined if it is removed. */
const STATE_AFTER_COMMAND: Readonly<Record<string, string | undefined>> = {
  'add-backend': 'active',
  'cancel-drain': 'active',
  'drain-backend': 'draining',
  'retire-backend': undefined,
};

/** Compares final configurations with accepted commands; skips balancers that had too little time. */
export class FinalConfigMatchesAccepted implements Check {
  /** Answer to the accepted command with the highest index. */
  private readonly lastAnswerByBackend = new Map<string, Answer>();
  /** Highest version in the answers to operators. */
  private readonly versionByService = new Map<string, number>();
  private readonly unanswered = new Set<string>();
  private lastAcceptedAtMs = 0;

  constructor(
    private readonly report: ReportViolation,
    private readonly impairments: ImpairmentTracker,
  ) {}

  handle(event: TraceEvent): void {
    if (event.type === 'command-sent') {
      this.unanswered.add(event.commandId);
    } else if (event.type === 'command-answered') {
      this.recordAnswer(event);
    } else if (event.type === 'final-config') {
      this.checkBalancer(event);
    }
  }

  finish(): void {
    // The `final-config` events at the end of the run trigger the check.
  }

  private recordAnswer(event: Answer): void {
    this.unanswered.delete(event.commandId);
    if (!event.accepted) {
      return;
    }
    const { atMs, service, subject, version = 0, index = 0, command } = event;
    this.lastAcceptedAtMs = atMs;
    this.versionByService.set(service, Math.max(version, this.versionByService.get(service) ?? 0));
    const previous = this.lastAnswerByBackend.get(subject);
    if (command in STATE_AFTER_COMMAND && index > (previous?.index ?? 0)) {
      this.lastAnswerByBackend.set(subject, event);
    }
  }

  private checkBalancer(event: Extract<TraceEvent, { type: 'final-config' }>): void {
    const { atMs, balancer, services, backends } = event;
    const unimpairedSinceMs = this.impairments.unimpairedSince(balancer);
    const settledSinceMs = Math.max(unimpairedSinceMs ?? Infinity, this.lastAcceptedAtMs);
    if (atMs < settledSinceMs + IN_FORCE_LIMIT_MS || this.unanswered.size > 0) {
      return;
    }
    for (const [service, version] of this.versionByService) {
      if ((services[service] ?? 0) < version) {
        const actual = services[service] ?? 0;
        this.report(atMs, `${balancer} has version ${actual} of ${service}, not ${version}.`);
      }
    }
    for (const [backend, { command, commandId }] of this.lastAnswerByBackend) {
      const expected = STATE_AFTER_COMMAND[command];
      if (backends[backend] !== expected) {
        const actual = backends[backend] ?? 'removed';
        const text = `${balancer} has ${backend} in state ${actual}`;
        this.report(atMs, `${text}, although ${commandId} (${command}) was accepted.`);
      }
    }
  }
}
