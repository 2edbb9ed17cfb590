/**
 * @file Commands on zones: `ctl evacuate ZONE`, `ctl readmit ZONE`, `ctl show zones`, and `plan --zones FILE
 * evacuate ZONE`.
 */
import { readFileSync } from 'node:fs';
import Table from 'cli-table3';
import { Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { parseZoneReports, type DeclaredClient } from '../client/declared-client.js';
import { amberliftError, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { ZoneReport } from '../../registered/group/group-messages.js';
import { describeEvacuation, planEvacuation } from '../toolbox/plan-evacuation.js';
import { reportError } from './daemon-command.js';

/** A `ctl` command on zones. */
export type ZoneCommand =
  | { readonly type: 'evacuate' | 'readmit'; readonly zone: string }
  | { readonly type: 'show-zones' };

/**
 * @returns the parsed command, or undefined if the words are not a zone command
 */
export function parseZoneCommand(words: readonly string[]): ZoneCommand | undefined {
  const [verb, object, ...rest] = words;
  if (object === undefined || rest.length > 0) {
    return undefined;
  }
  if (verb === 'evacuate' || verb === 'readmit') {
    return { type: verb, zone: object };
  }
  return verb === 'show' && object === 'zones' ? { type: 'show-zones' } : undefined;
}

/** Runs the command, prints its result and sets the exit code. */
export async function runZoneCommand(
  command: ZoneCommand,
  client: DeclaredClient,
  asJson: boolean,
): Promise<void> {
  const output = await match(command)
    .with({ type: 'evacuate' }, ({ zone }) => evacuate(client, zone, asJson))
    .with({ type: 'readmit' }, ({ zone }) => readmit(client, zone, asJson))
    .with({ type: 'show-zones' }, () => showZones(client, asJson))
    .exhaustive();
  output.match((text) => process.stdout.write(`${text}\n`), reportError);
}

/** Prints the effect of an evacuation, from saved output of `ctl --json show zones`, and sets the exit code. */
export function printEvacuationPlan(file: string, words: readonly string[], asJson: boolean): void {
  const [verb, zone, ...rest] = words;
  if (verb !== 'evacuate' || zone === undefined || rest.length > 0) {
    throw new RangeError('plan --zones requires the statement: evacuate ZONE.');
  }
  const content = Result.fromThrowable(
    () => JSON.parse(readFileSync(file, 'utf8')) as unknown,
    (cause) => amberliftError('invalid-command', `${file}: ${String(cause)}`),
  )();
  const plan = content.andThen(parseZoneReports).andThen((zones) => planEvacuation(zones, zone));
  plan.match((value) => {
    process.stdout.write(`${asJson ? JSON.stringify(value) : describeEvacuation(value)}\n`);
    process.exitCode = value.fits ? exitCodes.success : exitCodes.refused;
  }, reportError);
}

/** Evacuates the zone even if the remaining capacity is too small; the shortfall is only reported. */
async function evacuate(
  client: DeclaredClient,
  zone: string,
  asJson: boolean,
): Promise<Result<string, AmberliftError>> {
  const zones = await client.readZones();
  const plan = zones.andThen((reports) => planEvacuation(reports, zone));
  if (plan.isErr()) {
    return plan.map(() => '');
  }
  const result = await client.orderZone(zone, 'evacuate');
  const sentence = `Zone ${zone} is evacuated. ${describeEvacuation(plan.value)}`;
  return result.map(() => (asJson ? JSON.stringify({ ...plan.value }) : sentence));
}

async function readmit(
  client: DeclaredClient,
  zone: string,
  asJson: boolean,
): Promise<Result<string, AmberliftError>> {
  const ordered = await client.orderZone(zone, 'readmit');
  return ordered.map(() =>
    asJson ? JSON.stringify({ zone, isEvacuated: false }) : `Zone ${zone} is readmitted.`,
  );
}

async function showZones(
  client: DeclaredClient,
  asJson: boolean,
): Promise<Result<string, AmberliftError>> {
  const zones = await client.readZones();
  return zones.map((reports) =>
    asJson ? JSON.stringify({ zones: reports }) : describeZones(reports),
  );
}

function describeZones(zones: readonly ZoneReport[]): string {
  const table = new Table({ head: ['zone', 'new flows', 'back ends', 'slots', 'in progress'] });
  for (const { zone, isEvacuated, backendCount, slots, busy } of zones) {
    table.push([zone, isEvacuated ? 'none: evacuated' : 'yes', backendCount, slots, busy]);
  }
  return table.toString();
}
