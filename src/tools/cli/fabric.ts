/**
 * @file `amberlift fabric`: runs a simulated network fabric that spreads packets of callers over the balancers.
 */
import type { CAC } from 'cac';
import { startFabric } from '../../proof/standins/fabric-process.js';
import { addressFlag } from './address-flag.js';
import { announceReady, stopOnSignal } from './daemon-command.js';

interface FabricFlags {
  readonly service: string | string[];
  readonly zone: string;
  readonly crossZoneDelay: number;
  readonly callerDelay: number;
}

/** Registers the `fabric` subcommand. */
export function registerFabric(cli: CAC): void {
  cli
    .command('fabric', 'Run the simulated fabric')
    .option('--service <address>', 'Address of a service; may be repeated; port 0 picks a free one')
    .option('--zone <zone>', 'Zone of the callers', { default: 'zone-a' })
    .option('--cross-zone-delay <ms>', 'One-way delay between zones', { default: 0.5 })
    .option('--caller-delay <ms>', 'One-way delay to callers', { default: 1 })
    .action(run);
}

async function run(flags: FabricFlags): Promise<void> {
  const options = {
    zone: flags.zone,
    crossZoneDelayMs: flags.crossZoneDelay,
    callerDelayMs: flags.callerDelay,
  };
  const addresses = [flags.service].flat().map((text) => addressFlag('service', text));
  const fabric = await startFabric(options, addresses);
  stopOnSignal(() => fabric.stop());
  const { serviceAddresses, returnAddress, platformAddress } = fabric;
  announceReady({ serviceAddresses, returnAddress, platformAddress });
}
