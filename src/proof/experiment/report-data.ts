/**
 * @file The figures and series that a fleet run keeps in a file, checked when a report reads them.
 */
import { z } from 'zod';

const number = z.number();

/** Schema of the file that `amberlift fleet --output` writes. */
export const fleetResultSchema = z.object({
  figures: z
    .object({ deployment: z.string(), scenario: z.string(), seed: number })
    .catchall(z.unknown()),
  timeline: z.array(
    z.object({
      second: number,
      answered: number,
      refused: number,
      outcomeUnknown: number,
      latencyP50Ms: number,
      latencyP99Ms: number,
    }),
  ),
  events: z.array(z.object({ atSeconds: number, text: z.string() })),
  sampleTimes: z.array(number),
  backends: z.array(
    z.object({ name: z.string(), service: z.string(), connections: z.array(number.nullable()) }),
  ),
});

/** What a report is made of. */
export type ReportData = z.infer<typeof fleetResultSchema>;
