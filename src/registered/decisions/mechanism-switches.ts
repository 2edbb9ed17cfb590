/**
 * @file Switches that turn off mechanisms of the ingress (settings `policy.*`), for comparing runs with and
 * without them. Production uses the defaults; `opens=own` breaks flows.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';

/** The values of each switch as written in settings; the first one is the default. */
export const switchValues = {
  /** Whether back ends of the own zone are preferred. */
  zones: ['own-first', 'any'],
  /** Cold back ends: limited by slow start and given lower priority, only lower priority, or treated as warm. */
  warmUp: ['limited', 'later', 'ignored'],
  /** Use of the loads that other balancers report: for the zone choice, also for the back end, or not at all. */
  toldLoads: ['zone', 'backend', 'ignored'],
  /** Whether suspect and dead back ends are excluded by their missing heartbeats. */
  silence: ['passed-over', 'ignored'],
  /** Random choice weighted by speed, or the back end with the least load. */
  choice: ['by-speed', 'least-load'],
  /** Whether back ends are ejected by answers. */
  failing: ['passed-over', 'ignored'],
  /** Whether back ends are ejected by load. */
  outliers: ['passed-over', 'ignored'],
  /** Whether flows of dead back ends are reset, or left until their clients time out. */
  deadFlows: ['reset', 'left'],
  /**
   * Whether the token of a flow identifies the start of its back end, or the back end alone; `plain` until
   * all balancers run a version that supports starts.
   */
  starts: ['named', 'plain'],
  /** Whether balancers share which opens they have placed. */
  opens: ['shared', 'own'],
  /** Opens without a back end while some may still be unknown: dropped, so that the client retries, or reset. */
  learning: ['dropped', 'reset'],
  /** Whether a balancer without a current control machine follows the feed of another balancer. */
  peerFeed: ['off', 'on'],
  /** Whether balancers share evidence of back ends that fail, so that several of them prove a failure. */
  sharedEvidence: ['off', 'on'],
  /** Whether the priority and latency objective of routes order packets. */
  urgency: ['off', 'on'],
  /** Whether a restarted balancer keeps early packets and connects to several control machines at once. */
  recovery: ['plain', 'fast'],
} as const;

type SwitchValues = typeof switchValues;

/** The value of each switch. */
export type MechanismSwitches = {
  readonly [Name in keyof SwitchValues]: SwitchValues[Name][number];
};

const switchNames = Object.keys(switchValues) as (keyof SwitchValues)[];

/** The default of each switch. */
export const defaultSwitches = Object.fromEntries(
  switchNames.map((name) => [name, switchValues[name][0]]),
) as unknown as MechanismSwitches;

/**
 * Parses a text such as `zones=any,warmUp=ignored`.
 * @param base values of the switches that are not given
 * @returns the switches, or an `invalid-settings` error that names the invalid part
 */
export function parseSwitches(
  text: string,
  base: MechanismSwitches = defaultSwitches,
): Result<MechanismSwitches, AmberliftError> {
  const changes: Record<string, string> = {};
  for (const part of text.split(',').filter((part) => part !== '')) {
    const [name = '', value = ''] = part.split('=', 2);
    if (!isSwitchValue(name, value)) {
      return err(amberliftError('invalid-settings', `Unknown policy switch or value: ${part}.`));
    }
    changes[name] = value;
  }
  return ok({ ...base, ...changes });
}

function isSwitchValue(name: string, value: string): boolean {
  const known = switchNames.find((candidate) => candidate === name);
  return known !== undefined && switchValues[known].some((choice) => choice === value);
}
