/**
 * @file Schema and defaults of the YAML settings file that balancers and control machines share; each
 * process reads the sections that it needs.
 */
import { z } from 'zod';
import { parseAddress } from '../../shared/common/address.js';
import { logLevels } from '../../shared/common/logger.js';
import { addressRangeSchema, nameSchema } from '../control/commands.js';
import { defaultBalancerOptions } from '../balancer/balancer-options.js';

/** Minimum length of keys and tokens in characters; rejects empty and trivial ones. */
const MIN_KEY_LENGTH = 8;

/** An address written as `host:port`. */
const addressText = z.string().transform((text, context) => {
  const address = parseAddress(text);
  if (address === undefined) {
    context.addIssue({ code: 'custom', message: 'allowed: IP:PORT, such as 127.0.0.1:7000' });
    return z.NEVER;
  }
  return address;
});

const positive = z.number().int().positive();

const balancerSection = z.strictObject({
  frontAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('UDP address for packets from the fabric; port 0 lets the system choose.'),
  backAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('UDP address from which back ends are spoken to.'),
  gossipAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('UDP address for gossip with other balancers.'),
  linkAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('TCP address at which other balancers get the configuration from this one.'),
  seeds: z
    .array(addressText)
    .default([])
    .describe(
      "Gossip addresses of other balancers, from the platform's list; some of them may be gone.",
    ),
  controlAddresses: z.array(addressText).default([]).describe('Addresses of the control machines.'),
  maxPendingOpens: positive
    .default(defaultBalancerOptions.maxPendingOpens)
    .describe('Bound of pending opens; each owner has an equal part.'),
  maxOpensPerSecond: positive
    .default(defaultBalancerOptions.maxOpensPerSecond)
    .describe('Opens a second; each owner has an equal part, and what the others leave unused.'),
  openAttemptTimeoutMs: positive
    .default(defaultBalancerOptions.openAttemptTimeoutMs)
    .describe('How long one back end may take to answer an open, in milliseconds.'),
  maxOpenAttempts: positive
    .default(defaultBalancerOptions.maxOpenAttempts)
    .describe('How many back ends an open is tried on.'),
  probeIntervalMs: positive
    .default(defaultBalancerOptions.probeIntervalMs)
    .describe('Time between two health probes of a back end, in milliseconds.'),
  stopGraceMs: z
    .number()
    .int()
    .min(0)
    .default(6000)
    .describe(
      "How long a planned stop goes on forwarding while the fabric's list lags, in milliseconds.",
    ),
});

const controlSection = z.strictObject({
  linkAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('TCP address that balancers connect to.'),
  operatorAddress: addressText
    .prefault('127.0.0.1:0')
    .describe('HTTP address of the operator interface.'),
  peers: z
    .array(z.strictObject({ nodeId: z.string().min(1), linkAddress: addressText }))
    .default([])
    .describe(
      'The other control machines with which a new cluster begins, the same list on all; a machine with an empty disk announces itself to them.',
    ),
  adminToken: z
    .string()
    .min(MIN_KEY_LENGTH)
    .optional()
    .describe(
      'Bearer token for changes of the control machines themselves; without it there are none.',
    ),
  operatorTls: z
    .strictObject({ certificateFile: z.string().min(1), keyFile: z.string().min(1) })
    .optional()
    .describe(
      'Certificate and key of the operator interface (PEM files); without them it has no TLS.',
    ),
  operators: z
    .array(
      z.strictObject({
        name: nameSchema,
        token: z.string().min(MIN_KEY_LENGTH),
        /**
         * Ranges reserved for this operator, such as `10.1.0.0/16:7000-7999`; all its addresses must lie in
         * them. Without it, the operator may use all addresses that are not reserved for others.
         */
        addressRanges: z.array(addressRangeSchema).optional(),
      }),
    )
    .default([])
    .describe('Operators and their bearer tokens, taken at the first start of a cluster.'),
});

/** Schema of a whole settings file. */
export const settingsSchema = z.strictObject({
  nodeId: z
    .string()
    .min(1)
    .describe('Name of this process in logs and lists; unique in the cluster.'),
  zone: z.string().min(1).default('zone-a').describe('Zone that this process runs in.'),
  dataFolder: z
    .string()
    .min(1)
    .optional()
    .describe('Folder for all files of this process; daemons with state need it.'),
  clusterKey: z
    .string()
    .min(MIN_KEY_LENGTH)
    .describe('Shared by all processes of one cluster; links with another key are refused.'),
  metricsAddress: addressText
    .optional()
    .describe('HTTP address of `/metrics` and `/health`; without it there are none.'),
  logLevel: z.enum(logLevels).default('info').describe('Lowest log level that is written.'),
  balancer: balancerSection.prefault({}).describe('Read by balancers.'),
  control: controlSection.prefault({}).describe('Read by control machines.'),
});

/** The validated settings of a process. */
export type Settings = z.infer<typeof settingsSchema>;
