/**
 * @file Leaves out the entries of a received message that don't match their schema (entry-schemas.ts), so that one of them holds
 * up neither the others nor the link. A sender of this version sends none; one of an older version may have checked less.
 */
import type * as z from 'zod/mini';
import { describeFaults } from '../../../shared/common/schema-faults.js';
import { indexSchema, textSchema } from '../../../shared/consensus/message-schemas.js';
import type { ConfigPart, RouteChange } from '../../declared/config-update.js';
import { usableIdleTimeoutMs } from '../../declared/idle-timeout.js';
import { ANSWER_STATS_ROWS } from '../../load-exchange/answer-stats.js';
import { LOAD_ROWS, type RowShape } from '../../load-exchange/packed-rows.js';
import { SUSPICION_ROWS } from '../../load-exchange/suspicion-rows.js';
import {
  agedRecordSchema,
  balancerSchema,
  controlSchema,
  departureSchema,
  livenessChangeSchema,
  routeAttributesSchema,
  targetSchema,
  warmUpSchema,
  zoneUpdateSchema,
} from '../entry-schemas.js';
import type { FeedMessage } from '../group-messages.js';

/** An entry that was left out. */
export interface OmittedEntry {
  /** From a small fixed set. */
  readonly kind: string;
  /** Which entry it is, for logs; bounded in length. */
  readonly entry: string;
  /** Its invalid fields. */
  readonly reason: string;
}

/** Called with each entry that is left out. */
export type ReportOmitted = (omitted: OmittedEntry) => void;

/** Characters of a logged entry. */
const MAX_LOGGED_LENGTH = 80;

/** @returns the entries that match the schema */
export function validEntries<Entry>(
  entries: readonly Entry[],
  schema: z.ZodMiniType,
  kind: string,
  nameOf: (entry: Entry) => string,
  report: ReportOmitted,
): Entry[] {
  return entries.filter((entry) => {
    const parsed = schema.safeParse(entry);
    if (!parsed.success) {
      const name = nameOf(entry).slice(0, MAX_LOGGED_LENGTH);
      report({ kind, entry: name, reason: describeFaults(parsed.error) });
    }
    return parsed.success;
  });
}

/** @returns the message without its invalid entries */
export function withoutInvalidEntries(message: FeedMessage, report: ReportOmitted): FeedMessage {
  const { records, judgements, departures, balancers, lostBalancers, controls, zones } = message;
  const { config, loads, signals, suspects } = message;
  const idOf = ({ backendId }: { readonly backendId: string }) => backendId;
  return {
    ...message,
    ...(records && {
      records: validEntries(records, agedRecordSchema, 'backend', (one) => one.record.id, report),
    }),
    ...(judgements && {
      judgements: validEntries(judgements, livenessChangeSchema, 'liveness', idOf, report),
    }),
    ...(departures && {
      departures: validEntries(departures, departureSchema, 'departure', idOf, report),
    }),
    ...(balancers && {
      balancers: validEntries(balancers, balancerSchema, 'balancer', ({ name }) => name, report),
    }),
    ...(lostBalancers && {
      lostBalancers: validEntries(lostBalancers, textSchema, 'lost balancer', String, report),
    }),
    ...(controls && {
      controls: validEntries(
        controls,
        controlSchema,
        'control',
        ({ linkAddress }) => linkAddress.host,
        report,
      ),
    }),
    ...(zones && {
      zones: validEntries(zones, zoneUpdateSchema, 'zone', ({ zone }) => zone, report),
    }),
    ...(config && { config: withoutInvalidParts(config, report) }),
    ...(loads && { loads: validRows(loads, LOAD_ROWS, 'load', report) }),
    ...(signals && { signals: validRows(signals, ANSWER_STATS_ROWS, 'answer stats', report) }),
    ...(suspects && { suspects: validRows(suspects, SUSPICION_ROWS, 'suspicion', report) }),
  };
}

/** Keeps the number of changes, by which the parts of an update are joined. */
function withoutInvalidParts(config: ConfigPart, report: ReportOmitted): ConfigPart {
  const { idleTimeoutMs, warmUps, changes } = config;
  return {
    ...config,
    idleTimeoutMs: usableIdleTimeoutMs(idleTimeoutMs),
    warmUps: validEntries(warmUps, warmUpSchema, 'slow start', ({ service }) => service, report),
    changes: changes.map((change) => withoutInvalidTargets(change, report)),
  };
}

/** A route without a valid target takes no flows; one without valid attributes counts as one without any. */
function withoutInvalidTargets(change: RouteChange, report: ReportOmitted): RouteChange {
  const { host, port, targets, attributes } = change;
  const nameOfRoute = () => `${host}:${port}`;
  const [validAttributes] = validEntries(
    attributes === undefined ? [] : [attributes],
    routeAttributesSchema,
    'route attributes',
    nameOfRoute,
    report,
  );
  return {
    host,
    port,
    targets: targets && validEntries(targets, targetSchema, 'target', nameOfRoute, report),
    ...(validAttributes && { attributes: validAttributes }),
  };
}

function validRows(
  packed: readonly number[],
  { numbers }: RowShape,
  kind: string,
  report: ReportOmitted,
): number[] {
  const count = Math.floor(packed.length / numbers);
  const rows = Array.from({ length: count }, (_, row) =>
    packed.slice(row * numbers, (row + 1) * numbers),
  );
  const isValidRow = (row: readonly number[]) =>
    row.every((number) => indexSchema.safeParse(number).success);
  rows
    .filter((row) => !isValidRow(row))
    .forEach((row) => report({ kind, entry: String(row[0]), reason: 'A number is invalid.' }));
  return rows.filter(isValidRow).flat();
}
