/**
 * @file Client of a control group with declared configurations: applies and reads the configuration, evacuates and
 * readmits zones. All requests are idempotent, so that they can be retried at another control machine.
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
  requestWithFailover,
  defaultRetryOptions,
  parseResponse,
  type RetryOptions,
} from './request-with-failover.js';

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

/** Addresses and credentials of the control group. */
export interface DeclaredClientOptions {
  /** Addresses at which control machines accept calls. */
  readonly controlAddresses: readonly Address[];
  readonly operatorToken: string | undefined;
  readonly retry?: RetryOptions;
}

/** Operations on a control group. */
export interface DeclaredClient {
  /**
   * Resolves once this or a higher version is in force. After `peer-unreachable` or `no-quorum` the
   * configuration may or may not have been applied.
   */
  declare(config: DeclaredConfig): Promise<Result<void, AmberliftError>>;
  /** @returns the configuration in force, confirmed by a quorum; `not-found` if there is none yet */
  read(): Promise<Result<DeclaredConfig, AmberliftError>>;
  /**
   * Resolves once the order is in force; `not-found` for an unknown zone. After `peer-unreachable` or
   * `no-quorum` the order may or may not have been applied.
   */
  orderZone(zone: string, kind: ZoneOrderKind): Promise<Result<void, AmberliftError>>;
  /** @returns the status and capacity of each zone, confirmed by a quorum */
  readZones(): Promise<Result<readonly ZoneReport[], AmberliftError>>;
}

/** @returns the zone reports in a decoded JSON value, or `invalid-command` with the validation errors */
export function parseZoneReports(content: unknown): Result<readonly ZoneReport[], AmberliftError> {
  const parsed = zonesSchema.safeParse(content);
  return parsed.success
    ? ok(parsed.data.zones)
    : err(amberliftError('invalid-command', describeFaults(parsed.error)));
}

/**
 * @returns a client, which keeps no connection open
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
    return requestWithFailover(controlAddresses, retry, async (to) => {
      const response = await sendJson({
        to,
        method,
        path,
        body,
        bearerToken: operatorToken,
        timeoutMs: retry.requestTimeoutMs,
      });
      return response.mapErr((error) => ({ error })).andThen(parseResponse);
    });
  }
}
