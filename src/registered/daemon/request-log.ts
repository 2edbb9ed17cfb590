/**
 * @file May a line on a single packet or request be written?
 *
 * Inputs: the kind of the line, its size, and how many lines and characters of that kind were written in the last second. A
 * flood of requests must not become a flood of lines, so each kind has a budget; what exceeds it is counted, and one line
 * `skipped kind=... lines=...` says how many.
 */
import { formatFields, type DecisionFields } from './decision-log.js';

/** The budget of each kind of line. */
export interface LineBudget {
  readonly linesPerSecond: number;
  readonly bytesPerSecond: number;
}

/** What the log needs of the world. */
export interface RequestLogOptions {
  nowMs(): number;
  /** Writes a line: the name of the decision and its fields as text. */
  write(name: string, fieldsText: string): void;
  readonly budget: LineBudget;
}

/** Writes the lines of decisions on packets and requests. */
export interface RequestLog {
  log(name: string, fields: DecisionFields): void;
  /** Says how many lines were left out in windows that are over; called on each tick of the process. */
  flush(): void;
}

/**
 * Enough for every flow of a balancer at today's load, and for a few at any load. What a line costs is not measured;
 * `skipped` lines on an ordinary day would show it too small.
 */
export const defaultLineBudget: LineBudget = { linesPerSecond: 150, bytesPerSecond: 32 * 1024 };

/** The budget is one a second, so a window is one. */
const WINDOW_MS = 1_000;

interface Window {
  readonly sinceMs: number;
  lines: number;
  bytes: number;
  skipped: number;
}

/**
 * @returns a log with nothing in it
 */
export function createRequestLog(options: RequestLogOptions): RequestLog {
  const { budget } = options;
  const windows = new Map<string, Window>();

  return { log, flush };

  function log(name: string, fields: DecisionFields): void {
    const nowMs = options.nowMs();
    const text = formatFields(fields);
    const window = windowOf(name, nowMs);
    const isWithin =
      window.lines < budget.linesPerSecond && window.bytes + text.length <= budget.bytesPerSecond;
    if (!isWithin) {
      window.skipped += 1;
      return;
    }
    window.lines += 1;
    window.bytes += text.length;
    options.write(name, text);
  }

  function flush(): void {
    const nowMs = options.nowMs();
    for (const [name, window] of windows) {
      if (nowMs - window.sinceMs >= WINDOW_MS) {
        close(name, window);
      }
    }
  }

  function windowOf(name: string, nowMs: number): Window {
    const known = windows.get(name);
    if (known !== undefined && nowMs - known.sinceMs < WINDOW_MS) {
      return known;
    }
    if (known !== undefined) {
      close(name, known);
    }
    const window: Window = { sinceMs: nowMs, lines: 0, bytes: 0, skipped: 0 };
    windows.set(name, window);
    return window;
  }

  function close(name: string, { skipped }: Window): void {
    windows.delete(name);
    if (skipped > 0) {
      options.write('skipped', formatFields({ kind: name, lines: skipped }));
    }
  }
}
