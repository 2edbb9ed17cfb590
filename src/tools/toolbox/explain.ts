/**
 * @file Explains one request, flow, back end or configuration from the logs of several processes: selects the lines about
 * it and about the back ends and processes involved, possible causes, and gaps in the logs.
 */
import { match } from 'ts-pattern';
import { alignClocks, type ClockSkew, type TimedLine } from './align-clocks.js';
import {
  BACKEND_DECISIONS,
  backendFindings,
  findingsOfFlow,
  latePlacements,
} from './explain-findings.js';
import { spanOf, valuesOf, type Span } from './line-spans.js';
import type { LogLine } from './log-line.js';

/** The entity that an ID names. */
export type Subject =
  | { readonly type: 'request'; readonly id: string }
  | { readonly type: 'flow'; readonly id: string }
  | { readonly type: 'backend'; readonly id: string }
  | { readonly type: 'config'; readonly id: string };

/** The selected log lines in order of time, and conclusions from them. */
export interface Explanation {
  /** Undefined if no line names the ID. */
  readonly subject: Subject | undefined;
  readonly lines: readonly TimedLine[];
  /** Possible causes, most likely first. */
  readonly findings: readonly string[];
  /** Known gaps in the logs. */
  readonly gaps: readonly string[];
  readonly skews: readonly ClockSkew[];
}

/** How long before a flow process events are included; also the time that a start takes at most. */
const PROCESS_WINDOW_BEFORE_MS = 3_000;
/** How long after a flow process events are included. */
const PROCESS_WINDOW_AFTER_MS = 5_000;
/** How long before and after a flow back end events are included: some take effect only after many seconds. */
const BACKEND_WINDOW_MS = 15_000;

/** Names of log lines about a process that may explain what happened to its flows. */
const PROCESS_DECISIONS: ReadonlySet<string> = new Set([
  'started',
  'stopping',
  'ready',
  'feed lost',
  'config in force',
  'skipped',
  'error',
]);

/**
 * @param id ID of a request, flow or back end, or the version of a configuration
 */
export function explain(logLines: readonly LogLine[], id: string): Explanation {
  const { lines, skews } = alignClocks(logLines);
  const subject = subjectOf(lines, id);
  if (subject === undefined) {
    return { subject, lines: [], findings: [], gaps: gapsOf(lines, undefined), skews };
  }
  const explanation = match(subject)
    .with({ type: 'request' }, (request) => explainRequest(lines, request.id))
    .with({ type: 'flow' }, (flow) => explainFlow(lines, flow.id, undefined))
    .with({ type: 'backend' }, (backend) => explainBackend(lines, backend.id))
    .with({ type: 'config' }, (config) => explainConfig(lines, config.id))
    .exhaustive();
  return { subject, skews, ...explanation, gaps: gapsOf(lines, spanOf(explanation.lines)) };
}

function subjectOf(lines: readonly TimedLine[], id: string): Subject | undefined {
  const isNamedBy = (...names: string[]) =>
    lines.some(({ line }) => names.some((name) => line.fields.get(name) === id));
  if (isNamedBy('request')) {
    return { type: 'request', id };
  }
  if (isNamedBy('flow')) {
    return { type: 'flow', id };
  }
  if (isNamedBy('backend', 'backendId')) {
    return { type: 'backend', id };
  }
  return isNamedBy('version', 'config') ? { type: 'config', id } : undefined;
}

type ExplanationParts = Pick<Explanation, 'lines' | 'findings'>;

function explainRequest(lines: readonly TimedLine[], id: string): ExplanationParts {
  const requestLine = lines.find(({ line }) => line.fields.get('request') === id);
  const flow = requestLine?.line.fields.get('flow');
  return requestLine === undefined || flow === undefined
    ? { lines: [], findings: [] }
    : explainFlow(lines, flow, requestLine);
}

/**
 * @param requestLine the line of the request to explain; undefined for the whole flow
 */
function explainFlow(
  lines: readonly TimedLine[],
  flow: string,
  requestLine: TimedLine | undefined,
): ExplanationParts {
  const ofFlow = linesOfOneConnection(
    lines.filter(({ line }) => line.fields.get('flow') === flow),
    requestLine,
  );
  const span = spanOf(ofFlow);
  const subjectSpan =
    requestLine === undefined ? span : { fromMs: requestLine.atMs, untilMs: requestLine.atMs };
  const backends = valuesOf(ofFlow, 'backend');
  const sources = new Set(ofFlow.map(({ line }) => line.source));
  const related = lines.filter(
    (timed) => isOnBackends(timed, backends, subjectSpan) || isOnProcess(timed, sources, span),
  );
  const selected = sortByTime([...ofFlow, ...related]);
  return { lines: selected, findings: findingsOfFlow(selected, ofFlow, subjectSpan) };
}

/** Ports are reused: a connection ends at the next initial open with the same addresses and ports. */
function linesOfOneConnection(
  ofFlow: readonly TimedLine[],
  requestLine: TimedLine | undefined,
): readonly TimedLine[] {
  if (requestLine === undefined) {
    return ofFlow;
  }
  const isFirstOpen = ({ line }: TimedLine) =>
    line.fields.get('copy') === '0' && line.fields.get('how') !== 'remembered';
  const starts = ofFlow.filter(isFirstOpen).map(({ atMs }) => atMs);
  const fromMs = Math.max(
    Number.NEGATIVE_INFINITY,
    ...starts.filter((atMs) => atMs <= requestLine.atMs),
  );
  const untilMs = Math.min(
    Number.POSITIVE_INFINITY,
    ...starts.filter((atMs) => atMs > requestLine.atMs),
  );
  return ofFlow.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
}

function isOnBackends(
  { line, atMs }: TimedLine,
  backends: ReadonlySet<string>,
  { fromMs, untilMs }: Span,
): boolean {
  const backend = line.fields.get('backend') ?? line.fields.get('backendId') ?? '';
  const isNear = atMs >= fromMs - BACKEND_WINDOW_MS && atMs <= untilMs + BACKEND_WINDOW_MS;
  return isNear && BACKEND_DECISIONS.has(line.name) && backends.has(backend);
}

function isOnProcess(
  { line, atMs }: TimedLine,
  sources: ReadonlySet<string>,
  { fromMs, untilMs }: Span,
): boolean {
  const isNear =
    atMs >= fromMs - PROCESS_WINDOW_BEFORE_MS && atMs <= untilMs + PROCESS_WINDOW_AFTER_MS;
  return isNear && PROCESS_DECISIONS.has(line.name) && sources.has(line.source);
}

function explainBackend(lines: readonly TimedLine[], id: string): ExplanationParts {
  const concernsBackend = ({ line }: TimedLine) =>
    line.fields.get('backend') === id || line.fields.get('backendId') === id;
  const ofBackend = lines.filter(concernsBackend);
  const decisions = ofBackend.filter(({ line }) => BACKEND_DECISIONS.has(line.name));
  const placed = ofBackend.filter(({ line }) => line.name === 'placed');
  const last = placed.at(-1);
  const firstAndLast = [placed[0], last].filter((timed) => timed !== undefined);
  const findings = [
    `${placed.length} opens were placed on the back end in these logs; the first and the last are shown.`,
    ...backendFindings(decisions),
    ...latePlacements(placed, decisions),
  ];
  return { lines: sortByTime([...decisions, ...firstAndLast]), findings };
}

function explainConfig(lines: readonly TimedLine[], version: string): ExplanationParts {
  const ofVersion = lines.filter(({ line }) => line.fields.get('version') === version);
  const inForce = ofVersion.filter(
    (timed) => timed.line.name === 'config in force' && !isAtStart(lines, timed),
  );
  const sources = new Set(inForce.map(({ line }) => line.source));
  const first = inForce[0]?.atMs ?? 0;
  const last = inForce.at(-1)?.atMs ?? 0;
  const others = new Set(
    lines.filter(({ line }) => !sources.has(line.source)).map(({ line }) => line.source),
  );
  return {
    lines: ofVersion,
    findings: [
      `The configuration came into force in ${sources.size} processes within ${Math.round(last - first)} ms.`,
      ...(others.size > 0 ? [`No such line from: ${[...others].sort().join(', ')}.`] : []),
    ],
  };
}

/** A process that has just started fetches the current configuration, which says nothing about propagation time. */
function isAtStart(lines: readonly TimedLine[], { line, atMs }: TimedLine): boolean {
  return lines.some(
    (other) =>
      other.line.name === 'started' &&
      other.line.source === line.source &&
      other.atMs <= atMs &&
      atMs - other.atMs <= PROCESS_WINDOW_BEFORE_MS,
  );
}

/** Reports suppressed log lines, and processes that ended without a `stopping` line. */
function gapsOf(lines: readonly TimedLine[], span: Span | undefined): string[] {
  const gaps: string[] = [];
  const running = new Set<string>();
  for (const { line, atMs } of lines) {
    const isNear =
      span === undefined ||
      (atMs >= span.fromMs - PROCESS_WINDOW_BEFORE_MS &&
        atMs <= span.untilMs + PROCESS_WINDOW_AFTER_MS);
    if (line.name === 'skipped' && isNear) {
      const kind = line.fields.get('kind') ?? '';
      gaps.push(`${line.source} suppressed ${line.fields.get('lines') ?? ''} lines of ${kind}.`);
    }
    if (line.name === 'started' && running.has(line.source) && isNear) {
      gaps.push(`${line.source} ended without a final log line before it started again.`);
    }
    if (line.name === 'stopping') {
      running.delete(line.source);
    } else {
      running.add(line.source);
    }
  }
  return gaps;
}

function sortByTime(lines: readonly TimedLine[]): TimedLine[] {
  return [...new Set(lines)].sort((one, other) => one.atMs - other.atMs);
}
