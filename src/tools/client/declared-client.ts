/**
 * @file The client of a group that takes declared configurations: declares one, reads the one in force, orders zones to be evacuated or
 * readmitted, at any control machine that answers. What is sent again is acknowledged again. Relies on `ask-in-turn` and the schemas of
 * `src/registered`.
 */
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod/mini';
import type { Address } from '../../shared/common/address.js';
import { sendJson } from '../../managed/daemon/http-json.js';
import type { DeclaredConfig } from '../../registered/declared/declared-config.js';
import { parseDeclaredConfig } from '../../registered/declared/parse-config.js';
import { describeFaults } from '../../shared/common/schema-faults.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';
import type { ZoneOrderKind } from '../../registered/group/zone-orders.js';
import {
  askInTurn,
  defaultRetryOptions,
  interpretAnswer,
  type RetryOptions,
} from './ask-in-turn.js';

const CONFIG_PATH = '/v1/config';
const ZONES_PATH = '/v1/zones';

const zonesSchema = z.object({
  zones: z.array(
    z.object({
      zone: z.string(),
      isEvacuated: z.boolean(),
      orders: z.number(),
      backendCount: z.number(),
      slots: z.number(),
      busy: z.number(),
    }),
  ),
});

/** How to reach the group. */
export interface DeclaredClientOptions {
  /** Call addresses of control machines. */
  readonly controlAddresses: readonly Address[];
  readonly operatorToken: string | undefined;
  readonly retry?: RetryOptions;
}

/** Talks to a control group. */
export interface DeclaredClient {
  /**
   * @returns once the configuration holds or a higher version does; after `peer-unreachable` or
   *   `no-quorum` it may or may not hold
   */
  declare(config: DeclaredConfig): Promise<Result<void, AmberliftError>>;
  /** @returns the configuration that holds, confirmed by a quorum; `not-found` before the first one */
  read(): Promise<Result<DeclaredConfig, AmberliftError>>;
  /**
   * @returns once the zone stands as ordered, `not-found` for a zone that the deployment does not have; after
   *   `peer-unreachable` or `no-quorum` it may or may not stand so
   */
  orderZone(zone: string, kind: ZoneOrderKind): Promise<Result<void, AmberliftError>>;
  /** @returns how each zone stands and what works there, confirmed by a quorum */
  readZones(): Promise<Result<readonly ZoneReport[], AmberliftError>>;
}

/** @returns the reports of zones that a value holds, or `invalid-command` with what is wrong */
export function parseZoneReports(content: unknown): Result<readonly ZoneReport[], AmberliftError> {
  const parsed = zonesSchema.safeParse(content);
  return parsed.success
    ? ok(parsed.data.zones)
    : err(amberliftError('invalid-command', describeFaults(parsed.error)));
}

/**
 * @returns a client, which holds no connection
 */
export function createDeclaredClient(options: DeclaredClientOptions): DeclaredClient {
  const { controlAddresses, operatorToken, retry = defaultRetryOptions } = options;

  return { declare, read, orderZone, readZones };

  async function declare(config: DeclaredConfig): Promise<Result<void, AmberliftError>> {
    const answer = await exchange('PUT', CONFIG_PATH, config);
    return answer.map(() => undefined);
  }

  async function read(): Promise<Result<DeclaredConfig, AmberliftError>> {
    const answer = await exchange('GET', CONFIG_PATH);
    return answer.andThen(parseDeclaredConfig);
  }

  async function orderZone(
    zone: string,
    kind: ZoneOrderKind,
  ): Promise<Result<void, AmberliftError>> {
    const path = `${ZONES_PATH}/${encodeURIComponent(zone)}/evacuation`;
    const answer = await exchange(kind === 'evacuate' ? 'PUT' : 'DELETE', path);
    return answer.map(() => undefined);
  }

  async function readZones(): Promise<Result<readonly ZoneReport[], AmberliftError>> {
    const answer = await exchange('GET', ZONES_PATH);
    return answer.andThen(parseZoneReports);
  }

  function exchange(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: DeclaredConfig,
  ): Promise<Result<unknown, AmberliftError>> {
    return askInTurn(controlAddresses, retry, async (to) => {
      const response = await sendJson({
        to,
        method,
        path,
        body,
        bearerToken: operatorToken,
        timeoutMs: retry.requestTimeoutMs,
      });
      return response.mapErr((error) => ({ error })).andThen(interpretAnswer);
    });
  }
}
