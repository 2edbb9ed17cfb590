/**
 * @file `amberlift backend`: runs a simulated back end for demos and tests.
 */
import type { CAC } from 'cac';
import { faultNames, parseFaultFlags } from '../../proof/standins/backend-fault-flags.js';
import { defaultBackendTuning } from '../../proof/standins/backend-options.js';
import { startBackend } from '../../proof/standins/backend-process.js';
import { addressFlag } from './address-flag.js';
import { announceReady, reportError, stopOnSignal } from './daemon-command.js';

interface BackendFlags {
  readonly service: string;
  readonly serviceAddress: string;
  readonly fabric: string;
  readonly host: string;
  readonly slots: number;
  readonly connections: number;
  readonly queue: number;
  readonly serviceTime: number;
  readonly warmUp: number;
  readonly goAwaySpread: number;
  readonly feedMoves: number;
  readonly fault?: string[];
}

const HALF_OPEN_TIMEOUT_MS = 10_000;

/** Registers the `backend` subcommand. */
export function registerBackend(cli: CAC): void {
  cli
    .command('backend', 'Run a simulated back end')
    .option('--service <name>', 'Name of its service')
    .option('--service-address <address>', 'Address that callers use')
    .option('--fabric <address>', 'Address of the fabric, which receives the answers')
    .option('--host <ip>', 'IP number to bind', { default: '127.0.0.1' })
    .option('--slots <count>', 'Maximum number of concurrent requests', { default: 2 })
    .option('--connections <count>', 'Maximum number of open flows', { default: 2000 })
    .option('--queue <count>', 'Maximum number of queued requests', { default: 200 })
    .option('--service-time <ms>', 'Mean service time of a request', { default: 5 })
    .option('--warm-up <ms>', 'Time from start until ready', { default: 0 })
    .option(
      '--go-away-spread <ms>',
      'Time over which a drain sends go-away to flows with requests',
      {
        default: defaultBackendTuning.goAwaySpreadMs,
      },
    )
    .option(
      '--feed-moves <count>',
      'Maximum rate of go-aways to flows with only a feed, per second',
      {
        default: defaultBackendTuning.feedMovesPerSecond,
      },
    )
    .option('--fault <name=value>', `Inject a fault: ${faultNames.join(', ')}; may be repeated`, {
      type: [String],
    })
    .action(run);
}

async function run(flags: BackendFlags): Promise<void> {
  const faults = parseFaultFlags((flags.fault ?? []).filter((text) => text !== 'undefined'));
  if (faults.isErr()) {
    reportError(faults.error);
    return;
  }
  const options = {
    serviceName: flags.service,
    serviceAddress: addressFlag('service-address', flags.serviceAddress),
    fabricAddress: addressFlag('fabric', flags.fabric),
    slots: flags.slots,
    connectionLimit: flags.connections,
    queueLimit: flags.queue,
    meanServiceTimeMs: flags.serviceTime,
    warmUpMs: flags.warmUp,
    halfOpenTimeoutMs: HALF_OPEN_TIMEOUT_MS,
    tuning: { goAwaySpreadMs: flags.goAwaySpread, feedMovesPerSecond: flags.feedMoves },
    faults: faults.value,
  };
  const backend = await startBackend(options, flags.host);
  stopOnSignal(() => backend.stop());
  announceReady({ address: backend.address, healthAddress: backend.healthAddress });
}
