/**
 * @file `amberlift group`: runs a control machine that accepts declared configurations and heartbeats of back ends.
 */
import type { CAC } from 'cac';
import { createCallListener } from '../../registered/daemon/call-listener.js';
import { createDeclaredApi } from '../../registered/daemon/declared-api.js';
import { GroupDaemon } from '../../registered/daemon/group-daemon.js';
import { groupDurability } from '../../registered/daemon/group-durability.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { groupMetricsListener } from '../../registered/daemon/metrics/lazy-metrics.js';
import { readStoredConfig } from '../../registered/declared/parse-config.js';
import { timingFor } from '../../registered/group/timing.js';
import { boundedName } from '../../registered/registry/bounded-name.js';
import { groupSettingsSchema } from '../../registered/settings/token-settings.js';
import {
  announceReady,
  useNonBlockingLog,
  reportError,
  settingsFromFlagsAs,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/** Callers retry at another control machine after this time. */
const REQUEST_DEADLINE_MS = 2_000;

/** Registers the `group` subcommand. */
export function registerGroup(cli: CAC): void {
  withSettingsFlags(
    cli,
    'group',
    'Run a control machine that accepts declared configurations',
  ).action(run);
}

async function run(flags: SettingsFlags): Promise<void> {
  const settings = settingsFromFlagsAs(groupSettingsSchema, flags);
  if (settings === undefined) {
    return;
  }
  useNonBlockingLog();
  const { linkAddress, callAddress, operatorToken } = settings;
  const daemon = await GroupDaemon.start(
    {
      linkAddress,
      zone: boundedName(settings.zone),
      zones: settings.zones.map(boundedName),
      seeds: settings.seeds,
      isFirstStart: settings.isFirstStart,
      ...groupDurability(settings.tolerableLosses, settings.catchUpMs),
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      forgetBackendAfterMs: settings.flowLifetimeMs,
      requestDeadlineMs: REQUEST_DEADLINE_MS,
      readDocument: ({ text }) => readStoredConfig(text),
      timing: timingFor(settings.bounds),
      redialsHeardPeers: settings.recovery === 'fast',
    },
    settings.dataFolder,
    settings.listenAddress ?? linkAddress,
  );
  if (daemon.isErr()) {
    reportError(daemon.error);
    return;
  }
  const listener = createCallListener(
    createDeclaredApi(operatorToken),
    (call) => daemon.value.call(call),
    (refusal) => daemon.value.recordRefusal(refusal),
  );
  const calls = await listenHttp(callAddress, listener);
  const { metricsAddress } = settings;
  const metrics =
    metricsAddress && (await listenHttp(metricsAddress, groupMetricsListener(daemon.value)));
  stopOnSignal(async () => {
    await daemon.value.stop();
    await calls.close();
    await metrics?.close();
  });
  announceReady({ linkAddress, callAddress, ...(metricsAddress && { metricsAddress }) });
}
