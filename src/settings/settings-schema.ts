/**
 * @file The schema of settings files, with the default of each option. One file format, YAML, for
 * all processes; each reads the sections that it needs.
 */
import { z } from 'zod';
import { parseAddress } from '../common/address.js';
import { logLevels } from '../common/logger.js';
import { addressRangeText, nameSchema } from '../control/commands.js';
import { defaultBalancerOptions } from '../balancer/balancer-state.js';

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
  /** UDP address for packets from the fabric; port 0 lets the system choose. */
  frontAddress: addressText.prefault('127.0.0.1:0'),
  /** UDP address from which back ends are spoken to. */
  backAddress: addressText.prefault('127.0.0.1:0'),
  /** UDP address for gossip with other balancers. */
  gossipAddress: addressText.prefault('127.0.0.1:0'),
  /** TCP address at which other balancers get the configuration from this one. */
  linkAddress: addressText.prefault('127.0.0.1:0'),
  /** Gossip addresses of other balancers, from the platform's list; some of them may be gone. */
  seeds: z.array(addressText).default([]),
  /** Addresses of the control machines. */
  controlAddresses: z.array(addressText).default([]),
  /** Bound of pending opens; each owner has an equal part. */
  maxPendingOpens: positive.default(defaultBalancerOptions.maxPendingOpens),
  /** Opens a second; each owner has an equal part, and what the others leave unused. */
  maxOpensPerSecond: positive.default(defaultBalancerOptions.maxOpensPerSecond),
  /** How long one back end may take to answer an open, in milliseconds. */
  openAttemptTimeoutMs: positive.default(defaultBalancerOptions.openAttemptTimeoutMs),
  /** How many back ends an open is tried on. */
  maxOpenAttempts: positive.default(defaultBalancerOptions.maxOpenAttempts),
  /** Time between two health probes of a back end, in milliseconds. */
  probeIntervalMs: positive.default(defaultBalancerOptions.probeIntervalMs),
  /** How long a planned stop goes on forwarding while the fabric's list lags, in milliseconds. */
  stopGraceMs: z.number().int().min(0).default(6000),
});

const controlSection = z.strictObject({
  /** TCP address that balancers connect to. */
  linkAddress: addressText.prefault('127.0.0.1:0'),
  /** HTTP address of the operator interface. */
  operatorAddress: addressText.prefault('127.0.0.1:0'),
  /**
   * The other control machines with which a new cluster begins, the same list on all; a machine with
   * an empty disk announces itself to them.
   */
  peers: z
    .array(z.strictObject({ nodeId: z.string().min(1), linkAddress: addressText }))
    .default([]),
  /** Bearer token for changes of the control machines themselves; without it there are none. */
  adminToken: z.string().min(MIN_KEY_LENGTH).optional(),
  /** Certificate and key of the operator interface (PEM files); without them it has no TLS. */
  operatorTls: z
    .strictObject({ certificateFile: z.string().min(1), keyFile: z.string().min(1) })
    .optional(),
  /** Operators and their bearer tokens, taken at the first start of a cluster. */
  operators: z
    .array(
      z.strictObject({
        name: nameSchema,
        token: z.string().min(MIN_KEY_LENGTH),
        /**
         * Ranges that this operator's addresses must lie in, and no other operator's may, such as
         * `10.1.0.0/16:7000-7999`. Without any, all addresses but those granted to others.
         */
        addressRanges: z.array(addressRangeText).optional(),
      }),
    )
    .default([]),
});

/** Schema of a whole settings file. */
export const settingsSchema = z.strictObject({
  /** Name of this process in logs and lists; unique in the cluster. */
  nodeId: z.string().min(1),
  /** Zone that this process runs in. */
  zone: z.string().min(1).default('zone-a'),
  /** Folder for all files of this process; daemons with state need it. */
  dataFolder: z.string().min(1).optional(),
  /** Shared by all processes of one cluster; links with another key are refused. */
  clusterKey: z.string().min(MIN_KEY_LENGTH),
  /** HTTP address of `/metrics` and `/health`; without it there are none. */
  metricsAddress: addressText.optional(),
  /** Lowest log level that is written. */
  logLevel: z.enum(logLevels).default('info'),
  balancer: balancerSection.prefault({}),
  control: controlSection.prefault({}),
});

/** The checked settings of a process. */
export type Settings = z.infer<typeof settingsSchema>;
