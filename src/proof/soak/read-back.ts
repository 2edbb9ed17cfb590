/**
 * @file Reads the configuration and the zones from each reachable control machine at the end of a soak and passes them to
 * the oracle, which checks that no acknowledged write is lost.
 */
import type { Address } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';
import type { IngressOracle } from '../sim-registered/ingress-oracle.js';
import type { SoakClock } from './soak-clock.js';

/** Control machines to read from and the oracle that checks their responses. */
export interface ReadBackOptions {
  readonly callAddresses: readonly Address[];
  readonly operatorToken: string;
  readonly oracle: IngressOracle;
  readonly clock: SoakClock;
}

const TIMEOUT_MS = 400;
const HTTP_OK = 200;

/** Reads configuration and zones from all control machines and checks them. */
export async function readBack(options: ReadBackOptions): Promise<void> {
  const { oracle, clock } = options;
  await Promise.all(
    options.callAddresses.flatMap((to) => [
      readAndCheck(options, to, '/v1/config', (body) => {
        const { version } = body as { readonly version: number };
        oracle.checkFinalRead(version, clock.nowMs);
      }),
      readAndCheck(options, to, '/v1/zones', (body) => {
        const { zones } = body as { readonly zones: readonly ZoneReport[] };
        zones.forEach(({ zone, isEvacuated }) =>
          oracle.checkFinalZone(zone, isEvacuated, clock.nowMs),
        );
      }),
    ]),
  );
}

/** Skips machines that do not answer or answer with an error: they make no claim about stored data. */
async function readAndCheck(
  { operatorToken }: ReadBackOptions,
  to: Address,
  path: string,
  check: (body: unknown) => void,
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
      check(body);
    }
  });
}
