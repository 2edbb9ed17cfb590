/**
 * @file The story of one request, flow, back end or configuration, out of the logs of several processes: the lines that name it, those
 * on the back ends and processes that it met, findings that may be the cause, and gaps where lines are missing. Pure: owns nothing. Relies
 * on `log-line` for the fields of lines, `align-clocks` for their order, and `explain-findings` for the rules on what is worth a finding.
 */
import { match } from 'ts-pattern';
import { alignClocks, type ClockSkew, type TimedLine } from './align-clocks.js';
import {
  BACKEND_DECISIONS,
  beliefFindings,
  findingsOfFlow,
  latePlacements,
} from './explain-findings.js';
import { spanOf, valuesOf, type Span } from './line-spans.js';
import type { LogLine } from './log-line.js';

/** What an ID names. */
export type Subject =
  | { readonly type: 'request'; readonly id: string }
  | { readonly type: 'flow'; readonly id: string }
  | { readonly type: 'backend'; readonly id: string }
  | { readonly type: 'config'; readonly id: string };

/** A story in order of time. */
export interface Story {
  /** Undefined where no line names the ID. */
  readonly subject: Subject | undefined;
  readonly lines: readonly TimedLine[];
  /** What in it may be the cause, most telling first. */
  readonly findings: readonly string[];
  /** Where lines are missing. */
  readonly gaps: readonly string[];
  readonly skews: readonly ClockSkew[];
}

const BEFORE_FLOW_MS = 3_000;
const AFTER_FLOW_MS = 5_000;
const LONG_BEFORE_MS = 15_000;

/** Decisions on a process itself that may explain what happened to its flows. */
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
 * @param id of a request, flow or back end, or the version of a configuration
 */
export function explain(logLines: readonly LogLine[], id: string): Story {
  const { lines, skews } = alignClocks(logLines);
  const subject = subjectOf(lines, id);
  if (subject === undefined) {
    return { subject, lines: [], findings: [], gaps: gapsOf(lines, undefined), skews };
  }
  const story = match(subject)
    .with({ type: 'request' }, (request) => storyOfRequest(lines, request.id))
    .with({ type: 'flow' }, (flow) => storyOfFlow(lines, flow.id, undefined))
    .with({ type: 'backend' }, (backend) => storyOfBackend(lines, backend.id))
    .with({ type: 'config' }, (config) => storyOfConfig(lines, config.id))
    .exhaustive();
  return { subject, skews, ...story, gaps: gapsOf(lines, spanOf(story.lines)) };
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

type StoryParts = Pick<Story, 'lines' | 'findings'>;

function storyOfRequest(lines: readonly TimedLine[], id: string): StoryParts {
  const tie = lines.find(({ line }) => line.fields.get('request') === id);
  const flow = tie?.line.fields.get('flow');
  return tie === undefined || flow === undefined
    ? { lines: [], findings: [] }
    : storyOfFlow(lines, flow, tie);
}

/**
 * @param tie the line of the request that is asked for; undefined for the whole flow
 */
function storyOfFlow(
  lines: readonly TimedLine[],
  flow: string,
  tie: TimedLine | undefined,
): StoryParts {
  const ofFlow = linesOfOneUse(
    lines.filter(({ line }) => line.fields.get('flow') === flow),
    tie,
  );
  const span = spanOf(ofFlow);
  const asked = tie === undefined ? span : { fromMs: tie.atMs, untilMs: tie.atMs };
  const backends = valuesOf(ofFlow, 'backend');
  const sources = new Set(ofFlow.map(({ line }) => line.source));
  const around = lines.filter(
    (timed) => isOnBackends(timed, backends, asked) || isOnProcess(timed, sources, span),
  );
  const chosen = inOrder([...ofFlow, ...around]);
  return { lines: chosen, findings: findingsOfFlow(chosen, ofFlow, asked) };
}

/** Ports are used again: a flow ends where the next first open of the same ends begins. */
function linesOfOneUse(
  ofFlow: readonly TimedLine[],
  tie: TimedLine | undefined,
): readonly TimedLine[] {
  if (tie === undefined) {
    return ofFlow;
  }
  const isFirstOpen = ({ line }: TimedLine) =>
    line.fields.get('copy') === '0' && line.fields.get('how') !== 'remembered';
  const starts = ofFlow.filter(isFirstOpen).map(({ atMs }) => atMs);
  const fromMs = Math.max(Number.NEGATIVE_INFINITY, ...starts.filter((atMs) => atMs <= tie.atMs));
  const untilMs = Math.min(Number.POSITIVE_INFINITY, ...starts.filter((atMs) => atMs > tie.atMs));
  return ofFlow.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
}

function isOnBackends(
  { line, atMs }: TimedLine,
  backends: ReadonlySet<string>,
  { fromMs, untilMs }: Span,
): boolean {
  const backend = line.fields.get('backend') ?? line.fields.get('backendId') ?? '';
  const isNear = atMs >= fromMs - LONG_BEFORE_MS && atMs <= untilMs + LONG_BEFORE_MS;
  return isNear && BACKEND_DECISIONS.has(line.name) && backends.has(backend);
}

function isOnProcess(
  { line, atMs }: TimedLine,
  sources: ReadonlySet<string>,
  { fromMs, untilMs }: Span,
): boolean {
  const isNear = atMs >= fromMs - BEFORE_FLOW_MS && atMs <= untilMs + AFTER_FLOW_MS;
  return isNear && PROCESS_DECISIONS.has(line.name) && sources.has(line.source);
}

function storyOfBackend(lines: readonly TimedLine[], id: string): StoryParts {
  const isOf = ({ line }: TimedLine) =>
    line.fields.get('backend') === id || line.fields.get('backendId') === id;
  const ofBackend = lines.filter(isOf);
  const beliefs = ofBackend.filter(({ line }) => BACKEND_DECISIONS.has(line.name));
  const placed = ofBackend.filter(({ line }) => line.name === 'placed');
  const last = placed.at(-1);
  const edges = [placed[0], last].filter((timed) => timed !== undefined);
  const findings = [
    `${placed.length} opens were placed on it in these logs; the first and the last are shown.`,
    ...beliefFindings(beliefs),
    ...latePlacements(placed, beliefs),
  ];
  return { lines: inOrder([...beliefs, ...edges]), findings };
}

function storyOfConfig(lines: readonly TimedLine[], version: string): StoryParts {
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
      `It came into force in ${sources.size} processes within ${Math.round(last - first)} ms.`,
      ...(others.size > 0 ? [`No line says so of: ${[...others].sort().join(', ')}.`] : []),
    ],
  };
}

/** A process that has just started gets what is in force: that says nothing of how fast changes travel. */
function isAtStart(lines: readonly TimedLine[], { line, atMs }: TimedLine): boolean {
  return lines.some(
    (other) =>
      other.line.name === 'started' &&
      other.line.source === line.source &&
      other.atMs <= atMs &&
      atMs - other.atMs <= BEFORE_FLOW_MS,
  );
}

/** Lines that were left out, and processes that ended without a word. */
function gapsOf(lines: readonly TimedLine[], span: Span | undefined): string[] {
  const gaps: string[] = [];
  const running = new Set<string>();
  for (const { line, atMs } of lines) {
    const isNear =
      span === undefined ||
      (atMs >= span.fromMs - BEFORE_FLOW_MS && atMs <= span.untilMs + AFTER_FLOW_MS);
    if (line.name === 'skipped' && isNear) {
      const kind = line.fields.get('kind') ?? '';
      gaps.push(`${line.source} left out ${line.fields.get('lines') ?? ''} lines of ${kind}.`);
    }
    if (line.name === 'started' && running.has(line.source) && isNear) {
      gaps.push(`${line.source} ended without a word before it started again.`);
    }
    if (line.name === 'stopping') {
      running.delete(line.source);
    } else {
      running.add(line.source);
    }
  }
  return gaps;
}

function inOrder(lines: readonly TimedLine[]): TimedLine[] {
  return [...new Set(lines)].sort((one, other) => one.atMs - other.atMs);
}
