/**
 * @file Is an answer far shorter than usual on its route?
 *
 * - Inputs: the route, and the bytes that the client acknowledged first.
 * - Returns: true for a short one. It owns the usual size of each route.
 * - Reason: a balancer reads no answers, and a back end that refuses or fails most requests looks fast and idle. Such
 *   answers say little, so the bytes that a client acknowledges tell them from what the route is there for.
 *
 * `amberlift_ingress_backend_short_answers` counts them over all balancers.
 */
import type { RouteKey } from '../ingress/packet-view.js';

/** The usual sizes of answers. */
interface AnswerSizes {
  /**
   * Records the size of an answer.
   * @param bytes that its client acknowledged first; of a long answer these are a few packets
   * @returns true where it is far shorter than usual on its route
   */
  isShort(route: RouteKey, bytes: number): boolean;
}

interface UsualSize {
  meanBytes: number;
  count: number;
}

/**
 * An error is a status and a line: 171 bytes were seen where the shortest usual answers took 494. Sizes that vary by
 * half around their mean rarely are that short, and back ends are compared with each other besides.
 */
const SHORT_SHARE = 0.4;
/** Before so many answers no size is usual. Not measured; errors of the first ones on a rare route are not noticed. */
const LEAST_ANSWERS = 16;
/** The mean is over about so many, so a few errors do not move it, and a route whose answers change is learned again. */
const MEAN_OVER = 64;
/** Answers on routes beyond this number are never short; bounds the memory. */
const MAX_ROUTES = 1_000;

/** @returns sizes without any route */
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
