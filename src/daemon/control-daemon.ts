/**
 * @file The control daemon: holds the replicated state, answers operators, and keeps balancers up
 * to date.
 */
import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Address } from '../common/address.js';
import { loggerFor } from '../common/logger.js';
import { operatorTokenHash } from '../control/command-hash.js';
import { SYSTEM_OPERATOR } from '../control/commands.js';
import { amberliftError, type AmberliftError } from '../flow/error-kinds.js';
import { TOKEN_KEY_LENGTH_BYTES } from '../flow/token.js';
import type { Settings } from '../settings/settings-schema.js';
import { ConfigPublisher } from './config-publisher.js';
import { listenHttp } from './http-server.js';
import { listenForLinks } from './message-link.js';
import { operatorApi } from './operator-api.js';
import { SingleNodeLog } from './single-node-log.js';

const HEARTBEAT_INTERVAL_MS = 500;
const FIRST_KEY_ID = 1;

/** A running control daemon. */
export interface ControlDaemon {
  readonly linkAddress: Address;
  readonly operatorAddress: Address;
  stop(): Promise<void>;
}

/**
 * Starts a control daemon.
 * @returns the daemon, or `invalid-settings` where it has no data folder
 */
export async function startControlDaemon(
  settings: Settings,
): Promise<Result<ControlDaemon, AmberliftError>> {
  const { dataFolder } = settings;
  if (dataFolder === undefined) {
    return err(amberliftError('invalid-settings', 'dataFolder: a control machine needs one.'));
  }
  const logger = loggerFor('control');
  const publisherSlot: { publisher?: ConfigPublisher } = {};
  const log = await SingleNodeLog.open(dataFolder, (position, { changes }) =>
    publisherSlot.publisher?.publish(position, changes),
  );
  const publisher = new ConfigPublisher(log.state, settings.clusterKey, logger);
  publisherSlot.publisher = publisher;
  await bootstrap(log, settings);
  const links = await listenForLinks(settings.control.linkAddress, publisher);
  const http = await listenHttp(
    settings.control.operatorAddress,
    operatorApi({
      state: log.state,
      propose: (entry) => log.propose(entry),
      subscribers: () => publisher.subscriberViews(),
    }),
  );
  const timer = setInterval(() => publisher.sendHeartbeats(), HEARTBEAT_INTERVAL_MS);
  logger.info(`Control machine ${settings.nodeId} is ready at index ${log.state.index}.`);
  return ok({
    linkAddress: links.address,
    operatorAddress: http.address,
    stop: async () => {
      clearInterval(timer);
      await Promise.all([links.close(), http.close()]);
      await log.close();
    },
  });
}

/** Puts operators and the first token key into the log of a new cluster. */
async function bootstrap(log: SingleNodeLog, settings: Settings): Promise<void> {
  if (log.state.index > 0) {
    return;
  }
  const operators = settings.control.operators.map(({ name, token }) => ({
    name,
    tokenHash: operatorTokenHash(token),
  }));
  await log.propose({
    commandId: 'bootstrap-operators',
    operator: SYSTEM_OPERATOR,
    command: { type: 'set-operators', operators },
  });
  await log.propose({
    commandId: 'bootstrap-token-key',
    operator: SYSTEM_OPERATOR,
    command: {
      type: 'set-token-key',
      id: FIRST_KEY_ID,
      secret: randomBytes(TOKEN_KEY_LENGTH_BYTES),
      state: 'current',
    },
  });
}
