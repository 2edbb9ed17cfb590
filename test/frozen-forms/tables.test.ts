/** @file Guards names that operators and their tools rely on: settings with their defaults, error kinds, exit codes. */
import { z } from 'zod';
import { answerFor, errorKinds, exitCodes } from '../../src/shared/common/error-kinds.js';
import { settingsSchema } from '../../src/managed/settings/settings-schema.js';
import {
  groupSettingsSchema,
  ingressSettingsSchema,
} from '../../src/registered/settings/token-settings.js';
import { testFrozenForms } from './frozen-forms.js';

const schemaOf = (schema: z.ZodType) =>
  z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });

testFrozenForms(
  'error-kinds',
  Object.fromEntries(errorKinds.map((kind) => [kind, answerFor(kind)])),
);
testFrozenForms('exit-codes', exitCodes);
testFrozenForms('settings', {
  'balancer and control': schemaOf(settingsSchema),
  ingress: schemaOf(ingressSettingsSchema),
  group: schemaOf(groupSettingsSchema),
});
