/**
 * @file Decides what happens to packets of a flow whose token names an earlier start of a back end that has
 * restarted. Resetting all of them would break flows that were just opened at the later start, by balancers that did not know of
 * the restart yet; only the back end can tell these from earlier ones.
 */
import { formatAddress } from '../../shared/common/address.js';
import type { KnownBackend } from '../ingress/known-backend.js';

/**
 * @param previous the start that the token names
 * @param current the later start, which is alive
 * @returns `follow` to forward to the later start, which may hold flows opened before this balancer learned
 * of the restart and resets all others; `end` to reset the client if the address has changed
 */
export function actionAfterRestart(
  previous: KnownBackend,
  current: KnownBackend,
): 'follow' | 'end' {
  return formatAddress(previous.address) === formatAddress(current.address) ? 'follow' : 'end';
}
