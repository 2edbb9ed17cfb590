/**
 * @file Stand-in callers in one process: many sessions that share a few UDP sockets. A packet belongs
 * to the session that opened its flow.
 */
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import { systemContextSource } from '../../shared/daemon/system-context.js';
import { bindUdp, type UdpSocket } from '../../shared/daemon/udp-socket.js';
import {
  FLOW_ID_LENGTH_BYTES,
  hasLongHeader,
  parseLongHeader,
  parseShortHeader,
} from '../../managed/flow/header.js';
import {
  createCallerState,
  type CallerOptions,
  type CallerState,
  type RequestOutcome,
} from './caller-state.js';
import { callerStep, type CallerEvent } from './caller-step.js';
import { summarizeNotices, type NoticeSummary } from './notice-summary.js';

const TICK_INTERVAL_MS = 10;
/** Sessions are ticked in every so many intervals: those that wait, and those that don't. */
const WAITING_TICK_PERIOD = 4;
const IDLE_TICK_PERIOD = 10;
const MAX_SOCKETS = 32;

/** What came of several sessions. */
export interface SessionsReport extends NoticeSummary {
  readonly brokenFlows: number;
  readonly wrongAnswers: number;
}

/** Where and when sessions run. */
export interface SessionPoolOptions {
  /** Address of the service. */
  readonly service: Address;
  /** IP number to bind. */
  readonly host: string;
  /** Time over which the sessions start, in milliseconds. */
  readonly spreadMs: number;
  /** Called with each request's outcome. */
  onOutcome(outcome: RequestOutcome): void;
}

interface Session {
  readonly options: CallerOptions;
  readonly state: CallerState;
  readonly socket: UdpSocket;
  readonly notices: number[];
}

/**
 * Runs sessions to their end; bounded by their options' deadlines.
 */
export async function runSessions(
  sessions: readonly CallerOptions[],
  options: SessionPoolOptions,
): Promise<SessionsReport> {
  const pool = new SessionPool(options);
  await pool.bind(Math.min(sessions.length, MAX_SOCKETS));
  await pool.run(sessions);
  return pool.report();
}

/** The sessions of one process. */
class SessionPool {
  private readonly contexts = systemContextSource();
  private readonly sockets: UdpSocket[] = [];
  private readonly sessions: Session[] = [];
  /** By the flow ID in hex. */
  private readonly sessionsByFlow = new Map<string, Session>();
  private tickNumber = 0;

  constructor(private readonly options: SessionPoolOptions) {}

  async bind(socketCount: number): Promise<void> {
    const { host } = this.options;
    for (let number = 0; number < socketCount; number += 1) {
      this.sockets.push(await bindUdp({ host, port: 0 }, (packet) => this.receive(packet)));
    }
  }

  async run(planned: readonly CallerOptions[]): Promise<void> {
    const startedAtMs = performance.now();
    const intervalMs = this.options.spreadMs / planned.length;
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => {
        const elapsedMs = performance.now() - startedAtMs;
        for (const session of planned.slice(this.sessions.length)) {
          if (this.sessions.length * intervalMs > elapsedMs) {
            break;
          }
          this.start(session);
        }
        this.tick();
        const allStarted = this.sessions.length === planned.length;
        if (allStarted && this.sessions.every(({ state }) => state.finished)) {
          clearInterval(timer);
          resolve();
        }
      }, TICK_INTERVAL_MS);
    });
    await Promise.all(this.sockets.map((socket) => socket.close()));
  }

  report(): SessionsReport {
    const notices = this.sessions.map((session) => {
      const { feed } = session.options;
      return summarizeNotices(session.notices, feed?.afterNotice ?? 0, feed?.lastNotice ?? 0);
    });
    return {
      brokenFlows: sumOf(this.sessions, ({ state }) => state.brokenFlows),
      wrongAnswers: sumOf(this.sessions, ({ state }) => state.wrongAnswers),
      noticesDelivered: sumOf(notices, (summary) => summary.noticesDelivered),
      noticesLost: sumOf(notices, (summary) => summary.noticesLost),
      noticesDoubled: sumOf(notices, (summary) => summary.noticesDoubled),
    };
  }

  private start(options: CallerOptions): void {
    const socket = this.sockets[this.sessions.length % this.sockets.length];
    if (socket !== undefined) {
      const state = createCallerState(options, this.contexts.now().nowMs);
      this.sessions.push({ options, state, socket, notices: [] });
    }
  }

  private tick(): void {
    this.tickNumber += 1;
    this.sessions.forEach((session, position) => {
      const { request, flow, finished } = session.state;
      const isWaiting = request !== undefined || flow.phase === 'opening';
      const period = isWaiting ? WAITING_TICK_PERIOD : IDLE_TICK_PERIOD;
      if (!finished && (position + this.tickNumber) % period === 0) {
        this.step(session, { type: 'tick' });
      }
    });
  }

  private receive(packet: Uint8Array): void {
    const header = hasLongHeader(packet)
      ? parseLongHeader(packet)
      : parseShortHeader(packet, FLOW_ID_LENGTH_BYTES);
    if (header.isOk()) {
      const session = this.sessionsByFlow.get(hexOf(header.value.destinationId));
      if (session !== undefined) {
        this.step(session, { type: 'packet', packet });
      }
    }
  }

  private step(session: Session, event: CallerEvent): void {
    for (const effect of callerStep(session.state, event, this.contexts.now())) {
      match(effect)
        .with({ type: 'send' }, ({ packet }) => this.send(session, packet))
        .with({ type: 'outcome' }, ({ outcome }) => this.options.onOutcome(outcome))
        .with({ type: 'notice' }, ({ number }) => session.notices.push(number))
        .with({ type: 'notices-missed' }, () => undefined)
        .exhaustive();
    }
  }

  private send(session: Session, packet: Uint8Array): void {
    if (hasLongHeader(packet)) {
      parseLongHeader(packet).map(({ sourceId }) =>
        this.sessionsByFlow.set(hexOf(sourceId), session),
      );
    }
    session.socket.send(packet, this.options.service);
  }
}

function hexOf(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

function sumOf<Item>(items: readonly Item[], pick: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + pick(item), 0);
}
