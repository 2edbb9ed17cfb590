/**
 * @file Rules of `explain` that report possible causes of a failed request, such as resets, restarts, overload, a stale
 * configuration or retransmissions. Each rule reads only the selected log lines.
 */
import { valuesOf, type Span } from './line-spans.js';
import type { TimedLine } from './align-clocks.js';

/** Names of log lines about the state of a back end. */
export const BACKEND_DECISIONS: ReadonlySet<string> = new Set([
  'backend registered',
  'backend judged',
  'departure',
]);

/**
 * @param lines the lines of the flow, its back ends and its processes
 * @param ofFlow the lines of the flow only
 * @param subjectSpan time span of the request or flow that is explained
 * @returns sentences, most likely cause first
 */
export function findingsOfFlow(
  lines: readonly TimedLine[],
  ofFlow: readonly TimedLine[],
  subjectSpan: Span,
): string[] {
  const refusals = ofFlow.filter(({ line }) => line.name === 'reset' || line.name === 'dropped');
  const decisions = lines.filter(({ line }) => BACKEND_DECISIONS.has(line.name));
  const backends = valuesOf(ofFlow, 'backend');
  const hasRequest = ofFlow.some(({ line }) => line.name === 'request');
  return [
    ...refusals.map(
      ({ line }) => `${line.source} ${line.name} it: ${line.fields.get('reason') ?? ''}.`,
    ),
    ...(backends.size > 1
      ? [`The flow was sent to several back ends: ${[...backends].join(', ')}.`]
      : []),
    ...backendFindings(decisions, subjectSpan.fromMs),
    ...processFindings(lines, subjectSpan),
    ...(hasRequest || refusals.length > 0
      ? []
      : ['No request followed the open: the back end did not accept it, or the client gave up.']),
    ...overloadFindings(ofFlow),
    ...staleFindings(ofFlow),
    ...resendFindings(ofFlow, subjectSpan),
  ];
}

/**
 * @param referenceMs time to which the times are relative; undefined omits them
 * @returns one sentence per state that a back end reported or was judged to be in
 */
export function backendFindings(decisions: readonly TimedLine[], referenceMs?: number): string[] {
  const reported = new Set<string>();
  return decisions.flatMap(({ line, atMs }) => {
    const state = line.fields.get('kind') ?? line.fields.get('to') ?? '';
    const backend = line.fields.get('backend') ?? line.fields.get('backendId') ?? '';
    const key = `${line.name} ${backend} ${state}`;
    if (line.name === 'backend registered' || state === 'heard' || reported.has(key)) {
      return [];
    }
    reported.add(key);
    const when = referenceMs === undefined ? '' : `, ${describeDistance(atMs - referenceMs)}`;
    const event =
      line.name === 'departure' ? `announced that it is ${state}` : `was judged ${state}`;
    return [`Back end ${backend} ${event}${when}.`];
  });
}

function processFindings(lines: readonly TimedLine[], { fromMs }: Span): string[] {
  const reported = new Set<string>();
  return lines.flatMap(({ line, atMs }) => {
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
        return [`${line.source} was asked to stop ${when}.`];
      case 'feed lost':
        return [
          `${line.source} lost the connection to its control machine ${when}: ${line.fields.get('reason') ?? ''}`,
        ];
      case 'error':
        return [`${line.source} logged an error ${when}.`];
      default:
        return [];
    }
  });
}

/** Feed age above which a balancer counts as disconnected from the control machines. */
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
    `${source} had no update from a current control machine for ${age} ms and used configuration ${config}.`,
  ];
}

/** Copies sent closer together than this are not retransmissions. */
const MIN_RESEND_INTERVAL_MS = 100;

/** Reports a request that the client retransmitted because no acknowledgement came. */
function resendFindings(ofFlow: readonly TimedLine[], { fromMs }: Span): string[] {
  const firstSend = ofFlow.find(({ line, atMs }) => line.name === 'request' && atMs >= fromMs);
  const request = firstSend?.line.fields.get('request');
  const sends = ofFlow.filter(({ line }) => line.fields.get('request') === request);
  const lastMs = sends.at(-1)?.atMs ?? 0;
  const isResent = sends.some(({ atMs }) => lastMs - atMs >= MIN_RESEND_INTERVAL_MS);
  return request === undefined || !isResent
    ? []
    : [`Its first packet was sent ${sends.length} times: the back end acknowledged none in time.`];
}

/** Requests per slot at which a back end is at capacity. */
const FULL_LOAD_PER_SLOT = 1;

function overloadFindings(ofFlow: readonly TimedLine[]): string[] {
  return ofFlow.flatMap(({ line }) => {
    const load = Number(line.fields.get('load') ?? 0);
    return line.name === 'placed' && load >= FULL_LOAD_PER_SLOT
      ? [`The chosen back end already had ${load} requests per slot.`]
      : [];
  });
}

/** @returns a sentence on opens that were placed on a back end after its departure, or none */
export function latePlacements(
  placed: readonly TimedLine[],
  decisions: readonly TimedLine[],
): string[] {
  const departure = decisions.find(({ line }) => line.name === 'departure');
  const late = placed.filter(({ atMs }) => departure !== undefined && atMs > departure.atMs);
  const lastMs = late.at(-1)?.atMs ?? 0;
  return departure === undefined || late.length === 0
    ? []
    : [
        `${late.length} of the opens were placed after its departure, the last ${Math.round(lastMs - departure.atMs)} ms after.`,
      ];
}

function describeDistance(distanceMs: number): string {
  const seconds = (Math.abs(distanceMs) / 1_000).toFixed(2);
  return distanceMs < 0 ? `${seconds} s before` : `${seconds} s after`;
}
