/**
 * @file Runs many stand-in callers in one process on a few shared UDP sockets. Packets are assigned to
 * sessions by flow ID.
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
/** Tick intervals between two ticks of a session, to limit CPU use. */
const ACTIVE_SESSION_TICK_INTERVALS = 4;
const IDLE_SESSION_TICK_INTERVALS = 10;
const MAX_SOCKETS = 32;

/** Totals over all sessions. */
export interface SessionsReport extends NoticeSummary {
  readonly brokenFlows: number;
  readonly wrongAnswers: number;
}

/** Options of a group of sessions. */
export interface SessionPoolOptions {
  /** Address of the service. */
  readonly service: Address;
  /** IP address to bind. */
  readonly host: string;
  /** Time over which the sessions start, in milliseconds. */
  readonly spreadMs: number;
  /** Called once for each request. */
  onOutcome(outcome: RequestOutcome): void;
}

interface Session {
  readonly options: CallerOptions;
  readonly state: CallerState;
  readonly socket: UdpSocket;
  readonly notices: number[];
}

/**
 * Runs sessions until all have finished; the deadlines in their options bound the time.
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

/** Sessions that share sockets and a timer. */
class SessionPool {
  private readonly contexts = systemContextSource();
  private readonly sockets: UdpSocket[] = [];
  private readonly sessions: Session[] = [];
  /** By flow ID in hex. */
  private readonly sessionsByFlow = new Map<string, Session>();
  private tickNumber = 0;

  constructor(private readonly options: SessionPoolOptions) {}

  async bind(socketCount: number): Promise<void> {
    const { host } = this.options;
    for (let number = 0; number < socketCount; number += 1) {
      this.sockets.push(await bindUdp({ host, port: 0 }, (packet) => this.receive(packet)));
    }
  }

  async run(sessionOptions: readonly CallerOptions[]): Promise<void> {
    const startedAtMs = performance.now();
    const intervalMs = this.options.spreadMs / sessionOptions.length;
    await new Promise<void>((resolve) => {
      const timer = setInterval(() => {
        const elapsedMs = performance.now() - startedAtMs;
        for (const session of sessionOptions.slice(this.sessions.length)) {
          if (this.sessions.length * intervalMs > elapsedMs) {
            break;
          }
          this.start(session);
        }
        this.tick();
        const allStarted = this.sessions.length === sessionOptions.length;
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
      const isActive = request !== undefined || flow.phase === 'opening';
      const period = isActive ? ACTIVE_SESSION_TICK_INTERVALS : IDLE_SESSION_TICK_INTERVALS;
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
      const session = this.sessionsByFlow.get(toHex(header.value.destinationId));
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
        this.sessionsByFlow.set(toHex(sourceId), session),
      );
    }
    session.socket.send(packet, this.options.service);
  }
}

function toHex(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

function sumOf<Item>(items: readonly Item[], pick: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + pick(item), 0);
}
