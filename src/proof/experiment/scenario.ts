/**
 * @file What happens to a fleet during a run: load that comes in steps, and events.
 */
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import { readYamlFile } from './deployment.js';

const count = z.number().int().positive();
const seconds = z.number().min(0);
const share = z.number().gt(0).max(1);

const loadStepSchema = z.strictObject({
  /** From the start of the run. */
  atSeconds: seconds,
  /** The services that get it; absent for all. */
  services: z.array(z.string().min(1)).min(1).optional(),
  /** Sessions to add, as a share of the connections that the service's back ends hold. */
  connectionShare: share,
  /** Time over which the sessions start. */
  spreadSeconds: z.number().positive(),
  /** Share of the sessions that also hold a feed. */
  feedShare: z.number().min(0).max(1).default(0),
  /** Pause of a session between an answer and its next request; absent where it makes none. */
  pauseSeconds: z.number().positive().optional(),
});

/** What random faults may do. */
export const faultKinds = ['kill', 'pause', 'cut'] as const;

const eventSchema = z.discriminatedUnion('type', [
  /** Every balancer is replaced by a new one, one after the other, by planned stops. */
  z.strictObject({
    type: z.literal('replace-balancers'),
    atSeconds: seconds,
    intervalSeconds: z.number().positive(),
  }),
  /** Every control machine is replaced by a new one with an empty disk, one after the other. */
  z.strictObject({ type: z.literal('replace-control-machines'), atSeconds: seconds }),
  /** A share of the back ends of every service is drained at once; as many new ones are added before. */
  z.strictObject({ type: z.literal('drain-backends'), atSeconds: seconds, share }),
  /** Balancers and control machines are killed, paused or cut at random. */
  z.strictObject({
    type: z.literal('random-faults'),
    atSeconds: seconds,
    untilSeconds: seconds,
    count,
    kinds: z.array(z.enum(faultKinds)).min(1),
  }),
  /** Operators send changes, evenly spread. */
  z.strictObject({
    type: z.literal('operator-changes'),
    atSeconds: seconds,
    untilSeconds: seconds,
    count,
  }),
]);

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string().min(1),
  /** Length of the run; `--seconds` stretches or shrinks all times to another length. */
  seconds: z.number().positive(),
  /** Time between two notices that each service publishes to its feeds. */
  noticeIntervalSeconds: z.number().positive().default(2),
  load: z.array(loadStepSchema).min(1),
  events: z.array(eventSchema).default([]),
});

/** A scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** Sessions that come at a time. */
export type LoadStep = z.infer<typeof loadStepSchema>;
/** Something that happens at a time. */
export type ScenarioEvent = z.infer<typeof eventSchema>;
/** A kind of random fault. */
export type FaultKind = (typeof faultKinds)[number];

/**
 * @returns the scenario in a YAML file, or `invalid-settings`
 */
export function loadScenario(file: string): Result<Scenario, AmberliftError> {
  return readYamlFile(file, scenarioSchema);
}

/**
 * @returns the scenario with all points in time moved so that it takes another length; intervals,
 *   pauses and counts stay
 */
export function stretchScenario(scenario: Scenario, toSeconds: number): Scenario {
  const factor = toSeconds / scenario.seconds;
  return {
    ...scenario,
    seconds: toSeconds,
    load: scenario.load.map((step) => ({ ...step, atSeconds: step.atSeconds * factor })),
    events: scenario.events.map((event) => ({
      ...event,
      atSeconds: event.atSeconds * factor,
      ...('untilSeconds' in event && { untilSeconds: event.untilSeconds * factor }),
    })),
  };
}
