/**
 * @file Compares encoded forms with those kept in a file, so that a rename cannot change what is sent or stored.
 *
 * The files are never rewritten. `FROZEN_FORMS=add` adds forms that a file does not have yet.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import t from 'tap';

/** Names of forms with their encoded values, as JSON holds them. */
export type Forms = Readonly<Record<string, unknown>>;

const FOLDER = 'test/frozen-forms/forms';
const CAN_ADD = process.env.FROZEN_FORMS === 'add';

/** Adds one test per form of the file `forms/NAME.json`. A form that is missing on either side fails. */
export function testFrozenForms(name: string, forms: Forms): void {
  const file = `${FOLDER}/${name}.json`;
  const kept = existsSync(file) ? (JSON.parse(readFileSync(file, 'utf8')) as Forms) : {};
  const current = JSON.parse(JSON.stringify(forms)) as Forms;
  if (CAN_ADD) {
    writeFileSync(file, `${JSON.stringify({ ...current, ...kept }, undefined, 2)}\n`);
    return;
  }
  t.same(Object.keys(current).toSorted(), Object.keys(kept).toSorted(), `${file}: names of forms`);
  for (const [form, value] of Object.entries(current)) {
    t.strictSame(value, kept[form], `${file}: ${form}`);
  }
}

/** @returns bytes as text for a file of forms */
export function hexOf(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('hex');
}

/** @returns the bytes of a form that is kept in a file, or empty ones */
export function keptBytes(name: string, form: string): Buffer {
  const file = `${FOLDER}/${name}.json`;
  const kept = existsSync(file) ? (JSON.parse(readFileSync(file, 'utf8')) as Forms) : {};
  const value = kept[form];
  return Buffer.from(typeof value === 'string' ? value : '', 'hex');
}
