/**
 * @file At the end of a soak reads what was acknowledged from each control machine that answers, and has the oracle check it.
 */
import type { Address } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';
import type { IngressOracle } from '../sim-registered/ingress-oracle.js';
import type { SoakClock } from './soak-clock.js';

/** Which machines to ask, and the oracle that checks their answers. */
export interface ReadBackOptions {
  readonly callAddresses: readonly Address[];
  readonly operatorToken: string;
  readonly oracle: IngressOracle;
  readonly clock: SoakClock;
}

const TIMEOUT_MS = 400;
const HTTP_OK = 200;

/** Asks all control machines for the configuration and for the zones. */
export async function readBack(options: ReadBackOptions): Promise<void> {
  const { oracle, clock } = options;
  await Promise.all(
    options.callAddresses.flatMap((to) => [
      read(options, to, '/v1/config', (body) => {
        const { version } = body as { readonly version: number };
        oracle.checkFinalRead(version, clock.nowMs);
      }),
      read(options, to, '/v1/zones', (body) => {
        const { zones } = body as { readonly zones: readonly ZoneReport[] };
        zones.forEach(({ zone, isEvacuated }) =>
          oracle.checkFinalZone(zone, isEvacuated, clock.nowMs),
        );
      }),
    ]),
  );
}

/** A machine that gives no answer, or promises nothing, says nothing of what is kept. */
async function read(
  { operatorToken }: ReadBackOptions,
  to: Address,
  path: string,
  take: (body: unknown) => void,
): Promise<void> {
  const answer = await sendJson({
    to,
    method: 'GET',
    path,
    bearerToken: operatorToken,
    timeoutMs: TIMEOUT_MS,
  });
  answer.map(({ status, body }) => {
    if (status === HTTP_OK) {
      take(body);
    }
  });
}
