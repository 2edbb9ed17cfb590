/**
 * @file Notices that this process stood still for a while: its machine was paused, or had no processor. The
 * opens that waited meanwhile may have been placed by other balancers, to which routers turned and clients
 * sent copies; placing them again would let a second back end take the flow.
 */

/** How an open that is read now is to be taken. */
export type OpenTrust =
  /** It has just come. */
  | 'fresh'
  /** It may have waited while a copy went elsewhere: ask before placing it. */
  | 'doubtful'
  /** It may have waited for longer than other balancers remember opens, and than clients wait. */
  | 'stale';

/** Watches the turns of a process. */
export interface StallGuard {
  /** Notes that the process runs; called with each packet and each tick, before anything is decided. */
  noteTurn(nowMs: number): void;
  trustAt(nowMs: number): OpenTrust;
}

/** Options of the guard; all times in milliseconds. */
export interface StallGuardOptions {
  /** Other balancers remember opens for so long at least. */
  readonly rememberedMs: number;
}

/** Turns are at most a tick of 100 ms apart; clients send a first copy after some 200 ms. */
const STALL_MS = 300;
/** What waited is read within this time after a stall; opens that come meanwhile are sent again anyway. */
const BACKLOG_MS = 300;

/** @returns a guard of a process that has just started */
export function createStallGuard({ rememberedMs }: StallGuardOptions): StallGuard {
  let lastTurnAtMs: number | undefined;
  let stalledForMs = 0;
  let trustedFromMs = Number.NEGATIVE_INFINITY;

  return { noteTurn, trustAt };

  function noteTurn(nowMs: number): void {
    const pausedForMs = nowMs - (lastTurnAtMs ?? nowMs);
    lastTurnAtMs = nowMs;
    if (pausedForMs >= STALL_MS) {
      stalledForMs = pausedForMs;
      trustedFromMs = nowMs + BACKLOG_MS;
    }
  }

  function trustAt(nowMs: number): OpenTrust {
    if (nowMs >= trustedFromMs) {
      return 'fresh';
    }
    return stalledForMs < rememberedMs ? 'doubtful' : 'stale';
  }
}
