/**
 * @file Queries that an operator may ask. Each answer holds only what belongs to that operator.
 */
import { z } from 'zod';
import { MAX_COMMAND_ID_LENGTH, nameSchema } from './commands.js';

const positive = z.number().int().positive();

/** Schema of every query. */
export const operatorQuerySchema = z.discriminatedUnion('type', [
  /** All services of the operator. */
  z.strictObject({ type: z.literal('services') }),
  /** One service with its back ends. */
  z.strictObject({ type: z.literal('service'), service: nameSchema }),
  /** Back ends of all services, or of one. */
  z.strictObject({ type: z.literal('backends'), service: nameSchema.optional() }),
  /** Planned changes, and accepted ones that are not in force everywhere. */
  z.strictObject({ type: z.literal('changes') }),
  /** What is committed, what is in force everywhere, and who lags. */
  z.strictObject({ type: z.literal('in-force') }),
  /** The balancers that lag. */
  z.strictObject({ type: z.literal('balancers') }),
  /** The shared capacity, as totals. */
  z.strictObject({ type: z.literal('capacity') }),
  /** The operator's audit log, or its last lines. */
  z.strictObject({ type: z.literal('audit'), last: positive.optional() }),
  z.strictObject({ type: z.literal('explain-backend'), backendId: positive }),
  z.strictObject({
    type: z.literal('explain-command'),
    commandId: z.string().min(1).max(MAX_COMMAND_ID_LENGTH),
  }),
]);

/** A query of an operator. */
export type OperatorQuery = z.infer<typeof operatorQuerySchema>;
