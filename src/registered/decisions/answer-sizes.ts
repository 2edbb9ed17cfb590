/**
 * @file Detects answers that are far shorter than usual on their route, such as errors. The balancer does not
 * read answers; it estimates their size from the bytes that clients acknowledge. Without this, a back end that fails most
 * requests looks fast and idle.
 */
import type { RouteKey } from '../ingress/packet-view.js';

/** Mean answer size of each route. */
interface AnswerSizes {
  /**
   * Records the size of an answer.
   * @param bytes first bytes that the client acknowledged; a few packets of a long answer
   * @returns true if the answer is far shorter than usual on its route
   */
  isShort(route: RouteKey, bytes: number): boolean;
}

interface UsualSize {
  meanBytes: number;
  count: number;
}

/**
 * Share of the mean size below which an answer is short; an error is a status and a line. Answers whose sizes vary by half
 * around their mean are rarely that short.
 */
const SHORT_ANSWER_SHARE = 0.4;
/** Answers before the mean of a route is used. */
const MIN_ANSWERS = 16;
/** Window of the moving average: long enough that a few errors hardly change it. */
const SMOOTHING_WINDOW_ANSWERS = 64;
/** Bounds the memory; answers on further routes are never short. */
const MAX_ROUTES = 1_000;

/** @returns sizes without any route */
export function createAnswerSizes(): AnswerSizes {
  const usualSizes = new Map<RouteKey, UsualSize>();

  return { isShort };

  function isShort(route: RouteKey, bytes: number): boolean {
    const size = usualSizes.get(route);
    if (size === undefined) {
      if (usualSizes.size < MAX_ROUTES) {
        usualSizes.set(route, { meanBytes: bytes, count: 1 });
      }
      return false;
    }
    const answeredShort = size.count >= MIN_ANSWERS && bytes < SHORT_ANSWER_SHARE * size.meanBytes;
    size.count += 1;
    size.meanBytes += (bytes - size.meanBytes) / Math.min(SMOOTHING_WINDOW_ANSWERS, size.count);
    return answeredShort;
  }
}
