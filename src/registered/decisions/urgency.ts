/**
 * @file Groups routes into a few classes of urgency: by priority, then by latency objective. Routes of one priority with
 * similar objectives share a class. While a route without attributes is known, all routes are alike.
 */
import type { RouteAttributes } from '../declared/route-attributes.js';

/** Class of a route: 0 is the most urgent, `URGENCY_CLASSES - 1` the least. */
export type UrgencyClass = number;

/** Further classes share the last one. */
export const URGENCY_CLASSES = 4;
/** The class of all routes that are not distinguished. */
export const COMMON_CLASS: UrgencyClass = 0;
/** Objectives below this multiple of the shortest one of a class belong to it. */
const SIMILAR_OBJECTIVES = 1.5;

/** The classes of the routes of one configuration. */
export interface UrgencyRanking {
  classOf(attributes: RouteAttributes | undefined): UrgencyClass;
}

/** @param routes the attributes of all routes; undefined for routes without */
export function rankUrgency(routes: Iterable<RouteAttributes | undefined>): UrgencyRanking {
  const distinct = new Map<string, RouteAttributes>();
  for (const attributes of routes) {
    if (attributes === undefined) {
      return { classOf: () => COMMON_CLASS };
    }
    distinct.set(keyOf(attributes), attributes);
  }
  const classes = classesOf([...distinct.values()].sort(byUrgency));
  return {
    classOf: (attributes) =>
      (attributes === undefined ? undefined : classes.get(keyOf(attributes))) ?? COMMON_CLASS,
  };
}

function classesOf(sorted: readonly RouteAttributes[]): ReadonlyMap<string, UrgencyClass> {
  const classes = new Map<string, UrgencyClass>();
  let [first] = sorted;
  let classCount = 1;
  for (const attributes of sorted) {
    if (first !== undefined && !isSimilar(first, attributes)) {
      first = attributes;
      classCount += 1;
    }
    classes.set(keyOf(attributes), Math.min(classCount, URGENCY_CLASSES) - 1);
  }
  return classes;
}

/** @param first the most urgent attributes of a class */
function isSimilar(first: RouteAttributes, other: RouteAttributes): boolean {
  return (
    first.priority === other.priority &&
    other.latencyObjectiveMs < SIMILAR_OBJECTIVES * first.latencyObjectiveMs
  );
}

function byUrgency(one: RouteAttributes, other: RouteAttributes): number {
  return one.priority - other.priority || one.latencyObjectiveMs - other.latencyObjectiveMs;
}

function keyOf({ priority, latencyObjectiveMs }: RouteAttributes): string {
  return `${priority}/${latencyObjectiveMs}`;
}
