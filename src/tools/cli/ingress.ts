/**
 * @file `amberlift ingress`: runs a balancer that forwards packets by 32-bit tokens to back ends that register themselves.
 */
import type { CAC } from 'cac';
import { bytesPerMsOf } from '../../shared/common/bandwidth.js';
import { IngressDaemon } from '../../registered/daemon/ingress-daemon.js';
import { createReadyListener } from '../../registered/daemon/ready-listener.js';
import { listenHttp } from '../../shared/daemon/http-server.js';
import { ingressMetricsListener } from '../../registered/daemon/metrics/lazy-metrics.js';
import { timingFor } from '../../registered/group/timing.js';
import { maxCountedFlowsFor } from '../../registered/ingress/counted-flows.js';
import { tokenPacketCodec } from '../../registered/ingress/token-packet.js';
import { boundedName } from '../../registered/registry/bounded-name.js';
import { ingressSettingsSchema } from '../../registered/settings/token-settings.js';
import {
  announceReady,
  useNonBlockingLog,
  settingsFromFlagsAs,
  stopOnSignal,
  withSettingsFlags,
  type SettingsFlags,
} from './daemon-command.js';

/** Registers the `ingress` subcommand. */
export function registerIngress(cli: CAC): void {
  withSettingsFlags(cli, 'ingress', 'Run a balancer for back ends that register themselves').action(
    run,
  );
}

async function run(flags: SettingsFlags): Promise<void> {
  const settings = settingsFromFlagsAs(ingressSettingsSchema, flags);
  if (settings === undefined) {
    return;
  }
  useNonBlockingLog();
  const { name, zone, packetAddress, peerAddress, readyAddress } = settings;
  const timing = timingFor(settings.bounds);
  const daemon = await IngressDaemon.start(
    {
      ingress: {
        name: boundedName(name),
        zone: boundedName(zone),
        heartbeatIntervalMs: settings.heartbeatIntervalMs,
        flowLifetimeMs: settings.flowLifetimeMs,
        feed: timing.feed,
        maxCountedFlows: maxCountedFlowsFor(settings.memoryMb),
        switches: settings.policy,
        slowStartBounds: settings.coldBounds,
      },
      timing,
      packetAddress,
      peerAddress,
      controlSeeds: settings.controlSeeds,
      linkBytesPerMs: bytesPerMsOf(settings.linkRateMbps),
    },
    tokenPacketCodec,
  );
  const ready = await listenHttp(
    readyAddress,
    createReadyListener(() => daemon.isReady),
  );
  const metrics =
    settings.metricsAddress &&
    (await listenHttp(settings.metricsAddress, ingressMetricsListener(daemon)));
  stopOnSignal(async () => {
    await daemon.stop(settings.stopWithinMs);
    await ready.close();
    await metrics?.close();
  });
  const { metricsAddress } = settings;
  announceReady({
    packetAddress,
    peerAddress,
    readyAddress,
    ...(metricsAddress && { metricsAddress }),
  });
}
