/**
 * @file Zod schema of addresses, in a module of its own so that daemons which don't validate addresses need not load Zod.
 */
import { isIP } from 'node:net';
import { z } from 'zod';
import { MAX_PORT } from './address.js';

/** Schema of an address in settings, commands and messages. */
export const addressSchema = z.strictObject({
  host: z.string().refine((text) => isIP(text) !== 0, 'an IP address such as 127.0.0.1'),
  port: z.number().int().min(0).max(MAX_PORT),
});
