/**
 * @file Generates the text of docs/SETTINGS.md from the settings schemas and the exit codes.
 */
import { z } from 'zod';
import { exitCodes } from '../../shared/common/error-kinds.js';
import { settingsSchema } from '../../managed/settings/settings-schema.js';
import {
  groupSettingsSchema,
  ingressSettingsSchema,
} from '../../registered/settings/token-settings.js';

/** The JSON schema keywords that the reference shows. */
interface OptionSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly minLength?: number;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly properties?: Readonly<Record<string, OptionSchema>>;
  readonly required?: readonly string[];
  readonly items?: OptionSchema;
}

const exitCodeMeanings: Readonly<Record<keyof typeof exitCodes, string>> = {
  success: 'Done. Of `demo`: and all counts of harm are 0.',
  failure: 'Failed in another way. Of `demo`: some count of harm is not 0.',
  usage: 'The command line or a statement is wrong.',
  settings: 'A settings file or flag is wrong; the message names the option.',
  refused: 'The cluster refused the command for good; the same command would be refused again.',
  unavailable: 'No control machine could answer now; the same command may be sent again.',
  storage: 'The data folder is damaged, full, or belongs to another machine.',
};

/**
 * @returns the settings reference in Markdown
 */
export function settingsReference(): string {
  const codes = Object.entries(exitCodes).map(([name, code]) => {
    return `| ${code} | ${exitCodeMeanings[name as keyof typeof exitCodes]} |`;
  });
  return `# Settings

Made by \`npm run generate\` from the schemas of the settings; not to be edited by hand.

A process reads one YAML file, given by \`--config FILE\`, and overrides by \`--set path.to.option=value\`,
the value written as in YAML. An unknown option, a wrong type or a value out of bounds stops the start
with exit code ${exitCodes.settings} and a line with file, path, what was found and what is allowed.

## \`amberlift balancer\` and \`amberlift control\`

${tableOf(settingsSchema)}

## \`amberlift ingress\`

${tableOf(ingressSettingsSchema)}

## \`amberlift group\`

${tableOf(groupSettingsSchema)}

## Exit codes

| code | meaning |
| --- | --- |
${codes.join('\n')}
`;
}

function tableOf(schema: z.ZodType): string {
  const options = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as OptionSchema;
  const head = ['| option | type | default | meaning |', '| --- | --- | --- | --- |'];
  return [...head, ...rowsOf(options, '')].join('\n');
}

function rowsOf(schema: OptionSchema, prefix: string): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, option]) => {
    const path = `${prefix}${name}`;
    const isRequired = schema.required?.includes(name) === true;
    const row = `| \`${path}\` | ${typeOf(option)} | ${defaultOf(option, isRequired)} | ${option.description ?? ''} |`;
    const inner = option.items?.properties === undefined ? option : option.items;
    const innerPrefix = inner === option ? `${path}.` : `${path}[].`;
    return [row, ...rowsOf(inner, innerPrefix)];
  });
}

function typeOf(option: OptionSchema): string {
  if (option.enum !== undefined) {
    return option.enum.map((value) => `\`${value}\``).join(', ');
  }
  const bounds = [
    ...(option.minLength !== undefined ? [`at least ${option.minLength} long`] : []),
    ...(option.minimum !== undefined ? [`at least ${option.minimum}`] : []),
    ...(option.exclusiveMinimum !== undefined ? [`above ${option.exclusiveMinimum}`] : []),
  ];
  const type = option.type === 'array' ? `list of ${option.items?.type ?? 'values'}` : option.type;
  return [type ?? 'any', ...bounds].join(', ');
}

function defaultOf(option: OptionSchema, isRequired: boolean): string {
  if (isRequired) {
    return 'needed';
  }
  if (option.default === undefined || option.properties !== undefined) {
    return 'none';
  }
  return `\`${JSON.stringify(option.default)}\``;
}
