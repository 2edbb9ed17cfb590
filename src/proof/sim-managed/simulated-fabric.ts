/**
 * @file The simulated fabric: runs the step function of the stand-in on the virtual network. Its
 * list of balancers comes from the platform and may be stale.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { FabricEffect, FabricEvent, FabricState } from '../standins/fabric-step.js';
import { readPacket } from './packet-summary.js';
import type { SimulatedBalancer } from './simulated-balancer.js';
import type { CallerUplink, SimulatedCaller } from './simulated-caller.js';
import { SimulatedProcess } from './simulated-process.js';
import type { Simulation } from './simulation.js';

const HOST = '10.2.0.1';
const PORT = 5000;
const ZONE = 'zone-a';

/** The fabric process in the simulated world. */
export class SimulatedFabric extends SimulatedProcess implements CallerUplink {
  readonly returnAddress: Address = { host: HOST, port: PORT };
  private readonly state: FabricState;
  private readonly callers = new Map<string, SimulatedCaller>();
  private readonly balancerNames = new Map<string, string>();

  constructor(simulation: Simulation) {
    super(simulation, 'fabric', 'fabric', HOST, ZONE);
    // The network adds the delays between hosts; the fabric adds only the delay to callers.
    const options = { zone: ZONE, crossZoneDelayMs: 0, callerDelayMs: 1 };
    this.state = { options, balancers: [] };
  }

  addCaller(caller: SimulatedCaller): void {
    this.callers.set(formatAddress(caller.address), caller);
  }

  handleCallerPacket(packet: Uint8Array, client: Address, service: Address): void {
    this.step({ type: 'caller-packet', packet, client, service });
  }

  /** Replaces the list of balancers over which the fabric distributes packets. */
  setBalancers(balancers: readonly SimulatedBalancer[]): void {
    balancers.forEach(({ frontAddress, name }) =>
      this.balancerNames.set(formatAddress(frontAddress), name),
    );
    this.simulation.record({ type: 'list', balancers: balancers.map(({ name }) => name) });
    const list = balancers.map(({ frontAddress, zone }) => ({ address: frontAddress, zone }));
    this.step({ type: 'list', balancers: list });
  }

  protected onStart(): void {
    this.simulation.network.bind(this.returnAddress, (datagram) =>
      this.step({ type: 'return-datagram', datagram }),
    );
  }

  protected onDown(): void {
    this.state.balancers = [];
  }

  private step(event: FabricEvent): void {
    this.perform(() => {
      const context = this.simulation.contextFor(this.random);
      const effects = this.simulation.steps.fabric(this.state, event, context);
      effects.forEach((effect) => this.performEffect(effect));
    });
  }

  private performEffect(effect: FabricEffect): void {
    const { network } = this.simulation;
    if (effect.type === 'to-balancer') {
      this.recordPacket(effect.datagram, effect.to);
      network.send(this.returnAddress, effect.to, effect.datagram, effect.delayMs);
      return;
    }
    const { client, packet, delayMs } = effect;
    const caller = this.callers.get(formatAddress(client));
    if (caller !== undefined && !network.isCut(this.host, caller.host)) {
      network.transmit(delayMs, () => caller.handlePacket(packet));
    }
  }

  private recordPacket(datagram: Uint8Array, to: Address): void {
    const packet = this.simulation.trace.keepsPackets
      ? readPacket(this.simulation, datagram)
      : undefined;
    if (packet !== undefined) {
      const balancer = this.balancerNames.get(formatAddress(to)) ?? formatAddress(to);
      this.simulation.record({ type: 'packet', from: 'fabric', to: balancer, ...packet });
    }
  }
}
