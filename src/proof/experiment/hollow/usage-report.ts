/**
 * @file Turns the counts of a measured period into figures per node and second.
 */
import { DAEMON_TICK_INTERVAL_MS, type HollowWorld } from './hollow-world.js';
import { totalTraffic, type HollowRole, type KindTraffic, type RoleUsage } from './meter.js';

const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const MICROSECONDS_PER_MS = 1_000;
/** IPv4 and TCP headers with time stamps: what each message costs on the wire besides its content. */
const HEADER_BYTES = 52;

/** Figures of one direction, per node and second. */
export interface DirectionFigures {
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
  /** With 52 bytes of IP and TCP headers for each message. */
  readonly bytesPerSecondWithHeaders: number;
  readonly bytesPerSecondByKind: Readonly<Record<string, number>>;
}

/** Figures of the nodes of one role, per node. */
export interface RoleFigures {
  readonly nodes: number;
  /** Percent of a core, from the time inside steps, encoding and decoding. */
  readonly corePercent: number;
  /** The part of `corePercent` that ticks take at the daemon's interval. */
  readonly tickCorePercent: number;
  /** Health probes; their own processor time, see bench probe, is not in `corePercent`. */
  readonly probesPerSecond: number;
  readonly sent: DirectionFigures;
  readonly received: DirectionFigures;
}

/** Figures of one measured period. */
export interface PeriodFigures {
  readonly virtualSeconds: number;
  /** Processor time of the whole process, in seconds. */
  readonly processorSeconds: number;
  readonly roles: Readonly<Record<HollowRole, RoleFigures>>;
}

/**
 * Runs the world for a while and measures it.
 */
export function measurePeriod(world: HollowWorld, durationMs: number): PeriodFigures {
  world.meter.reset();
  const startCpu = process.cpuUsage();
  const startMs = performance.now();
  world.queue.runUntil(world.queue.nowMs + durationMs);
  const wallMs = performance.now() - startMs;
  const { user, system } = process.cpuUsage(startCpu);
  const cpuMs = (user + system) / MICROSECONDS_PER_MS;
  // Time inside steps is wall time; on a busy machine a part of it was not ours.
  const processorShare = Math.min(1, cpuMs / wallMs);
  const relays = world.balancers.filter(({ role }) => role === 'relay').length;
  const figures = (role: HollowRole, nodes: number) =>
    roleFigures(world, role, nodes, durationMs, processorShare);
  return {
    virtualSeconds: durationMs / MS_PER_SECOND,
    processorSeconds: cpuMs / MS_PER_SECOND,
    roles: {
      leader: figures('leader', 1),
      follower: figures('follower', world.controls.length - 1),
      relay: figures('relay', relays),
      balancer: figures('balancer', world.balancers.length - relays),
    },
  };
}

function roleFigures(
  world: HollowWorld,
  role: HollowRole,
  nodes: number,
  durationMs: number,
  processorShare: number,
): RoleFigures {
  const usage = world.meter.of(role);
  const share = Math.max(1, nodes) * durationMs;
  const stepPercent = (PERCENT * usage.stepMs * processorShare) / share;
  const tickPercent = tickCorePercent(usage, processorShare);
  return {
    nodes,
    corePercent: stepPercent + tickPercent,
    tickCorePercent: tickPercent,
    probesPerSecond: (usage.probes * MS_PER_SECOND) / share,
    sent: directionFigures(usage.sent, share),
    received: directionFigures(usage.received, share),
  };
}

/** A hollow balancer may tick more seldom than the daemon; each tick's cost counts as often as there. */
function tickCorePercent(usage: RoleUsage, processorShare: number): number {
  const perTickMs = usage.ticks === 0 ? 0 : usage.tickMs / usage.ticks;
  return (PERCENT * perTickMs * processorShare) / DAEMON_TICK_INTERVAL_MS;
}

function directionFigures(
  kinds: ReadonlyMap<string, KindTraffic>,
  nodeMs: number,
): DirectionFigures {
  const perSecond = (amount: number) => (amount * MS_PER_SECOND) / nodeMs;
  const { messages, bytes } = totalTraffic(kinds);
  const byKind = [...kinds]
    .sort(([one], [other]) => one.localeCompare(other))
    .map(([kind, traffic]) => [kind, perSecond(traffic.bytes)] as const);
  return {
    bytesPerSecond: perSecond(bytes),
    messagesPerSecond: perSecond(messages),
    bytesPerSecondWithHeaders: perSecond(bytes + messages * HEADER_BYTES),
    bytesPerSecondByKind: Object.fromEntries(byKind),
  };
}
