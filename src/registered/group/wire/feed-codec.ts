/**
 * @file The form in which feeds travel: columns in place of named fields, names that repeat written once, sorted
 * numbers as differences. A full sync takes a sixth of what the messages take field by field, which decides how long a
 * link of a few megabits needs for it (docs/design/links.md).
 *
 * This module knows the names on the wire: liveness and departures travel as numbers (packed-feed.ts), a full sync
 * is `transfer`, changes of liveness are `judgements`, answer stats are `signals`.
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
import {
  DEPARTURES,
  LIVENESS,
  parsePackedFeed,
  TRANSFERS,
  type PackedFeed,
} from './packed-feed.js';
import { packRecords, unpackRecords } from './record-codec.js';

/** @returns the form in which a message travels */
export function packFeed(message: FeedMessage): PackedFeed {
  const { records, judgements, departures, balancers, lostBalancers, controls } = message;
  const { zones, config, transfer } = message;
  return {
    type: 'feed',
    isCurrent: message.isCurrent,
    isComplete: message.isComplete,
    isCounted: message.isCounted,
    ...(transfer && { transfer: TRANSFERS.indexOf(transfer) }),
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
  };
}

/**
 * @returns the message that travelled, or undefined where the value is none; never throws
 */
export function unpackFeed(value: unknown): FeedMessage | undefined {
  const packed = parsePackedFeed(value);
  if (packed === undefined) {
    return undefined;
  }
  const { isCurrent, isComplete, isCounted, transfer, records, judgements, departures } = packed;
  const { balancers, lost, controls, zones, config, loads, signals } = packed;
  return {
    type: 'feed',
    isCurrent,
    isComplete,
    isCounted,
    ...(transfer !== undefined && { transfer: TRANSFERS[transfer] ?? 'whole' }),
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
  return ids.map((backendId, at) => ({
    backendId,
    liveness: LIVENESS[kinds[at] ?? 0] ?? 'alive',
    silentMs: silentMs[at] ?? 0,
  }));
}

function packDepartures(departures: readonly Departure[]): NonNullable<PackedFeed['departures']> {
  return {
    ids: departures.map(({ backendId }) => backendId),
    kinds: departures.map(({ kind }) => DEPARTURES.indexOf(kind)),
  };
}

function unpackDepartures({ ids, kinds }: NonNullable<PackedFeed['departures']>): Departure[] {
  return ids.map((backendId, at) => ({
    backendId,
    kind: DEPARTURES[kinds[at] ?? 0] ?? 'gone',
  }));
}
