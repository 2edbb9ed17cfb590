/**
 * @file Declared configurations in the form that every receiver takes: with bounded names, and within the bounds of the entries
 * of messages (group/entry-schemas.ts). What exceeds them is refused when it is declared; in what is stored already, it is left
 * out, so that the rest takes effect.
 */
import * as z from 'zod/mini';
import { describeFaults } from '../../shared/common/schema-faults.js';
import {
  MAX_COLUMN_ROWS,
  targetSchema,
  warmUpSchema,
  warmUpsSchema,
} from '../group/entry-schemas.js';
import { boundedName } from '../registry/bounded-name.js';
import { warmUpsOf } from './config-update.js';
import type {
  DeclaredConfig,
  DeclaredRoute,
  DeclaredService,
  WeightedTarget,
} from './declared-config.js';
import { usableIdleTimeoutMs } from './idle-timeout.js';

/** @returns the configuration with names that messages can carry, and an idle timeout that can be applied */
export function toReceivable(config: DeclaredConfig): DeclaredConfig {
  return {
    ...config,
    routes: config.routes.map(withBoundedTargets),
    services: config.services.map((service) => ({ ...service, name: boundedName(service.name) })),
    idleTimeoutMs: usableIdleTimeoutMs(config.idleTimeoutMs),
  };
}

function withBoundedTargets(route: DeclaredRoute): DeclaredRoute {
  const targets = route.targets.map(({ service, weight }) => ({
    service: boundedName(service),
    weight,
  }));
  return { ...route, targets };
}

/**
 * @param config in the form of `toReceivable`
 * @returns what no receiver can hold; undefined if there is nothing
 */
export function receiverFault(config: DeclaredConfig): string | undefined {
  const routeFault = config.routes
    .filter(({ targets }) => targets.length > MAX_COLUMN_ROWS)
    .map(({ name }) => `Route ${name} has more than ${MAX_COLUMN_ROWS} targets.`)[0];
  return (
    routeFault ??
    faultOf(z.array(targetSchema), distinctTargets(config), 'Targets') ??
    faultOf(warmUpsSchema, warmUpsOf(config), 'Slow starts')
  );
}

/** Most routes share a few targets. */
function distinctTargets({ routes }: DeclaredConfig): WeightedTarget[] {
  const distinct = new Map<string, WeightedTarget>();
  for (const target of routes.flatMap(({ targets }) => targets)) {
    distinct.set(`${target.weight} ${target.service}`, target);
  }
  return [...distinct.values()];
}

function faultOf(schema: z.ZodMiniType, value: unknown, what: string): string | undefined {
  const parsed = schema.safeParse(value);
  return parsed.success
    ? undefined
    : `${what} exceed what balancers can hold: ${describeFaults(parsed.error)}.`;
}

/** @returns a stored configuration without what no receiver can hold */
export function readStored(config: DeclaredConfig): DeclaredConfig {
  const receivable = toReceivable(config);
  if (receiverFault(receivable) === undefined) {
    return receivable;
  }
  return {
    ...receivable,
    routes: receivable.routes.map(withoutInvalidTargets),
    services: withoutInvalidWarmUps(receivable),
  };
}

function withoutInvalidTargets(route: DeclaredRoute): DeclaredRoute {
  const targets = route.targets.filter((target) => targetSchema.safeParse(target).success);
  return { ...route, targets: targets.length > MAX_COLUMN_ROWS ? [] : targets };
}

/** Without their slow start, back ends of a service take their full share at once. */
function withoutInvalidWarmUps(config: DeclaredConfig): DeclaredService[] {
  const areTooMany = warmUpsOf(config).length > MAX_COLUMN_ROWS;
  return config.services.map((service) => {
    const warmUps = warmUpsOf({ services: [service] });
    const isValid = !areTooMany && warmUps.every((one) => warmUpSchema.safeParse(one).success);
    return isValid ? service : { name: service.name };
  });
}
