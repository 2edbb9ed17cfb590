/**
 * @file Decides for how long an idle flow is remembered. A configuration may allow less time than is of any use, but it can't
 * demand that flows are forgotten.
 */

/** Keeps a flow between two of its requests; used if a configuration names no usable time. */
export const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** @returns the declared time in milliseconds; the default if it is absent, zero, negative or not a number */
export function usableIdleTimeoutMs(declaredMs: number | null | undefined): number {
  return Number.isFinite(declaredMs) && Number(declaredMs) > 0
    ? Number(declaredMs)
    : DEFAULT_IDLE_TIMEOUT_MS;
}
