/**
 * @file Formats Zod validation errors as one line. `zod/mini`, which daemons use, has no error messages by default, so the
 * English locale is configured here.
 */
import * as z from 'zod/mini';
import en from 'zod/v4/locales/en.js';

z.config(en());

/** Keeps the answer to a call short, whatever the number of invalid fields. */
const MAX_DESCRIBED_ISSUES = 20;

/**
 * @returns the issues on one line, each with the path of its field; those beyond the limit are only counted
 */
export function describeFaults(error: z.core.$ZodError): string {
  const { issues } = error;
  const described = issues
    .slice(0, MAX_DESCRIBED_ISSUES)
    .map(({ path, message }) => `${path.join('.') || '(top)'}: ${message}`);
  const more = issues.length - described.length;
  return [...described, ...(more > 0 ? [`and ${more} more`] : [])].join('; ');
}
