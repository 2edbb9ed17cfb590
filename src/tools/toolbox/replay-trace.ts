/**
 * @file Parses a recorded simulator trace and selects the events of a flow, a process, a command or a request.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { TraceEvent } from '../../proof/sim-managed/trace.js';
import type { TraceFileHeader } from '../../proof/sim-managed/violation-file.js';

/** Header and events of a recorded run. */
export interface RecordedTrace {
  readonly header: TraceFileHeader;
  readonly events: readonly TraceEvent[];
}

/** Criteria for events; an event must match all that are set. Times in milliseconds. */
export interface TraceFilter {
  readonly flow?: string | undefined;
  /** A balancer, back end, control machine, caller or operator. */
  readonly process?: string | undefined;
  readonly command?: string | undefined;
  readonly request?: number | undefined;
  /** Type of the event, such as `run`. */
  readonly type?: string | undefined;
  readonly fromMs?: number | undefined;
  readonly toMs?: number | undefined;
}

/**
 * @param content content of a trace file written by `amberlift simulate`
 * @returns the run, or `invalid-settings` if the content is not a trace
 */
export function parseTrace(content: string): Result<RecordedTrace, AmberliftError> {
  try {
    const [first = '', ...rest] = content.trimEnd().split('\n');
    const header = JSON.parse(first) as Partial<TraceFileHeader>;
    if (typeof header.scenario !== 'string' || typeof header.seed !== 'number') {
      return err(
        amberliftError(
          'invalid-settings',
          'The first line of the trace lacks a scenario or a seed.',
        ),
      );
    }
    const events = rest.map((line) => JSON.parse(line) as TraceEvent);
    return ok({ header: header as TraceFileHeader, events });
  } catch (cause) {
    return err(amberliftError('invalid-settings', `The file is not a trace: ${String(cause)}`));
  }
}

/**
 * @returns the matching events in order. A flow includes crashes and faults of its back ends; a command includes
 *   where it was applied and came into force.
 */
export function selectEvents(
  events: readonly TraceEvent[],
  filter: TraceFilter,
): readonly TraceEvent[] {
  const related = findRelated(events, filter);
  return events.filter(
    (event) =>
      isInTime(event, filter) &&
      (filter.type === undefined || event.type === filter.type) &&
      matchesFilter(event, filter, related),
  );
}

/** Entities related to the flow or command of a filter. */
interface Related {
  /** Back ends that accepted the flow. */
  readonly backends: ReadonlySet<string>;
  /** Log index at which the command was accepted. */
  readonly index: number | undefined;
}

function findRelated(events: readonly TraceEvent[], filter: TraceFilter): Related {
  const backends = new Set<string>();
  let index: number | undefined;
  for (const event of events) {
    if (event.type === 'flow-accepted' && event.flowId === filter.flow) {
      backends.add(event.backend);
    }
    if (event.type === 'command-answered' && event.commandId === filter.command) {
      index = event.index;
    }
  }
  return { backends, index };
}

function isInTime({ atMs }: TraceEvent, { fromMs = 0, toMs = Infinity }: TraceFilter): boolean {
  return atMs >= fromMs && atMs <= toMs;
}

function matchesFilter(event: TraceEvent, filter: TraceFilter, related: Related): boolean {
  return (
    (filter.flow === undefined || isPartOfFlow(event, filter.flow, related)) &&
    (filter.process === undefined || namesProcess(event, filter.process)) &&
    (filter.command === undefined || isPartOfCommand(event, filter.command, related)) &&
    (filter.request === undefined ||
      ('requestNumber' in event && event.requestNumber === filter.request))
  );
}

function isPartOfFlow(event: TraceEvent, flow: string, { backends }: Related): boolean {
  if ('flowId' in event) {
    return event.flowId === flow;
  }
  return affects(event, backends);
}

function isPartOfCommand(event: TraceEvent, command: string, { index }: Related): boolean {
  if ('commandId' in event) {
    return event.commandId === command;
  }
  const isProgress = event.type === 'applied' || event.type === 'in-force';
  return isProgress && event.index === index;
}

/** True for status changes and faults of one of the processes. */
function affects(event: TraceEvent, processes: ReadonlySet<string>): boolean {
  if (event.type === 'process') {
    return processes.has(event.process);
  }
  return event.type === 'fault' && event.targets.some((target) => processes.has(target));
}

function namesProcess(event: TraceEvent, process: string): boolean {
  return Object.values(event).some((value: unknown) =>
    Array.isArray(value) ? value.includes(process) : value === process,
  );
}
