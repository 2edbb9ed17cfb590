/**
 * @file Event handler of the stand-in fabric, without I/O: sends each caller packet to a random balancer
 * and forwards answers to callers.
 */
import { match } from 'ts-pattern';
import type { Address } from '../../shared/common/address.js';
import type { StepContext } from '../../shared/common/step.js';
import { decodeEnvelope, encodeEnvelope } from '../../managed/flow/envelope.js';

/** A balancer that may receive packets. */
export interface FabricBalancer {
  readonly address: Address;
  readonly zone: string;
}

/** Options of the fabric; one-way delays in milliseconds. */
export interface FabricOptions {
  /** Zone of the callers. */
  readonly zone: string;
  /** Additional delay to balancers in another zone. */
  readonly crossZoneDelayMs: number;
  /** Delay between callers and the fabric. */
  readonly callerDelayMs: number;
}

/** The state of the fabric. */
export interface FabricState {
  readonly options: FabricOptions;
  balancers: readonly FabricBalancer[];
}

/**
 * @returns the state of a fabric without balancers
 */
export function createFabricState(options: FabricOptions): FabricState {
  return { options, balancers: [] };
}

/** Input of the fabric. */
export type FabricEvent =
  /** A packet from a caller to a service. */
  | {
      readonly type: 'caller-packet';
      readonly packet: Uint8Array;
      readonly client: Address;
      readonly service: Address;
    }
  /** A datagram from a balancer or a back end, for a caller. */
  | { readonly type: 'return-datagram'; readonly datagram: Uint8Array }
  | { readonly type: 'list'; readonly balancers: readonly FabricBalancer[] };

/** A packet to send after a delay in milliseconds. */
export type FabricEffect =
  | {
      readonly type: 'to-balancer';
      readonly to: Address;
      readonly datagram: Uint8Array;
      readonly delayMs: number;
    }
  | {
      readonly type: 'to-caller';
      readonly client: Address;
      /** Source address of the packet. */
      readonly service: Address;
      readonly packet: Uint8Array;
      readonly delayMs: number;
    };

/**
 * Handles one event.
 * @returns the effects, in order
 */
export function fabricStep(
  state: FabricState,
  event: FabricEvent,
  context: StepContext,
): FabricEffect[] {
  return match(event)
    .with({ type: 'caller-packet' }, ({ packet, client, service }) => {
      if (state.balancers.length === 0) {
        return [];
      }
      const balancer = state.balancers[context.random.nextInt(state.balancers.length)];
      if (balancer === undefined) {
        return [];
      }
      const datagram = encodeEnvelope({ client, service, packet });
      const delayMs = delayTo(state.options, balancer.zone);
      return [{ type: 'to-balancer' as const, to: balancer.address, datagram, delayMs }];
    })
    .with({ type: 'return-datagram' }, ({ datagram }) =>
      decodeEnvelope(datagram).match(
        ({ client, service, packet }) => [
          {
            type: 'to-caller' as const,
            client,
            service,
            packet,
            delayMs: state.options.callerDelayMs,
          },
        ],
        () => [],
      ),
    )
    .with({ type: 'list' }, ({ balancers }) => {
      state.balancers = balancers;
      return [];
    })
    .exhaustive();
}

function delayTo(options: FabricOptions, zone: string): number {
  const zoneDelayMs = zone === options.zone ? 0 : options.crossZoneDelayMs;
  return options.callerDelayMs + zoneDelayMs;
}
