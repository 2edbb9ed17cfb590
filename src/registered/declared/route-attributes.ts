/**
 * @file Attributes of the requests on a route, besides its targets. Values that a configuration does not declare
 * have defaults here, so that all machines derive the same attributes.
 */
import type { DeclaredRoute } from './declared-config.js';

/** Attributes of the requests on a route. */
export interface RouteAttributes {
  /** 0 is the highest; `LOWEST_PRIORITY` if none is declared. */
  readonly priority: number;
  /** The time within which answers are expected, in milliseconds; `NO_OBJECTIVE_MS` if none is declared. */
  readonly latencyObjectiveMs: number;
}

/** The priority of routes that declare none. */
export const LOWEST_PRIORITY = 65_535;
/** The latency objective of routes that declare none: these are the least urgent ones of their priority. */
export const NO_OBJECTIVE_MS = 2 ** 32 - 1;

/** @returns the attributes of a declared route */
export function attributesOf(route: DeclaredRoute): RouteAttributes {
  const { priority, latencyObjectiveMs } = route;
  return {
    priority: priority ?? LOWEST_PRIORITY,
    latencyObjectiveMs: latencyObjectiveMs ?? NO_OBJECTIVE_MS,
  };
}

/** @returns true if both are equal, or both are undefined */
export function hasSameAttributes(
  one: RouteAttributes | undefined,
  other: RouteAttributes | undefined,
): boolean {
  if (one === undefined || other === undefined) {
    return one === other;
  }
  return one.priority === other.priority && one.latencyObjectiveMs === other.latencyObjectiveMs;
}
