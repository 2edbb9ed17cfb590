/**
 * @file A deployment of a fleet: its zones, daemons and services, read from a folder with three YAML
 * files: `deployment.yaml`, and the settings of all balancers and of all control machines.
 */
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { err, ok, Result } from 'neverthrow';
import { parse } from 'yaml';
import { z } from 'zod';
import { placementPolicyNames } from '../../managed/control/cluster-state.js';
import { amberliftError, type AmberliftError } from '../../shared/common/error-kinds.js';
import { loadSettings } from '../../managed/settings/load-settings.js';
import type { Settings } from '../../managed/settings/settings-schema.js';

const count = z.number().int().positive();
const durationMs = z.number().min(0);

const serviceSchema = z.strictObject({
  name: z.string().min(1),
  /** The operator who owns it; the control settings hold the bearer token. */
  operator: z.string().min(1),
  policy: z.enum(placementPolicyNames).default('adaptive'),
  backends: count,
  /** Requests that one back end runs at the same time. */
  slots: count,
  /** Flows that one back end holds. */
  connections: count,
  /** Requests that may wait at one back end. */
  queue: count.default(200),
  /** Mean time that a request runs. */
  serviceTimeMs: z.number().positive(),
  /** Time after the start of a back end before it is ready. */
  warmUpMs: durationMs.default(0),
  /** Length of an answer. */
  answerBytes: count,
});

/** Schema of a deployment file. */
export const deploymentSchema = z.strictObject({
  name: z.string().min(1),
  /** Balancers, back ends and control machines are spread over them in turn. */
  zones: z.array(z.string().min(1)).min(1),
  /** Time between two zones, one way. */
  crossZoneDelayMs: durationMs,
  /** Time to callers, one way. */
  callerDelayMs: durationMs,
  balancers: count,
  controlMachines: count,
  /** The platform's list of balancers is late by this. */
  platformLagMs: durationMs,
  services: z.array(serviceSchema).min(1),
});

/** A service of a deployment. */
export type DeployedService = z.infer<typeof serviceSchema>;
/** A deployment without its settings files. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Where the settings of the daemons come from. */
export interface DaemonSettings {
  /** Settings files; absent where overrides say everything. */
  readonly balancerFile?: string | undefined;
  readonly controlFile?: string | undefined;
  /** The checked settings of the control machines, for tokens and keys. */
  readonly control: Settings;
}

/** A deployment with its settings files. */
export interface LoadedDeployment {
  readonly deployment: Deployment;
  readonly settings: DaemonSettings;
}

/**
 * Reads a YAML file and checks it.
 * @returns its value, or `invalid-settings` with the file and the path in it
 */
export function readYamlFile<Value>(
  file: string,
  schema: z.ZodType<Value>,
): Result<Value, AmberliftError> {
  return Result.fromThrowable(
    () => parse(readFileSync(file, 'utf8')) as unknown,
    (cause) => amberliftError('invalid-settings', `${file}: ${String(cause)}`),
  )().andThen((value) => {
    const parsed = schema.safeParse(value);
    return parsed.success
      ? ok(parsed.data)
      : err(amberliftError('invalid-settings', `${file}: ${z.prettifyError(parsed.error)}`));
  });
}

/**
 * @param folder with `deployment.yaml`, `balancer.yaml` and `control.yaml`
 * @returns the deployment, or `invalid-settings`
 */
export function loadDeployment(folder: string): Result<LoadedDeployment, AmberliftError> {
  const balancerFile = join(folder, 'balancer.yaml');
  const controlFile = join(folder, 'control.yaml');
  return loadSettings({ file: balancerFile, overrides: [] })
    .andThen(() => loadSettings({ file: controlFile, overrides: [] }))
    .andThen((control) =>
      readYamlFile(join(folder, 'deployment.yaml'), deploymentSchema).andThen((deployment) =>
        checkOwners(deployment, control, controlFile).map(() => ({
          deployment,
          settings: { balancerFile, controlFile, control },
        })),
      ),
    );
}

function checkOwners(
  deployment: Deployment,
  { control }: Settings,
  controlFile: string,
): Result<void, AmberliftError> {
  const operators = new Set(control.operators.map(({ name }) => name));
  const unowned = deployment.services.find(({ operator }) => !operators.has(operator));
  if (unowned === undefined) {
    return ok(undefined);
  }
  const message = `control.operators lacks ${unowned.operator}, who owns ${unowned.name}.`;
  return err(amberliftError('invalid-settings', `${controlFile}: ${message}`));
}
