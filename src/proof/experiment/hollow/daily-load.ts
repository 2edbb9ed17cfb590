/**
 * @file The changes and restarts of a day, compressed into a shorter time.
 */
import type { CommandOutcome } from '../../../managed/control/commands.js';
import type { HollowWorld } from './hollow-world.js';

const MS_PER_DAY = 86_400_000;

/** Changes of configuration a day, from the letter. */
export const CHANGES_PER_DAY = 2_300;
/** Restarts and failures of machines a day at 1,500 nodes: 1,300 and 34. */
export const RESTARTS_PER_DAY = 1_334;
const LETTER_NODES = 1_500;
/** How long a restarted process is down. */
const DOWN_MS = 500;

/** A day's load in a shorter time. */
export interface DailyLoadOptions {
  readonly durationMs: number;
  /** How many times faster than on a day all comes. */
  readonly compression: number;
}

/** How often things come, per simulated second. */
export interface LoadRates {
  readonly changesPerSecond: number;
  readonly restartsPerSecond: number;
}

/**
 * @returns the rates at this number of nodes: changes are the letter's at any size, so that sizes can be
 *   compared; restarts grow with the nodes
 */
export function loadRates(nodes: number, compression: number): LoadRates {
  const perSecond = (perDay: number) => (perDay * compression * 1_000) / MS_PER_DAY;
  return {
    changesPerSecond: perSecond(CHANGES_PER_DAY),
    restartsPerSecond: perSecond((RESTARTS_PER_DAY * nodes) / LETTER_NODES),
  };
}

/** Schedules changes and restarts over the coming time. */
export class DailyLoad {
  private readonly backendIds: number[] = [];

  constructor(private readonly world: HollowWorld) {}

  schedule(options: DailyLoadOptions): void {
    const { balancers, random } = this.world;
    const rates = loadRates(balancers.length, options.compression);
    this.atRate(rates.changesPerSecond, options.durationMs, () => this.change());
    this.atRate(rates.restartsPerSecond, options.durationMs, () =>
      this.world.restartBalancer(random.nextInt(balancers.length), DOWN_MS),
    );
  }

  /** Adds, drains and retires back ends in turn, so that their number stays about the same. */
  private change(): void {
    const drained = this.backendIds.shift();
    if (drained !== undefined && this.world.random.nextInt(2) === 0) {
      this.world.send({ type: 'drain-backend', backendId: drained }, () =>
        this.world.send({ type: 'retire-backend', backendId: drained }),
      );
      return;
    }
    this.world.sendNewBackend((outcome) => this.noteAdded(outcome));
  }

  private noteAdded(outcome: CommandOutcome): void {
    if (outcome.accepted && outcome.backendId !== undefined) {
      this.backendIds.push(outcome.backendId);
    }
  }

  private atRate(perSecond: number, durationMs: number, run: () => void): void {
    const times = Math.round((perSecond * durationMs) / 1_000);
    for (let number = 0; number < times; number += 1) {
      this.world.queue.after(this.world.random.nextFloat() * durationMs, run);
    }
  }
}
