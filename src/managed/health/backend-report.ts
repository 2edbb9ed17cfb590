/**
 * @file What the HTTP endpoints of a back end report: `/health` and `/load`. Both may lag or be wrong.
 */
import { z } from 'zod';

const MAX_UINT32 = 0xffff_ffff;
const count = z.number().int().min(0);

/** Schema of the answer of `GET /health`. */
export const healthReportSchema = z.object({
  backendId: count.optional(),
  /** Changes with every start of the back end process. */
  incarnation: count.max(MAX_UINT32),
  state: z.enum(['starting', 'ready', 'draining']),
});

/** Schema of the answer of `GET /load`. */
export const loadReportSchema = z.object({
  connections: count,
  connectionLimit: count,
  busySlots: count,
  slots: count,
  queuedRequests: count,
});

/** What a back end reports of its health. */
export type HealthReport = z.infer<typeof healthReportSchema>;
/** What a back end reports of its load. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** One probe's outcome. */
export interface ProbeResult {
  readonly backendId: number;
  /** Undefined where the endpoint did not answer in time or not by the schema. */
  readonly health: HealthReport | undefined;
  readonly load: LoadReport | undefined;
}
