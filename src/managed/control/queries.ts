/**
 * @file Schemas of operator queries. Answers contain only data of the operator who sent the query.
 */
import { z } from 'zod';
import { MAX_COMMAND_ID_LENGTH, nameSchema } from './commands.js';

const positiveInteger = z.number().int().positive();

/** Schema of all queries. */
export const operatorQuerySchema = z.discriminatedUnion('type', [
  /** All services of the operator. */
  z.strictObject({ type: z.literal('services') }),
  /** One service and its back ends. */
  z.strictObject({ type: z.literal('service'), service: nameSchema }),
  /** Back ends of one service, or of all services of the operator. */
  z.strictObject({ type: z.literal('backends'), service: nameSchema.optional() }),
  /** Planned changes, and accepted changes that are not yet in force on every balancer. */
  z.strictObject({ type: z.literal('changes') }),
  /** The committed revision, the revision in force on every balancer, and lagging balancers. */
  z.strictObject({ type: z.literal('in-force') }),
  /** Lagging balancers. */
  z.strictObject({ type: z.literal('balancers') }),
  /** Totals of the shared capacity. */
  z.strictObject({ type: z.literal('capacity') }),
  /** The operator's audit log, or only its last `last` entries. */
  z.strictObject({ type: z.literal('audit'), last: positiveInteger.optional() }),
  z.strictObject({ type: z.literal('explain-backend'), backendId: positiveInteger }),
  z.strictObject({
    type: z.literal('explain-command'),
    commandId: z.string().min(1).max(MAX_COMMAND_ID_LENGTH),
  }),
]);

/** A query sent by an operator. */
export type OperatorQuery = z.infer<typeof operatorQuerySchema>;
