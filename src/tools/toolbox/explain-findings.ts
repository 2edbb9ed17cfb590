/**
 * @file The rules by which `explain` names what may be the cause of a failed request: decisions on its back end, refusals and resets of its
 * flow, processes that restarted, overload, an old configuration, resends, placements that came late. Each rule reads the lines of the story alone.
 */
import { valuesOf, type Span } from './line-spans.js';
import type { TimedLine } from './align-clocks.js';

/** Decisions on back ends. */
export const BACKEND_DECISIONS: ReadonlySet<string> = new Set([
  'backend registered',
  'backend judged',
  'departure',
]);

/**
 * @param story all lines of the story
 * @param ofFlow those of the flow itself
 * @param asked when what is asked for happened
 * @returns sentences, most telling first
 */
export function findingsOfFlow(
  story: readonly TimedLine[],
  ofFlow: readonly TimedLine[],
  asked: Span,
): string[] {
  const refusals = ofFlow.filter(({ line }) => line.name === 'reset' || line.name === 'dropped');
  const beliefs = story.filter(({ line }) => BACKEND_DECISIONS.has(line.name));
  const backends = valuesOf(ofFlow, 'backend');
  const hasRequest = ofFlow.some(({ line }) => line.name === 'request');
  return [
    ...refusals.map(
      ({ line }) => `${line.source} ${line.name} it: ${line.fields.get('reason') ?? ''}.`,
    ),
    ...(backends.size > 1
      ? [`It was sent to several back ends: ${[...backends].join(', ')}.`]
      : []),
    ...beliefFindings(beliefs, asked.fromMs),
    ...processFindings(story, asked),
    ...(hasRequest || refusals.length > 0
      ? []
      : ['No request followed the open: the back end did not accept it, or the client gave up.']),
    ...overloadFindings(ofFlow),
    ...staleFindings(ofFlow),
    ...resendFindings(ofFlow, asked),
  ];
}

/**
 * @param askedAtMs the time from which distances are given; undefined for none
 * @returns what was said of back ends, each thing once
 */
export function beliefFindings(beliefs: readonly TimedLine[], askedAtMs?: number): string[] {
  const reported = new Set<string>();
  return beliefs.flatMap(({ line, atMs }) => {
    const what = line.fields.get('kind') ?? line.fields.get('to') ?? '';
    const backend = line.fields.get('backend') ?? line.fields.get('backendId') ?? '';
    const key = `${line.name} ${backend} ${what}`;
    if (line.name === 'backend registered' || what === 'heard' || reported.has(key)) {
      return [];
    }
    reported.add(key);
    const when = askedAtMs === undefined ? '' : `, ${describeDistance(atMs - askedAtMs)}`;
    const how = line.name === 'departure' ? `said that it is ${what}` : `was judged ${what}`;
    return [`Back end ${backend} ${how}${when}.`];
  });
}

function processFindings(story: readonly TimedLine[], { fromMs }: Span): string[] {
  const reported = new Set<string>();
  return story.flatMap(({ line, atMs }) => {
    const key = `${line.source} ${line.name}`;
    if (reported.has(key)) {
      return [];
    }
    reported.add(key);
    const when = describeDistance(atMs - fromMs);
    switch (line.name) {
      case 'started':
        return [`${line.source} started ${when}.`];
      case 'stopping':
        return [`${line.source} was told to stop ${when}.`];
      case 'feed lost':
        return [
          `${line.source} lost its control machine ${when}: ${line.fields.get('reason') ?? ''}`,
        ];
      case 'error':
        return [`${line.source} had an error ${when}.`];
      default:
        return [];
    }
  });
}

/** From here on a balancer was cut off from the control machines, or had not found one yet. */
const STALE_FEED_MS = 1_500;

function staleFindings(ofFlow: readonly TimedLine[]): string[] {
  const stale = ofFlow.find(
    ({ line }) => Number(line.fields.get('feedAgeMs') ?? 0) > STALE_FEED_MS,
  );
  if (stale === undefined) {
    return [];
  }
  const { source, fields } = stale.line;
  const age = fields.get('feedAgeMs') ?? '';
  const config = fields.get('config') ?? 'none';
  return [
    `${source} had heard from no current control machine for ${age} ms, and went by configuration ${config}.`,
  ];
}

/** Copies that come closer together were not sent for want of an acknowledgement. */
const SMALLEST_RESEND_MS = 100;

/** A client sends again what is not acknowledged. */
function resendFindings(ofFlow: readonly TimedLine[], { fromMs }: Span): string[] {
  const asked = ofFlow.find(({ line, atMs }) => line.name === 'request' && atMs >= fromMs);
  const request = asked?.line.fields.get('request');
  const sends = ofFlow.filter(({ line }) => line.fields.get('request') === request);
  const lastMs = sends.at(-1)?.atMs ?? 0;
  const isResent = sends.some(({ atMs }) => lastMs - atMs >= SMALLEST_RESEND_MS);
  return request === undefined || !isResent
    ? []
    : [
        `Its first packet was sent ${sends.length} times: the back end acknowledged none of them in time.`,
      ];
}

/** From here on a back end had more requests than it works on at once. */
const FULL_LOAD = 1;

function overloadFindings(ofFlow: readonly TimedLine[]): string[] {
  return ofFlow.flatMap(({ line }) => {
    const load = Number(line.fields.get('load') ?? 0);
    return line.name === 'placed' && load >= FULL_LOAD
      ? [`Even the best back end had ${load} requests for each that it works on at once.`]
      : [];
  });
}

/** @returns how long after its departure a back end was still given opens */
export function latePlacements(
  placed: readonly TimedLine[],
  beliefs: readonly TimedLine[],
): string[] {
  const departure = beliefs.find(({ line }) => line.name === 'departure');
  const late = placed.filter(({ atMs }) => departure !== undefined && atMs > departure.atMs);
  const lastMs = late.at(-1)?.atMs ?? 0;
  return departure === undefined || late.length === 0
    ? []
    : [
        `${late.length} of them after its departure, the last ${Math.round(lastMs - departure.atMs)} ms after.`,
      ];
}

function describeDistance(distanceMs: number): string {
  const seconds = (Math.abs(distanceMs) / 1_000).toFixed(2);
  return distanceMs < 0 ? `${seconds} s before` : `${seconds} s after`;
}
