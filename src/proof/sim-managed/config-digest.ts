/**
 * @file Digest of a routing configuration, which the oracle uses to compare the configurations of
 * machines.
 */
import { createHash } from 'node:crypto';
import type { RoutingConfig } from '../../managed/control/routing-config.js';

const DIGEST_LENGTH = 16;

/**
 * @returns a hex digest that is independent of the order of services, back ends and keys
 */
export function configDigest(config: RoutingConfig): string {
  const { services, backends, keys } = config;
  const content = {
    services: byId([...services.values()]),
    backends: byId([...backends.values()]),
    keys: byId([...keys.values()]).map((key) => ({
      ...key,
      secret: Buffer.from(key.secret).toString('hex'),
    })),
  };
  const text = JSON.stringify(content);
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
}

function byId<T extends { readonly id: number }>(items: T[]): T[] {
  return items.sort((one, other) => one.id - other.id);
}
