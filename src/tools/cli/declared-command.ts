/**
 * @file Commands on declared configurations: `ctl apply FILE`, `ctl show config`, and the `--declared` flag of
 * `check` and `plan`.
 */
import { readFileSync } from 'node:fs';
import Table from 'cli-table3';
import { err, ok, Result } from 'neverthrow';
import { match } from 'ts-pattern';
import { parse } from 'yaml';
import type { DeclaredClient } from '../client/declared-client.js';
import type { DeclaredConfig, WeightedTarget } from '../../registered/declared/declared-config.js';
import { parseDeclaredConfig } from '../../registered/declared/parse-config.js';
import { amberliftError, exitCodes, type AmberliftError } from '../../shared/common/error-kinds.js';
import { planDeclared, type DeclaredPlan, type RouteChange } from '../toolbox/plan-declared.js';
import { reportError } from './daemon-command.js';

/** A `ctl` command on declared configurations. */
export type DeclaredCommand =
  { readonly type: 'apply'; readonly file: string } | { readonly type: 'show' };

const PERCENT = 100;

/**
 * @returns the parsed command, or undefined if the words are an operator statement
 */
export function parseDeclaredCommand(words: readonly string[]): DeclaredCommand | undefined {
  const [verb, object, ...rest] = words;
  if (verb === 'apply' && object !== undefined && rest.length === 0) {
    return { type: 'apply', file: object };
  }
  return verb === 'show' && object === 'config' && rest.length === 0 ? { type: 'show' } : undefined;
}

/** Runs the command, prints its result and sets the exit code. */
export async function runDeclaredCommand(
  command: DeclaredCommand,
  client: DeclaredClient,
  asJson: boolean,
): Promise<void> {
  const output = await match(command)
    .with({ type: 'apply' }, ({ file }) => apply(client, file, asJson))
    .with({ type: 'show' }, () => show(client, asJson))
    .exhaustive();
  output.match((text) => process.stdout.write(`${text}\n`), reportError);
}

/**
 * Reads a declared configuration in YAML or JSON.
 * @returns the configuration, or an `invalid-command` error with the file name and the reason
 */
export function readDeclaredFile(file: string): Result<DeclaredConfig, AmberliftError> {
  const content = Result.fromThrowable(
    () => parse(readFileSync(file, 'utf8')) as unknown,
    (cause) => amberliftError('invalid-command', String(cause)),
  )();
  return content
    .andThen(parseDeclaredConfig)
    .mapErr(({ kind, message }) => amberliftError(kind, `${file}: ${message}`));
}

/** Prints the changes a declared configuration would make and sets the exit code. */
export function printDeclaredPlan(
  file: string,
  currentFile: string | undefined,
  asJson: boolean,
): void {
  const current: Result<DeclaredConfig | undefined, AmberliftError> =
    currentFile === undefined ? ok(undefined) : readDeclaredFile(currentFile);
  const plan = current.andThen((currentConfig) =>
    readDeclaredFile(file).map((next) => planDeclared(currentConfig, next)),
  );
  plan.match((value) => {
    process.stdout.write(`${asJson ? JSON.stringify(value) : describePlan(value)}\n`);
    process.exitCode = value.takesEffect ? exitCodes.success : exitCodes.refused;
  }, reportError);
}

async function apply(
  client: DeclaredClient,
  file: string,
  asJson: boolean,
): Promise<Result<string, AmberliftError>> {
  const config = readDeclaredFile(file);
  if (config.isErr()) {
    return err(config.error);
  }
  const declared = await client.declare(config.value);
  if (declared.isErr()) {
    return err(declared.error);
  }
  // The group also acknowledges older versions, so read back which version is in force.
  const current = await client.read();
  const { version } = config.value;
  return current.map(({ version: heldVersion }) => {
    const sentence =
      heldVersion === version
        ? `Version ${version} holds.`
        : `Version ${version} was acknowledged; version ${heldVersion} holds.`;
    return asJson ? JSON.stringify({ version, heldVersion }) : sentence;
  });
}

async function show(
  client: DeclaredClient,
  asJson: boolean,
): Promise<Result<string, AmberliftError>> {
  const current = await client.read();
  return current.map((config) => (asJson ? JSON.stringify(config) : describeConfig(config)));
}

function describeConfig({ version, routes }: DeclaredConfig): string {
  const table = new Table({ head: ['route', 'at', 'services', 'time-out'] });
  for (const { name, host, port, targets, timeoutMs } of routes) {
    table.push([name, `${host}:${port}`, describeTargets(targets), `${timeoutMs} ms`]);
  }
  return `Version ${version} holds.\n${table.toString()}`;
}

function describeTargets(targets: readonly WeightedTarget[]): string {
  return targets.map(({ service, weight }) => `${service} ${weight}`).join(', ');
}

function describePlan(plan: DeclaredPlan): string {
  const currentVersion =
    plan.heldVersion === undefined ? 'no version' : `version ${plan.heldVersion}`;
  const effect = plan.takesEffect
    ? `Version ${plan.version} would follow ${currentVersion}.`
    : `Version ${plan.version} would change nothing: ${currentVersion} holds.`;
  const table = new Table({ head: ['route', 'at', 'what changes'] });
  for (const change of plan.routes) {
    const { name, host, port } = change.type === 'changed' ? change.after : change.route;
    table.push([name, `${host}:${port}`, describeChange(change)]);
  }
  return [
    effect,
    ...(plan.routes.length > 0 ? [table.toString()] : ['No route changes.']),
    ...(plan.servicesAdded.length > 0 ? [`Services added: ${plan.servicesAdded.join(', ')}.`] : []),
    ...(plan.servicesRemoved.length > 0
      ? [`Services removed: ${plan.servicesRemoved.join(', ')}.`]
      : []),
  ].join('\n');
}

function describeChange(change: RouteChange): string {
  switch (change.type) {
    case 'added':
      return `added: ${describeTargets(change.route.targets)}`;
    case 'removed':
      return 'removed: its open flows are cut';
    case 'changed': {
      const moved = Math.round(change.movedShare * PERCENT);
      return `${change.fields.join(', ')}; ${moved} % of new flows go elsewhere`;
    }
  }
}
