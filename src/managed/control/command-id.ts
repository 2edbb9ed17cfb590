/**
 * @file Command IDs. An ID may start with a timestamp, such as `20261202T065703Z-4f1c9a`, which lets its record
 * expire. Records of other IDs never expire, so their number is limited (`command-records.ts`).
 */

const TIMED_ID = /^(\d{4})(\d{2})(\d{2})T(\d{2})(\d{2})(\d{2})Z-/;

/**
 * @param issuedAtMs Unix time in milliseconds; truncated to the second
 * @param suffix makes the ID unique, such as random hex digits
 * @returns a command ID that starts with a timestamp
 */
export function timedCommandId(issuedAtMs: number, suffix: string): string {
  const time = new Date(issuedAtMs).toISOString().replace(/[-:]|\.\d+/g, '');
  return `${time}-${suffix}`;
}

/**
 * @returns the timestamp of the ID in Unix milliseconds, or undefined if it has none
 */
export function commandIssueTimeMs(commandId: string): number | undefined {
  const parts = TIMED_ID.exec(commandId)?.slice(1).map(Number);
  if (parts === undefined) {
    return undefined;
  }
  const [year = 0, month = 1, day = 1, hour = 0, minute = 0, second = 0] = parts;
  return Date.UTC(year, month - 1, day, hour, minute, second);
}
