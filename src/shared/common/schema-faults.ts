/**
 * @file Formats Zod validation errors as one line. `zod/mini`, which daemons use, has no error messages by default, so the
 * English locale is configured here.
 */
import * as z from 'zod/mini';
import en from 'zod/v4/locales/en.js';

z.config(en());

/**
 * @returns all issues on one line, each with the path of its field
 */
export function describeFaults(error: z.core.$ZodError): string {
  return error.issues
    .map(({ path, message }) => `${path.join('.') || '(top)'}: ${message}`)
    .join('; ');
}
