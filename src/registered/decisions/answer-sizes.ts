/**
 * @file Which answers are far shorter than those that are usual on their route. A forwarder reads no answers, and a
 * back end that refuses or fails most of what it gets looks fast and idle; but such answers say little, so the bytes
 * that a client acknowledges tell them from what its route is there for.
 */
import type { RouteKey } from '../ingress/packet-view.js';

/** What is usual on each route. */
export interface AnswerSizes {
  /**
   * Takes the size of one more answer.
   * @param bytes that its client acknowledged first; a long answer shows a few packets of it
   * @returns true where it is far shorter than is usual on its route
   */
  isShort(route: RouteKey, bytes: number): boolean;
}

interface UsualSize {
  meanBytes: number;
  count: number;
}

/**
 * An answer that says no is a status and a line: 171 bytes were seen where the shortest usual answers took 494. Sizes that
 * vary by half around their mean rarely come to this, and back ends are compared with each other besides.
 */
const SHORT_SHARE = 0.4;
/** Before so many answers nothing is known to be usual. */
const LEAST_ANSWERS = 16;
/** The mean is over about so many: a few errors do not move it, a route whose answers change is known again soon. */
const MEAN_OVER = 64;
/** Routes beyond this number are not looked at. */
const MAX_ROUTES = 1_000;

/** @returns sizes of which nothing is known */
export function createAnswerSizes(): AnswerSizes {
  const usual = new Map<RouteKey, UsualSize>();

  return { isShort };

  function isShort(route: RouteKey, bytes: number): boolean {
    const known = usual.get(route);
    if (known === undefined) {
      if (usual.size < MAX_ROUTES) {
        usual.set(route, { meanBytes: bytes, count: 1 });
      }
      return false;
    }
    const short = known.count >= LEAST_ANSWERS && bytes < SHORT_SHARE * known.meanBytes;
    known.count += 1;
    known.meanBytes += (bytes - known.meanBytes) / Math.min(MEAN_OVER, known.count);
    return short;
  }
}
