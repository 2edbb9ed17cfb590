/**
 * @file Rate-limited log for lines on single packets or requests, so that a flood of requests can't flood the log. Each
 * kind of line has a budget per second; a line `skipped kind=... lines=...` reports the number that exceeded it.
 */
import { formatFields, type DecisionFields } from './decision-log.js';

/** Budget of each kind of line. */
export interface LineBudget {
  readonly linesPerSecond: number;
  readonly bytesPerSecond: number;
}

/** Options and dependencies of the log. */
export interface RequestLogOptions {
  nowMs(): number;
  /** Writes a line with the name of the decision and its formatted fields. */
  write(name: string, fieldsText: string): void;
  readonly budget: LineBudget;
}

/** Rate-limited log of decisions on packets and requests. */
export interface RequestLog {
  log(name: string, fields: DecisionFields): void;
  /** Reports the skipped lines of windows that have ended; called on each tick. */
  flush(): void;
}

/** Budget of a balancer; enough to log every flow under ordinary load. */
export const defaultLineBudget: LineBudget = { linesPerSecond: 150, bytesPerSecond: 32 * 1024 };

const WINDOW_MS = 1_000;

interface Window {
  readonly startedAtMs: number;
  lines: number;
  bytes: number;
  skipped: number;
}

/** @returns a log with unused budgets */
export function createRequestLog(options: RequestLogOptions): RequestLog {
  const { budget } = options;
  const windows = new Map<string, Window>();

  return { log, flush };

  function log(name: string, fields: DecisionFields): void {
    const nowMs = options.nowMs();
    const text = formatFields(fields);
    const window = windowOf(name, nowMs);
    const isWithinBudget =
      window.lines < budget.linesPerSecond && window.bytes + text.length <= budget.bytesPerSecond;
    if (!isWithinBudget) {
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
      if (nowMs - window.startedAtMs >= WINDOW_MS) {
        close(name, window);
      }
    }
  }

  function windowOf(name: string, nowMs: number): Window {
    const current = windows.get(name);
    if (current !== undefined && nowMs - current.startedAtMs < WINDOW_MS) {
      return current;
    }
    if (current !== undefined) {
      close(name, current);
    }
    const window: Window = { startedAtMs: nowMs, lines: 0, bytes: 0, skipped: 0 };
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
