/**
 * @file Command IDs. An ID that begins with the time at which it was made, such as `20261202T065703Z-4f1c9a`, shows by itself
 * that it is too old, so its record can be dropped after a while. The record of any other ID is kept for good, so an operator
 * has a limited number of these (`command-records.ts`).
 */

const TIMED_ID = /^(\d{4})(\d{2})(\d{2})T(\d{2})(\d{2})(\d{2})Z-/;

/**
 * @param issuedAtMs Unix time in milliseconds; kept to the second
 * @param suffix what makes the ID unique, such as random hex digits
 * @returns a command ID that carries its time
 */
export function timedCommandId(issuedAtMs: number, suffix: string): string {
  const time = new Date(issuedAtMs).toISOString().replace(/[-:]|\.\d+/g, '');
  return `${time}-${suffix}`;
}

/**
 * @returns the Unix time in milliseconds at which the ID was made, or undefined where it says none
 */
export function commandIssueTimeMs(commandId: string): number | undefined {
  const parts = TIMED_ID.exec(commandId)?.slice(1).map(Number);
  if (parts === undefined) {
    return undefined;
  }
  const [year = 0, month = 1, day = 1, hour = 0, minute = 0, second = 0] = parts;
  return Date.UTC(year, month - 1, day, hour, minute, second);
}
