/**
 * @file Reads a recorded trace of the simulator, and picks the events that belong to one story: that of a
 * flow, a process, a command or a request.
 */
import { err, ok, type Result } from 'neverthrow';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import type { TraceEvent } from '../../proof/sim-managed/trace.js';
import type { TraceFileHeader } from '../../proof/sim-managed/violation-file.js';

/** A recorded run. */
export interface RecordedTrace {
  readonly header: TraceFileHeader;
  readonly events: readonly TraceEvent[];
}

/** Which events are printed; with several criteria, those that fit all. Times in milliseconds. */
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
 * @param content of a file that `amberlift simulate` wrote
 * @returns the run, or `invalid-settings` where the file is none
 */
export function parseTrace(content: string): Result<RecordedTrace, AmberliftError> {
  try {
    const [first = '', ...rest] = content.trimEnd().split('\n');
    const header = JSON.parse(first) as Partial<TraceFileHeader>;
    if (typeof header.scenario !== 'string' || typeof header.seed !== 'number') {
      return err(amberliftError('invalid-settings', 'The first line names no scenario and seed.'));
    }
    const events = rest.map((line) => JSON.parse(line) as TraceEvent);
    return ok({ header: header as TraceFileHeader, events });
  } catch (cause) {
    return err(amberliftError('invalid-settings', `The file is no trace: ${String(cause)}`));
  }
}

/**
 * @returns the events of the story, in order. A flow's story has the troubles of its back end, a command's
 *   has where it came into force.
 */
export function selectEvents(
  events: readonly TraceEvent[],
  filter: TraceFilter,
): readonly TraceEvent[] {
  const related = relatedTo(events, filter);
  return events.filter(
    (event) =>
      isInTime(event, filter) &&
      (filter.type === undefined || event.type === filter.type) &&
      belongs(event, filter, related),
  );
}

/** What else belongs to a story. */
interface Related {
  /** Back ends of the flow. */
  readonly backends: ReadonlySet<string>;
  /** Index at which the command was accepted. */
  readonly index: number | undefined;
}

function relatedTo(events: readonly TraceEvent[], filter: TraceFilter): Related {
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

function belongs(event: TraceEvent, filter: TraceFilter, related: Related): boolean {
  return (
    (filter.flow === undefined || belongsToFlow(event, filter.flow, related)) &&
    (filter.process === undefined || namesProcess(event, filter.process)) &&
    (filter.command === undefined || belongsToCommand(event, filter.command, related)) &&
    (filter.request === undefined ||
      ('requestNumber' in event && event.requestNumber === filter.request))
  );
}

function belongsToFlow(event: TraceEvent, flow: string, { backends }: Related): boolean {
  if ('flowId' in event) {
    return event.flowId === flow;
  }
  return touches(event, backends);
}

function belongsToCommand(event: TraceEvent, command: string, { index }: Related): boolean {
  if ('commandId' in event) {
    return event.commandId === command;
  }
  const isPosition = event.type === 'applied' || event.type === 'in-force';
  return isPosition && event.index === index;
}

/** True for the troubles of one of the processes. */
function touches(event: TraceEvent, processes: ReadonlySet<string>): boolean {
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
