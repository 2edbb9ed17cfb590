/**
 * @file The second half of the check on configurations: at the end of a run each balancer that had time
 * enough has what the last accepted commands say of each service and back end.
 */
import type { TraceEvent } from '../trace.js';
import type { Check, ReportViolation } from './check.js';
import type { Troubles } from './troubles.js';

/** How long a balancer may take, counted from the last trouble that touched it. */
const IN_FORCE_LIMIT_MS = 5_000;

type Answer = Extract<TraceEvent, { type: 'command-answered' }>;

/** What a back end is after a command that was accepted. */
const STATE_AFTER: Readonly<Record<string, string | undefined>> = {
  'add-backend': 'active',
  'cancel-drain': 'active',
  'drain-backend': 'draining',
  'retire-backend': undefined,
};

/** See the file's description. */
export class FinalConfigIsAsAccepted implements Check {
  /** The accepted command with the highest index, by back end. */
  private readonly lastOfBackend = new Map<string, Answer>();
  /** The highest version in an operator's answers, by service. */
  private readonly versions = new Map<string, number>();
  private readonly unanswered = new Set<string>();
  private lastAcceptedAtMs = 0;

  constructor(
    private readonly report: ReportViolation,
    private readonly troubles: Troubles,
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
    // The events at the end of the run bring what is checked.
  }

  private recordAnswer(event: Answer): void {
    this.unanswered.delete(event.commandId);
    if (!event.accepted) {
      return;
    }
    const { atMs, service, subject, version = 0, index = 0, command } = event;
    this.lastAcceptedAtMs = atMs;
    this.versions.set(service, Math.max(version, this.versions.get(service) ?? 0));
    const earlier = this.lastOfBackend.get(subject);
    if (command in STATE_AFTER && index > (earlier?.index ?? 0)) {
      this.lastOfBackend.set(subject, event);
    }
  }

  private checkBalancer(event: Extract<TraceEvent, { type: 'final-config' }>): void {
    const { atMs, balancer, services, backends } = event;
    const quietSinceMs = this.troubles.quietSince(balancer);
    const sinceMs = Math.max(quietSinceMs ?? Infinity, this.lastAcceptedAtMs);
    if (atMs < sinceMs + IN_FORCE_LIMIT_MS || this.unanswered.size > 0) {
      return;
    }
    for (const [service, version] of this.versions) {
      if ((services[service] ?? 0) < version) {
        const present = services[service] ?? 0;
        this.report(atMs, `${balancer} has version ${present} of ${service}, not ${version}.`);
      }
    }
    for (const [backend, { command, commandId }] of this.lastOfBackend) {
      const wanted = STATE_AFTER[command];
      if (backends[backend] !== wanted) {
        const present = backends[backend] ?? 'gone';
        const text = `${balancer} has ${backend} as ${present}`;
        this.report(atMs, `${text}, though ${commandId} (${command}) was accepted.`);
      }
    }
  }
}
