/**
 * @file What a schema finds wrong, as one line for people. The small form of zod that daemons load has no
 * words of its own, so those of the English locale are put in force here.
 */
import * as z from 'zod/mini';
import en from 'zod/v4/locales/en.js';

z.config(en());

/**
 * @returns each fault with the path of its field, joined into one line
 */
export function describeFaults(error: z.core.$ZodError): string {
  return error.issues
    .map(({ path, message }) => `${path.join('.') || '(top)'}: ${message}`)
    .join('; ');
}
