/**
 * @file May what this process reads now be out of date?
 *
 * Inputs: the times of the process's turns (inputs and ticks), in milliseconds. A pause between two turns means that the
 * process stood still: its machine was paused, or had no processor. What waited meanwhile may be old without showing it:
 * opens that other balancers have placed since, orders that their sender has cancelled at another machine.
 */

/** How far what is read now can be trusted. */
export type InputTrust =
  /** It has just come. */
  | 'fresh'
  /** It may have waited, but not for longer than others remember what happened meanwhile. */
  | 'doubtful'
  /** It may have waited for longer than others remember, and than its sender waits. */
  | 'stale';

/** Watches the turns of a process. */
export interface StallGuard {
  /** Records that the process runs; called with each input and each tick, before anything is decided. */
  recordTurn(nowMs: number): void;
  trustAt(nowMs: number): InputTrust;
}

/** Options of the guard; all times in milliseconds. */
export interface StallGuardOptions {
  /** A pause between two turns that is shorter is none; longer than a tick. */
  readonly stallMs: number;
  /** Others remember for so long at least what happened meanwhile. */
  readonly rememberedMs: number;
}

/**
 * What waited is read within this time after a stall, in milliseconds; what comes anew meanwhile is sent again anyway.
 * Not measured; old copies of opens that are placed right after a stall would show it too short.
 */
const BACKLOG_MS = 300;

/** @returns a guard of a process that has just started */
export function createStallGuard({ stallMs, rememberedMs }: StallGuardOptions): StallGuard {
  let lastTurnAtMs: number | undefined;
  let stalledForMs = 0;
  let trustedFromMs = Number.NEGATIVE_INFINITY;

  return { recordTurn, trustAt };

  function recordTurn(nowMs: number): void {
    const pausedForMs = nowMs - (lastTurnAtMs ?? nowMs);
    lastTurnAtMs = nowMs;
    if (pausedForMs >= stallMs) {
      stalledForMs = pausedForMs;
      trustedFromMs = nowMs + BACKLOG_MS;
    }
  }

  function trustAt(nowMs: number): InputTrust {
    if (nowMs >= trustedFromMs) {
      return 'fresh';
    }
    return stalledForMs < rememberedMs ? 'doubtful' : 'stale';
  }
}
