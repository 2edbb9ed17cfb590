/**
 * @file The mechanisms of an ingress that settings can switch off (`policy.*` in docs/SETTINGS.md), so that what each
 * is worth can be measured. The default of each is the product; `opens=own` breaks flows.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** The values of each switch as settings write them; the first is the default. */
export const switchValues = {
  /** Whether back ends of the own zone come first. */
  zones: ['own-first', 'any'],
  /** Whether cold back ends get fewer flows and no more than slow start admits, only fewer, or as many as others. */
  warmUp: ['limited', 'later', 'ignored'],
  /** What the fleet's load decides: which zone, also which back end, or nothing. */
  toldLoads: ['zone', 'backend', 'ignored'],
  /** Whether suspect and dead back ends are left out. */
  silence: ['passed-over', 'ignored'],
  /** Whether the back end is drawn by speed, or is the one with least load. */
  choice: ['by-speed', 'least-load'],
  /** Whether back ends are ejected by answers. */
  failing: ['passed-over', 'ignored'],
  /** Whether back ends are ejected by load. */
  outliers: ['passed-over', 'ignored'],
  /** Whether flows whose back end is proven dead are reset, or left to the deadlines of their clients. */
  deadFlows: ['reset', 'left'],
  /**
   * Whether the token of a flow names the start of its back end, or the back end alone, as balancers of a version that
   * knows of no starts read it; `plain` until all balancers know of starts.
   */
  starts: ['named', 'plain'],
  /** Whether balancers share the memory of opens. */
  opens: ['shared', 'own'],
  /** Whether an open of a service without back ends is dropped, so that its client repeats it, while some may be unknown. */
  learning: ['dropped', 'reset'],
} as const;

type SwitchValues = typeof switchValues;

/** The value of each switch. */
export type MechanismSwitches = {
  readonly [Name in keyof SwitchValues]: SwitchValues[Name][number];
};

const names = Object.keys(switchValues) as (keyof SwitchValues)[];

/** All switches without any setting. */
export const defaultSwitches = Object.fromEntries(
  names.map((name) => [name, switchValues[name][0]]),
) as unknown as MechanismSwitches;

/**
 * Reads switches from a text such as `zones=any,warmUp=ignored`; those that it does not name have their defaults.
 * @returns the switches, or `invalid-settings` with what is wrong
 */
export function parseSwitches(text: string): Result<MechanismSwitches, AmberliftError> {
  const changes: Record<string, string> = {};
  for (const part of text.split(',').filter((part) => part !== '')) {
    const [name = '', value = ''] = part.split('=', 2);
    if (!isChoice(name, value)) {
      return err(amberliftError('invalid-settings', `The policy has no ${part}.`));
    }
    changes[name] = value;
  }
  return ok({ ...defaultSwitches, ...changes });
}

function isChoice(name: string, value: string): boolean {
  const known = names.find((candidate) => candidate === name);
  return known !== undefined && switchValues[known].some((choice) => choice === value);
}
