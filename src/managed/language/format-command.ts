/**
 * @file The statement of a command, as an operator would write it; used to show planned changes and
 * the audit log. Parsing it gives the same command again.
 */
import { match, P } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { ServiceLimits } from '../control/routing-config.js';
import type { OperatorCommand } from '../control/commands.js';

const DELAY_UNITS = [
  { name: 'd', lengthMs: 86_400_000 },
  { name: 'h', lengthMs: 3_600_000 },
  { name: 'm', lengthMs: 60_000 },
  { name: 's', lengthMs: 1_000 },
] as const;

/**
 * @returns the statement that means this command
 */
export function formatCommand(command: OperatorCommand): string {
  return match(command)
    .with({ type: 'define-service' }, ({ service, address, policy, limits }) =>
      joined(`define service ${service} at ${formatAddress(address)}`, [
        formatPolicy(policy),
        formatLimits(limits),
      ]),
    )
    .with({ type: 'change-service' }, ({ service, policy, limits, basedOnVersion }) =>
      joined(`change service ${service}`, [
        formatPolicy(policy),
        formatLimits(limits),
        formatVersion(basedOnVersion),
      ]),
    )
    .with({ type: 'retire-service' }, ({ service, basedOnVersion }) =>
      joined(`retire service ${service}`, [formatVersion(basedOnVersion)]),
    )
    .with({ type: 'add-backend' }, ({ service, address, healthAddress, zone, basedOnVersion }) =>
      joined(`add backend to ${service} at ${formatAddress(address)}`, [
        `health ${formatAddress(healthAddress)}`,
        `zone ${zone}`,
        formatVersion(basedOnVersion),
      ]),
    )
    .with({ type: 'drain-backend' }, ({ backendId, basedOnVersion }) =>
      joined(`drain backend ${backendId}`, [formatVersion(basedOnVersion)]),
    )
    .with({ type: 'cancel-drain' }, ({ backendId, basedOnVersion }) =>
      joined(`cancel drain backend ${backendId}`, [formatVersion(basedOnVersion)]),
    )
    .with({ type: 'retire-backend' }, ({ backendId, basedOnVersion }) =>
      joined(`retire backend ${backendId}`, [formatVersion(basedOnVersion)]),
    )
    .with({ type: 'plan-change', when: { atMs: P.number } }, ({ when, change }) =>
      joined(`at ${formatTime(when.atMs)}`, [formatCommand(change)]),
    )
    .with({ type: 'plan-change', when: { inMs: P.number } }, ({ when, change }) =>
      joined(`in ${formatDelay(when.inMs)}`, [formatCommand(change)]),
    )
    .with({ type: 'cancel-plan' }, ({ planId }) => `cancel plan ${planId}`)
    .exhaustive();
}

/**
 * @param timeMs Unix time in milliseconds
 * @returns the time as statements have it, such as `2026-12-03T04:00:00Z`
 */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().replace('.000Z', 'Z');
}

/** The longest unit in which the delay is a whole number. */
function formatDelay(delayMs: number): string {
  const unit = DELAY_UNITS.find(({ lengthMs }) => delayMs % lengthMs === 0);
  return unit === undefined ? `${delayMs} ms` : `${delayMs / unit.lengthMs} ${unit.name}`;
}

/**
 * @returns the limits as statements have them; undefined where there are none
 */
export function formatLimits(limits: ServiceLimits | undefined): string | undefined {
  const { opensPerSecond, connectionsPerBackend } = limits ?? {};
  const parts = [
    ...(opensPerSecond === undefined ? [] : [`limit opens ${opensPerSecond}/s`]),
    ...(connectionsPerBackend === undefined
      ? []
      : [`limit connections ${connectionsPerBackend} per backend`]),
  ];
  return parts.length === 0 ? undefined : parts.join(' ');
}

function formatPolicy(policy: string | undefined): string | undefined {
  return policy === undefined ? undefined : `policy ${policy}`;
}

function formatVersion(version: number | undefined): string | undefined {
  return version === undefined ? undefined : `based on ${version}`;
}

function joined(first: string, others: readonly (string | undefined)[]): string {
  return [first, ...others.filter((part) => part !== undefined)].join(' ');
}
