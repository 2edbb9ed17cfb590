/**
 * @file Reports from the HTTP endpoints `/health` and `/load` of a back end. They may be outdated or wrong.
 */
import { z } from 'zod';

const MAX_UINT32 = 0xffff_ffff;
const count = z.number().int().min(0);

/** Response body of `GET /health`. */
export const healthReportSchema = z.object({
  backendId: count.optional(),
  /** Changes whenever the back end process restarts. */
  incarnation: count.max(MAX_UINT32),
  state: z.enum(['starting', 'ready', 'draining']),
});

/** Response body of `GET /load`. */
export const loadReportSchema = z.object({
  connections: count,
  connectionLimit: count,
  busySlots: count,
  slots: count,
  queuedRequests: count,
});

/** Health as reported by a back end. */
export type HealthReport = z.infer<typeof healthReportSchema>;
/** Load as reported by a back end. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Result of one probe. */
export interface ProbeResult {
  readonly backendId: number;
  /** Undefined if the endpoint timed out or its response was invalid; the same goes for `load`. */
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}
