/**
 * @file Formats a command as a statement, for planned changes and the audit log. Parsing the statement
 * gives an equal command.
 */
import { match, P } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { ServiceLimits } from '../control/routing-config.js';
import type { OperatorCommand } from '../control/commands.js';

const DELAY_UNITS = [
  { name: 'd', durationMs: 86_400_000 },
  { name: 'h', durationMs: 3_600_000 },
  { name: 'm', durationMs: 60_000 },
  { name: 's', durationMs: 1_000 },
] as const;

/**
 * @returns the statement for the command
 */
export function formatCommand(command: OperatorCommand): string {
  return match(command)
    .with({ type: 'define-service' }, ({ service, address, policy, limits }) =>
      joinParts(`define service ${service} at ${formatAddress(address)}`, [
        formatPolicy(policy),
        formatLimits(limits),
      ]),
    )
    .with({ type: 'change-service' }, ({ service, policy, limits, basedOnVersion }) =>
      joinParts(`change service ${service}`, [
        formatPolicy(policy),
        formatLimits(limits),
        formatBasedOn(basedOnVersion),
      ]),
    )
    .with({ type: 'retire-service' }, ({ service, basedOnVersion }) =>
      joinParts(`retire service ${service}`, [formatBasedOn(basedOnVersion)]),
    )
    .with({ type: 'add-backend' }, ({ service, address, healthAddress, zone, basedOnVersion }) =>
      joinParts(`add backend to ${service} at ${formatAddress(address)}`, [
        `health ${formatAddress(healthAddress)}`,
        `zone ${zone}`,
        formatBasedOn(basedOnVersion),
      ]),
    )
    .with({ type: 'drain-backend' }, ({ backendId, basedOnVersion }) =>
      joinParts(`drain backend ${backendId}`, [formatBasedOn(basedOnVersion)]),
    )
    .with({ type: 'cancel-drain' }, ({ backendId, basedOnVersion }) =>
      joinParts(`cancel drain backend ${backendId}`, [formatBasedOn(basedOnVersion)]),
    )
    .with({ type: 'retire-backend' }, ({ backendId, basedOnVersion }) =>
      joinParts(`retire backend ${backendId}`, [formatBasedOn(basedOnVersion)]),
    )
    .with({ type: 'plan-change', when: { atMs: P.number } }, ({ when, change }) =>
      joinParts(`at ${formatTime(when.atMs)}`, [formatCommand(change)]),
    )
    .with({ type: 'plan-change', when: { inMs: P.number } }, ({ when, change }) =>
      joinParts(`in ${formatDelay(when.inMs)}`, [formatCommand(change)]),
    )
    .with({ type: 'cancel-plan' }, ({ planId }) => `cancel plan ${planId}`)
    .exhaustive();
}

/**
 * @param timeMs Unix time in milliseconds
 * @returns the time in the syntax of statements, such as `2026-12-03T04:00:00Z`
 */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().replace('.000Z', 'Z');
}

/** Uses the largest unit in which the delay is an integer. */
function formatDelay(delayMs: number): string {
  const unit = DELAY_UNITS.find(({ durationMs }) => delayMs % durationMs === 0);
  return unit === undefined ? `${delayMs} ms` : `${delayMs / unit.durationMs} ${unit.name}`;
}

/**
 * @returns the limits in the syntax of statements; undefined if there are none
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

function formatBasedOn(version: number | undefined): string | undefined {
  return version === undefined ? undefined : `based on ${version}`;
}

function joinParts(prefix: string, parts: readonly (string | undefined)[]): string {
  return [prefix, ...parts.filter((part) => part !== undefined)].join(' ');
}
