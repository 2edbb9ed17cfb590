/**
 * @file Packs feed messages for the wire: columns instead of named fields, deduplicated names, delta-encoded sorted
 * numbers. This makes a full sync several times smaller, which matters on slow links.
 *
 * Names on the wire: the stage of a full sync is `transfer`, liveness changes are `judgements`, answer stats are
 * `signals`, suspicions are `suspects`. Enumerated values are sent as their indexes in the lists of packed-feed.ts.
 */
import type { LivenessChange } from '../../registry/backend-liveness.js';
import type { Departure } from '../../registry/backend-record.js';
import { packConfig, unpackConfig } from './config-codec.js';
import type { FeedMessage } from '../group-messages.js';
import {
  packBalancers,
  packControls,
  packZones,
  unpackBalancers,
  unpackControls,
  unpackZones,
} from './list-codec.js';
import { withoutInvalidEntries, type ReportOmitted } from './omitted-entries.js';
import {
  DEPARTURES,
  LIVENESS,
  parsePackedFeed,
  FULL_SYNC_STAGES,
  type PackedFeed,
} from './packed-feed.js';
import { packRecords, unpackRecords } from './record-codec.js';

/** @returns the packed form of a message */
export function packFeed(message: FeedMessage): PackedFeed {
  const { records, judgements, departures, balancers, lostBalancers, controls } = message;
  const { zones, config, transfer } = message;
  return {
    type: 'feed',
    isCurrent: message.isCurrent,
    isComplete: message.isComplete,
    isCounted: message.isCounted,
    ...(transfer && { transfer: FULL_SYNC_STAGES.indexOf(transfer) }),
    ...(records && { records: packRecords(records) }),
    ...(judgements && { judgements: packLivenessChanges(judgements) }),
    ...(departures && { departures: packDepartures(departures) }),
    ...(balancers && { balancers: packBalancers(balancers) }),
    ...(lostBalancers && { lost: [...lostBalancers] }),
    ...(controls && { controls: packControls(controls) }),
    ...(zones && { zones: packZones(zones) }),
    ...(config && { config: packConfig(config) }),
    ...(message.loads && { loads: [...message.loads] }),
    ...(message.signals && { signals: [...message.signals] }),
    ...(message.suspects && { suspects: [...message.suspects] }),
  };
}

/**
 * @param report called with each entry that is left out, because it has invalid values
 * @returns the unpacked message, or undefined if the value is not a feed message; never throws
 */
export function unpackFeed(
  value: unknown,
  report: ReportOmitted = () => undefined,
): FeedMessage | undefined {
  const parsed = parsePackedFeed(value);
  if (parsed === undefined) {
    return undefined;
  }
  const message = unpackColumns(parsed.packed);
  return parsed.areValuesValid ? message : withoutInvalidEntries(message, report);
}

function unpackColumns(packed: PackedFeed): FeedMessage {
  const { isCurrent, isComplete, isCounted, transfer, records, judgements, departures } = packed;
  const { balancers, lost, controls, zones, config, loads, signals, suspects } = packed;
  return {
    type: 'feed',
    isCurrent,
    isComplete,
    isCounted,
    ...(transfer !== undefined && { transfer: FULL_SYNC_STAGES[transfer] ?? 'whole' }),
    ...(records && { records: unpackRecords(records) }),
    ...(judgements && { judgements: unpackLivenessChanges(judgements) }),
    ...(departures && { departures: unpackDepartures(departures) }),
    ...(balancers && { balancers: unpackBalancers(balancers) }),
    ...(lost && { lostBalancers: lost }),
    ...(controls && { controls: unpackControls(controls) }),
    ...(zones && { zones: unpackZones(zones) }),
    ...(config && { config: unpackConfig(config) }),
    ...(loads && { loads }),
    ...(signals && { signals }),
    ...(suspects && { suspects }),
  };
}

function packLivenessChanges(
  changes: readonly LivenessChange[],
): NonNullable<PackedFeed['judgements']> {
  return {
    ids: changes.map(({ backendId }) => backendId),
    kinds: changes.map(({ liveness }) => LIVENESS.indexOf(liveness)),
    silentMs: changes.map(({ silentMs }) => silentMs),
  };
}

function unpackLivenessChanges({
  ids,
  kinds,
  silentMs,
}: NonNullable<PackedFeed['judgements']>): LivenessChange[] {
  return ids.map((backendId, row) => ({
    backendId,
    liveness: LIVENESS[kinds[row] ?? 0] ?? 'alive',
    silentMs: silentMs[row] ?? 0,
  }));
}

function packDepartures(departures: readonly Departure[]): NonNullable<PackedFeed['departures']> {
  return {
    ids: departures.map(({ backendId }) => backendId),
    kinds: departures.map(({ kind }) => DEPARTURES.indexOf(kind)),
  };
}

function unpackDepartures({ ids, kinds }: NonNullable<PackedFeed['departures']>): Departure[] {
  return ids.map((backendId, row) => ({
    backendId,
    kind: DEPARTURES[kinds[row] ?? 0] ?? 'gone',
  }));
}
