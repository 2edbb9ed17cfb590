/** @file Settings schemas of `amberlift ingress` (balancer) and `amberlift group` (control machine). */
import { z } from 'zod';
import { parseAddress } from '../../shared/common/address.js';
import { logLevels } from '../../shared/common/logger.js';
import { defaultSwitches, switchValues } from '../decisions/mechanism-switches.js';

/** In characters; rejects empty and trivial tokens, but does not ensure a strong one. */
const MIN_TOKEN_LENGTH = 8;

/** An address as `host:port` with a fixed port, since other processes must know it before this one starts. */
const addressText = z.string().transform((text, context) => {
  const address = parseAddress(text);
  if (address === undefined || address.port === 0) {
    context.addIssue({ code: 'custom', message: 'allowed: IP:PORT, such as 127.0.0.1:7000' });
    return z.NEVER;
  }
  return address;
});
const positive = z.number().positive();

const boundsSection = z.strictObject({
  contactMs: positive
    .default(4_000)
    .describe('A machine keeps all bounds again this long after a disturbance, in milliseconds.'),
  applyMs: positive
    .default(3_000)
    .describe('A configuration is in force this long after its acknowledgement, in milliseconds.'),
  drainMs: positive
    .default(3_000)
    .describe(
      'A back end takes no new flow this long after its departure was acknowledged, in milliseconds.',
    ),
});

const sharedOptions = {
  name: z.string().min(1).describe('Name of this process in logs; unique in the deployment.'),
  logLevel: z.enum(logLevels).default('info').describe('Lowest log level that is written.'),
  metricsAddress: addressText
    .optional()
    .describe('HTTP address of `/metrics`; without it there is none.'),
  heartbeatIntervalMs: positive
    .default(1_000)
    .describe('Time between two heartbeats of a back end, in milliseconds.'),
  flowLifetimeMs: positive
    .default(60_000)
    .describe('A flow does not live longer, in milliseconds.'),
  bounds: boundsSection.prefault({}).describe('What must hold; the times out follow from it.'),
};

const policySection = z.strictObject({
  zones: policyOption('zones', 'Whether back ends of the own zone come first.'),
  warmUp: policyOption('warmUp', 'Slow start: cold back ends come later and get a bounded rate.'),
  toldLoads: policyOption('toldLoads', 'What the load that all other balancers report decides.'),
  silence: policyOption('silence', 'Whether suspect back ends get no new flows.'),
  choice: policyOption('choice', 'How one of the candidates that are left is drawn.'),
  failing: policyOption('failing', 'Ejection by answers: stalled flows, short answers.'),
  outliers: policyOption('outliers', 'Ejection by load: far more in progress than at the others.'),
  deadFlows: policyOption(
    'deadFlows',
    'Whether flows of a back end that is proven dead are reset.',
  ),
  starts: policyOption(
    'starts',
    'Whether tokens name the start of a back end; `plain` while balancers run that know of no starts.',
  ),
  opens: policyOption('opens', 'Whether balancers tell each other of opens; `own` breaks flows.'),
  learning: policyOption('learning', 'What becomes of opens while not all back ends are known.'),
  peerFeed: policyOption(
    'peerFeed',
    'Whether a balancer without a current control machine follows the feed of another balancer.',
  ),
  sharedEvidence: policyOption(
    'sharedEvidence',
    'Whether balancers share evidence of back ends that fail.',
  ),
  urgency: policyOption(
    'urgency',
    'Whether priority and latency objective of routes order packets.',
  ),
  recovery: policyOption(
    'recovery',
    'Whether a restarted balancer keeps early packets and connects to several control machines.',
  ),
});

/** A policy setting whose values and default come from mechanism-switches.ts. */
function policyOption<Name extends keyof typeof switchValues>(name: Name, description: string) {
  return z.enum(switchValues[name]).default(defaultSwitches[name]).describe(description);
}

const coldBoundsSection = z.strictObject({
  excess: positive
    .default(1)
    .describe('So many times what its service declares that a cold back end handles ...'),
  slackPerS: z
    .number()
    .min(0)
    .default(0)
    .describe('... and so many new flows more may reach it in any second, from all balancers.'),
});

/** Schema of the settings of `amberlift ingress`. */
export const ingressSettingsSchema = z.strictObject({
  ...sharedOptions,
  zone: z.string().min(1).default('zone-a').describe('Zone that this process runs in.'),
  packetAddress: addressText.describe('UDP address for packets of clients.'),
  peerAddress: addressText.describe('UDP address for messages of other balancers.'),
  readyAddress: addressText.describe('HTTP address that answers 200 while new flows may come.'),
  controlSeeds: z
    .array(addressText)
    .min(1)
    .describe('Link addresses of control machines; the others are learned from them.'),
  memoryMb: positive.optional().describe('What the process may take, in megabytes.'),
  linkRateMbps: positive
    .optional()
    .describe(
      'What the link of the machine carries, in megabits a second; packets are paced to it.',
    ),
  coldBounds: coldBoundsSection
    .optional()
    .describe('What a cold back end may be given; without it, cold ones only come later.'),
  policy: policySection
    .prefault({})
    .describe('Rules of placement that can be switched off; the defaults are the product.'),
  stopWithinMs: positive
    .default(4_000)
    .describe('The longest time that a planned stop goes on forwarding, in milliseconds.'),
});

/** Schema of the settings of `amberlift group`. */
export const groupSettingsSchema = z.strictObject({
  ...sharedOptions,
  zone: z.string().min(1).default('zone-a').describe('Zone that this process runs in.'),
  zones: z
    .array(z.string().min(1))
    .default([])
    .describe('All zones of the deployment; others are known once something runs there.'),
  dataFolder: z.string().min(1).describe('Folder for all files of this process.'),
  linkAddress: addressText.describe('TCP address for control machines and balancers.'),
  listenAddress: addressText
    .optional()
    .describe('TCP address to listen at, where a proxy stands at `linkAddress`.'),
  callAddress: addressText.describe('HTTP address for back ends and operators.'),
  seeds: z
    .array(addressText)
    .min(1)
    .describe('Link addresses of the machines with which the group begins, the same on all.'),
  isFirstStart: z
    .boolean()
    .default(false)
    .describe('True only when the whole group starts for the first time, with empty disks.'),
  tolerableLosses: z
    .number()
    .int()
    .min(0)
    .default(1)
    .describe('How many disks may be lost right after an acknowledgement.'),
  catchUpMs: positive
    .default(4_000)
    .describe('A machine with an empty disk counts again this long after its start.'),
  operatorToken: z
    .string()
    .min(MIN_TOKEN_LENGTH)
    .optional()
    .describe('Bearer token of operators, who declare and read configurations.'),
  recovery: policyOption(
    'recovery',
    'Whether a link to a control machine that has just been heard from is dialled again at once.',
  ),
});

/** Validated settings of a balancer that forwards by 32-bit tokens. */
export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** Validated settings of a control machine of a group. */
export type GroupSettings = z.infer<typeof groupSettingsSchema>;
