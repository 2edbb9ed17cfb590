/** @file Guards against a settings reference that differs from the schemas. */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { exitCodes } from '../../../src/shared/common/error-kinds.js';
import { settingsReference } from '../../../src/tools/settings-reference/settings-reference.js';
import { settingsSchema } from '../../../src/managed/settings/settings-schema.js';
import { SETTINGS_REFERENCE_FILE, settingsReferenceSource } from './reference-source.js';

t.test('docs/SETTINGS.md matches the schemas; if not, run npm run generate', async (t) => {
  t.equal(readFileSync(SETTINGS_REFERENCE_FILE, 'utf8'), await settingsReferenceSource());
});

t.test('every option has a row with a description', async (t) => {
  const lines = settingsReference().split('\n');
  const settings = settingsSchema.parse({ nodeId: 'a', clusterKey: 'cluster-key' });
  for (const section of ['balancer', 'control'] as const) {
    for (const option of Object.keys(settings[section])) {
      const line = lines.find((text) => text.startsWith(`| \`${section}.${option}\``));
      t.match(line, /\| [A-Z][^|]*\. \|$/, `${section}.${option}`);
    }
  }
  t.notOk(lines.some((line) => line.includes('undefined')));
});

t.test('every exit code is listed exactly once', async (t) => {
  for (const code of Object.values(exitCodes)) {
    t.equal(settingsReference().split(`\n| ${code} |`).length, 2);
  }
});
