/**
 * @file The mechanisms of a balancer by name, each of which can be switched by a setting, so that what a
 * mechanism is worth is measured by settings and not by edits.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** What each mechanism may be; the first is the default. */
export const switchValues = {
  /** Whether back ends of the own zone come first. */
  zones: ['own-first', 'any'],
  /** Whether cold back ends come later and get no more than they bear, only come later, or are as others. */
  warmUp: ['limited', 'later', 'ignored'],
  /** What the load that passes other balancers decides: which zone, also which back end, or nothing. */
  toldLoads: ['zone', 'backend', 'ignored'],
  /** Whether back ends that are silent are passed over. */
  silence: ['passed-over', 'ignored'],
  /** Which of the back ends that may take a flow does: one that is drawn by speed, or the one with least load. */
  choice: ['by-speed', 'least-load'],
  /** Whether back ends that fail while they look well are passed over. */
  failing: ['passed-over', 'ignored'],
  /** Whether back ends that carry far more than the others of their service are passed over. */
  outliers: ['passed-over', 'ignored'],
  /** Whether flows whose back end is surely dead are reset, or left to the deadlines of their clients. */
  deadFlows: ['reset', 'left'],
  /** Whether other balancers are told of opens and asked for copies. */
  opens: ['shared', 'own'],
  /** What becomes of opens of a service without back ends while not all may be known. */
  learning: ['dropped', 'reset'],
} as const;

type PolicyChoices = typeof switchValues;

/** How a balancer decides. */
export type MechanismSwitches = {
  readonly [Name in keyof PolicyChoices]: PolicyChoices[Name][number];
};

const names = Object.keys(switchValues) as (keyof PolicyChoices)[];

/** The policy without any setting. */
export const defaultSwitches = Object.fromEntries(
  names.map((name) => [name, switchValues[name][0]]),
) as unknown as MechanismSwitches;

/**
 * Reads a policy from a text such as `zones=any,warmUp=ignored`; what it does not name has its default.
 * @returns the policy, or `invalid-settings` with what is wrong
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
