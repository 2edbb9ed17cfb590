/**
 * @file The load of a fleet: callers that come in steps, and notices for their feeds.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { formatAddress } from '../../shared/common/address.js';
import { runToEnd } from './child-process.js';
import type { Cluster } from './cluster.js';
import type { DeployedService } from './deployment.js';
import { NoticePublisher } from './notice-publisher.js';
import type { RunRecorder } from './run-recorder.js';
import type { LoadStep, Scenario } from './scenario.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** The last notice is published this long before the end of the load, in seconds. */
const LAST_NOTICE_BEFORE_END_SECONDS = 2;
/** A feed that has not had every notice this long after the end counts the others as lost. */
const FEED_GRACE_SECONDS = 20;
/** Back ends that did not take a notice are asked again this often after the last one. */
const REPEAT_INTERVAL_MS = 500;
const REPEATS_AT_END = 10;
const MAX_SESSIONS_PER_PROCESS = 4_000;
/** Request numbers that are set apart for each session and each process. */
const REQUESTS_PER_SESSION = 10_000;
const REQUESTS_PER_PROCESS = MAX_SESSIONS_PER_PROCESS * REQUESTS_PER_SESSION;
/** Time for one request, its open included: longer than the platform's list lags. */
const REQUEST_DEADLINE_MS = 10_000;
/** As TCP does first; later copies go to other balancers, so the time needs not grow. */
const RETRANSMIT_MS = 1_000;

/** Runs the load of a scenario. */
export class FleetLoad {
  private processCount = 0;
  private readonly notices: number;

  constructor(
    private readonly cluster: Cluster,
    private readonly scenario: Scenario,
    private readonly recorder: RunRecorder,
  ) {
    const publishingSeconds = scenario.seconds - LAST_NOTICE_BEFORE_END_SECONDS;
    this.notices = Math.max(1, Math.floor(publishingSeconds / scenario.noticeIntervalSeconds));
  }

  /** Resolves once all callers have finished. */
  async run(): Promise<void> {
    const { services } = this.cluster.options.deployment;
    const steps = this.scenario.load.map((step) => this.runStep(step));
    const feeds = this.scenario.load.some(({ feedShare }) => feedShare > 0);
    const publishing = feeds ? services.map((service) => this.publishNotices(service)) : [];
    await Promise.all([...steps, ...publishing]);
  }

  private async runStep(step: LoadStep): Promise<void> {
    await sleep(step.atSeconds * MILLISECONDS_PER_SECOND);
    const { services } = this.cluster.options.deployment;
    const chosen = services.filter(({ name }) => step.services?.includes(name) ?? true);
    await Promise.all(chosen.map((service) => this.addSessions(service, step)));
  }

  private async addSessions(service: DeployedService, step: LoadStep): Promise<void> {
    const sessions = Math.round(service.backends * service.connections * step.connectionShare);
    this.recorder.note(`${sessions} more sessions of ${service.name}`);
    const processes: Promise<unknown>[] = [];
    for (let left = sessions; left > 0; left -= MAX_SESSIONS_PER_PROCESS) {
      const args = this.callerArgs(service, step, Math.min(left, MAX_SESSIONS_PER_PROCESS));
      processes.push(this.runCallers(service, args));
    }
    await Promise.all(processes);
  }

  private async runCallers(service: DeployedService, args: readonly string[]): Promise<void> {
    const code = await runToEnd(args, (line) => this.recorder.takeCallerLine(line));
    if (code !== 0) {
      throw new Error(`Callers of ${service.name} ended with exit code ${code ?? 'none'}.`);
    }
  }

  private callerArgs(service: DeployedService, step: LoadStep, sessions: number): string[] {
    const firstNumber = this.processCount * REQUESTS_PER_PROCESS;
    this.processCount += 1;
    const { pauseSeconds } = step;
    const leftMs = (this.scenario.seconds - this.recorder.elapsedSeconds) * MILLISECONDS_PER_SECOND;
    return [
      'callers',
      ...['--service', service.name],
      ...['--service-address', formatAddress(this.cluster.addressOf(service))],
      ...['--sessions', String(sessions)],
      ...['--requests', String(pauseSeconds === undefined ? 0 : REQUESTS_PER_SESSION)],
      ...['--pause', String((pauseSeconds ?? 0) * MILLISECONDS_PER_SECOND)],
      ...['--first-number', String(firstNumber)],
      ...['--spread', String(step.spreadSeconds * MILLISECONDS_PER_SECOND)],
      ...['--stop-after', String(Math.max(1, Math.round(leftMs)))],
      ...['--feeds', String(Math.round(sessions * step.feedShare))],
      ...['--notices', String(this.notices)],
      ...['--feed-time', String(Math.round(leftMs + FEED_GRACE_SECONDS * MILLISECONDS_PER_SECOND))],
      ...['--answer-bytes', String(service.answerBytes)],
      ...['--request-deadline', String(REQUEST_DEADLINE_MS)],
      ...['--retransmit', String(RETRANSMIT_MS), '--retransmit-max', String(RETRANSMIT_MS)],
    ];
  }

  private async publishNotices(service: DeployedService): Promise<void> {
    const publisher = new NoticePublisher(() => this.cluster.healthAddressesOf(service));
    for (let number = 1; number <= this.notices; number += 1) {
      await sleep(this.scenario.noticeIntervalSeconds * MILLISECONDS_PER_SECOND);
      await publisher.publish(`Notice ${number} of ${service.name}`);
    }
    for (let repeat = 0; repeat < REPEATS_AT_END; repeat += 1) {
      await sleep(REPEAT_INTERVAL_MS);
      await publisher.repeat();
    }
  }
}
