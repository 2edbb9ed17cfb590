/**
 * @file Loads the settings of a process: a YAML file, overridden by flags and validated by the schema of the process. Errors
 * give the file, the path of the option, the value found and what is allowed.
 */
import { readFileSync } from 'node:fs';
import { err, ok, Result } from 'neverthrow';
import { parse } from 'yaml';
import type { z } from 'zod';
import { amberliftError, type AmberliftError } from '../common/error-kinds.js';

/** A YAML mapping. */
type PlainObject = Record<string, unknown>;

/** The sources of settings. */
export interface SettingsSource {
  /** Path of a YAML file; absent if all settings are given as flags. */
  readonly file?: string | undefined;
  /** Overrides of the form `path.to.option=value`, with the value in YAML. */
  readonly overrides: readonly string[];
}

/**
 * @param schema the schema of the settings of the process
 * @returns the validated settings, or `invalid-settings`
 */
export function loadSettingsAs<Schema extends z.ZodType>(
  schema: Schema,
  source: SettingsSource,
): Result<z.infer<Schema>, AmberliftError> {
  return readFile(source.file)
    .andThen((base) => applyOverrides(base, source.overrides))
    .andThen((value) => check(schema, value, source.file ?? 'flags'));
}

function readFile(file: string | undefined): Result<PlainObject, AmberliftError> {
  if (file === undefined) {
    return ok({});
  }
  return Result.fromThrowable(
    () => parse(readFileSync(file, 'utf8')) as unknown,
    (cause) => amberliftError('invalid-settings', `${file}: ${String(cause)}`),
  )().andThen((value) =>
    isPlainObject(value)
      ? ok(value)
      : err(amberliftError('invalid-settings', `${file}: expected a mapping of options.`)),
  );
}

function applyOverrides(
  base: PlainObject,
  overrides: readonly string[],
): Result<PlainObject, AmberliftError> {
  const settings = structuredClone(base);
  for (const override of overrides) {
    const separator = override.indexOf('=');
    if (separator < 1) {
      const message = `--set ${override}: expected path.to.option=value.`;
      return err(amberliftError('invalid-settings', message));
    }
    const value = parse(override.slice(separator + 1)) as unknown;
    setPath(settings, override.slice(0, separator).split('.'), value);
  }
  return ok(settings);
}

function setPath(target: PlainObject, path: readonly string[], value: unknown): void {
  const [head = '', ...rest] = path;
  if (rest.length === 0) {
    target[head] = value;
    return;
  }
  const existing = target[head];
  const child = isPlainObject(existing) ? existing : {};
  target[head] = child;
  setPath(child, rest, value);
}

function check<Schema extends z.ZodType>(
  schema: Schema,
  value: PlainObject,
  file: string,
): Result<z.infer<Schema>, AmberliftError> {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return ok(parsed.data);
  }
  const lines = parsed.error.issues.map((issue) => describeIssue(issue, value, file));
  return err(amberliftError('invalid-settings', lines.join('\n')));
}

function describeIssue(issue: z.core.$ZodIssue, value: PlainObject, file: string): string {
  const path = issue.path.join('.') || '(top)';
  const found = issue.path.reduce<unknown>(
    (current, key) => (isPlainObject(current) ? current[String(key)] : undefined),
    value,
  );
  const foundText = found === undefined ? 'nothing' : JSON.stringify(found);
  return `${file}: ${path}: found ${foundText}; ${issue.message}`;
}

function isPlainObject(value: unknown): value is PlainObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
