/**
 * @file A stand-in back end of the registered pair: registers by heartbeats, accepts flows and answers requests, drains, leaves with or without
 * a departure. Played by the simulator and by the soak.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { GroupCall } from '../../registered/daemon/group-process.js';
import type { GroupReply } from '../../registered/group/group-events.js';
import {
  decodeForBackend,
  encodePacket,
  isIntact,
  sealPacket,
  type PacketKind,
  type TokenPacket,
} from '../../registered/ingress/token-packet.js';
import { startIdOf } from '../../registered/registry/backend-start.js';
import type { StandInParts } from './world-parts.js';

/** Accepts are numbered by back end, and within that by start. */
const ACCEPTS_PER_BACKEND = 1_000_000;
const ACCEPTS_PER_START = 10_000;
const CALL_TIMEOUT_MS = 1_000;
const WORK_MS = 20;
const FIRST_RESEND_MS = 200;
const LAST_RESEND_MS = 1_600;
/** A back end is cold for so long after its start, and after its zone was empty. */
export const WARM_UP_MS = 2_000;
const CAPACITY = 2;
const INSTANCE_DIGITS = 16;
const HEXADECIMAL = 16;

/** Brings a call to some control machine; unanswered where that one is dead or cut off. */
export type CallControl = (
  fromHost: string,
  call: GroupCall,
  answer: (reply: GroupReply) => void,
) => void;

interface BackendFlow {
  readonly acceptNumber: number;
  /** True once the client has named the accept. */
  isOpen: boolean;
}

/** What a back end is. */
export interface BackendIdentity {
  /** What it is called over all its starts. */
  readonly id: string;
  /** Counts its starts, from 0. */
  readonly startNumber?: number;
  /** The first of its starts in a row at this address. */
  readonly addressSinceStart?: number;
  /** When it started, in milliseconds, where it says so. */
  readonly startedAtMs?: number | undefined;
  readonly number: number;
  readonly service: string;
  readonly address: Address;
  readonly zone: string;
}

/** One start of a back end. */
export class StandInBackend {
  readonly instanceNumber: string;
  isAlive = true;
  /** True once it has begun to leave. */
  isLeaving = false;
  private isDraining = false;
  private sequence = 0;
  private nextAcceptNumber: number;
  private readonly flows = new Map<string, BackendFlow>();
  private coldSinceMs: number;
  /** How many flows it has accepted. */
  acceptedFlows = 0;

  constructor(
    readonly identity: BackendIdentity,
    private readonly parts: StandInParts,
    private readonly callControl: CallControl,
    /** @returns the newest version that gives the route to the service */
    private readonly newestVersion: (route: string, service: string) => number,
  ) {
    this.instanceNumber = identity.number.toString(HEXADECIMAL).padStart(INSTANCE_DIGITS, '0');
    this.nextAcceptNumber =
      identity.number * ACCEPTS_PER_BACKEND + (identity.startNumber ?? 0) * ACCEPTS_PER_START + 1;
    this.coldSinceMs = parts.clock.nowMs;
    parts.wires.hostStarted(identity.address.host);
    parts.wires.onDatagram(identity.address, (bytes) => this.receive(bytes));
    this.beat();
  }

  /** The ID by which this start is known to all processes. */
  get startId(): string {
    const { id, startedAtMs } = this.identity;
    return startIdOf({ backend: id, startedAtMs });
  }

  /** @returns true where this back end holds the flow and the client has opened it */
  holdsOpen(client: string, acceptNumber: number): boolean {
    const flow = this.flows.get(client);
    return this.isAlive && flow?.isOpen === true && flow.acceptNumber === acceptNumber;
  }

  /** It is cold from now on as after its start, since nothing reached it for long; its heartbeats say so. */
  turnCold(): void {
    this.coldSinceMs = this.parts.clock.nowMs;
  }

  private get warmUpLeftMs(): number {
    return Math.max(0, WARM_UP_MS - (this.parts.clock.nowMs - this.coldSinceMs));
  }

  /** Ends without a departure. */
  crash(): void {
    if (!this.isAlive) {
      // Its address may be that of another start already.
      return;
    }
    this.isAlive = false;
    this.parts.wires.hostDied(this.identity.address.host);
  }

  /** A departure from before its end that the network held up comes now; it names no start. */
  deliverHeldUpDeparture(): void {
    const call = { type: 'deregister', backendId: this.identity.id } as const;
    this.callControl(this.identity.address.host, call, () => undefined);
  }

  /** A heartbeat from before its end that the network held up comes now. */
  deliverHeldUpHeartbeat(): void {
    this.callControl(this.identity.address.host, this.heartbeat(), () => undefined);
  }

  /** Says that it leaves, serves on, deregisters and ends. */
  leave(saysDraining: boolean, ended: () => void): void {
    this.isLeaving = true;
    const { clock, options } = this.parts;
    const endSoon = () =>
      clock.after(options.drainBoundMs + WORK_MS, () => {
        if (saysDraining) {
          this.insist({ type: 'deregister', backendId: this.identity.id }, () => undefined);
        }
        clock.after(CALL_TIMEOUT_MS, () => {
          this.crash();
          ended();
        });
      });
    const acknowledged = () => {
      this.parts.oracle.recordAcknowledgedDeparture(this.startId, clock.nowMs);
      endSoon();
    };
    if (saysDraining) {
      this.isDraining = true;
      this.insist(() => this.heartbeat(), acknowledged);
    } else {
      this.insist({ type: 'deregister', backendId: this.identity.id }, acknowledged);
    }
  }

  /** Sends the same call until it is acknowledged. */
  private insist(call: GroupCall | (() => GroupCall), acknowledged: () => void): void {
    let isDone = false;
    const attempt = () => {
      if (isDone || !this.isAlive) {
        return;
      }
      let isAnswered = false;
      const answer = (reply: GroupReply) => {
        if (isDone || isAnswered) {
          return;
        }
        isAnswered = true;
        if (reply.type === 'accepted') {
          isDone = true;
          acknowledged();
        } else {
          attempt();
        }
      };
      const { host } = this.identity.address;
      this.callControl(host, typeof call === 'function' ? call() : call, answer);
      this.parts.clock.after(CALL_TIMEOUT_MS, () => answer({ type: 'unavailable', reason: '' }));
    };
    attempt();
  }

  private beat(): void {
    if (!this.isAlive) {
      return;
    }
    const { clock, options } = this.parts;
    if (!this.isDraining) {
      this.insist(this.heartbeat(), () => undefined);
    }
    clock.after(options.heartbeatIntervalMs, () => this.beat());
  }

  private heartbeat(): GroupCall {
    this.sequence += 1;
    const { service, address, zone } = this.identity;
    return {
      type: 'heartbeat',
      isDraining: this.isDraining,
      record: {
        id: this.startId,
        instanceNumber: this.instanceNumber,
        service,
        address,
        zone,
        capacity: CAPACITY,
        warmUpLeftMs: this.warmUpLeftMs,
        sequence: this.sequence,
      },
    };
  }

  private receive(bytes: Uint8Array): void {
    const { clock, oracle } = this.parts;
    const received = decodeForBackend(bytes);
    if (received === undefined) {
      oracle.reportUnsolicited(clock.nowMs, 'bytes that are no packet');
      return;
    }
    const { instance, packet } = received;
    if (instance !== this.instanceNumber || !this.isAlive) {
      return;
    }
    if (!isIntact(packet)) {
      oracle.reportUnsolicited(clock.nowMs, `${packet.kind} of ${formatAddress(packet.from)}`);
      return;
    }
    if (packet.kind === 'open') {
      this.handleOpen(packet);
    } else {
      this.handleRequest(packet);
    }
  }

  private handleOpen(packet: TokenPacket): void {
    const { clock, oracle } = this.parts;
    const client = formatAddress(packet.from);
    const known = this.flows.get(client);
    const flow = known ?? { acceptNumber: this.nextAcceptNumber, isOpen: false };
    if (known === undefined) {
      this.nextAcceptNumber += 1;
      this.acceptedFlows += 1;
      this.flows.set(client, flow);
      const route = formatAddress(packet.to);
      const { service, zone } = this.identity;
      const newestVersion = this.newestVersion(route, service);
      const sentAtMs = clock.nowMs;
      const isCold = this.warmUpLeftMs > 0;
      const taken = {
        route,
        service,
        backendId: this.startId,
        sentAtMs,
        newestVersion,
        zone,
        isCold,
      };
      oracle.checkAcceptedOpen(taken, clock.nowMs);
    }
    if (!flow.isOpen) {
      this.answer(packet, 'accept', flow.acceptNumber);
      if (known === undefined) {
        this.acceptAgain(packet, flow, FIRST_RESEND_MS);
      }
    }
  }

  /** An accept that the client does not name may have been lost; it is sent again. */
  private acceptAgain(packet: TokenPacket, flow: BackendFlow, delayMs: number): void {
    this.parts.clock.after(delayMs, () => {
      if (!flow.isOpen && delayMs <= LAST_RESEND_MS) {
        this.answer(packet, 'accept', flow.acceptNumber);
        this.acceptAgain(packet, flow, 2 * delayMs);
      }
    });
  }

  private handleRequest(packet: TokenPacket): void {
    const client = formatAddress(packet.from);
    const flow = this.flows.get(client);
    if (flow?.acceptNumber !== packet.acceptNumber) {
      this.checkStray(packet);
      this.answer(packet, 'reset', flow?.acceptNumber ?? 0);
      return;
    }
    flow.isOpen = true;
    if (packet.kind === 'finish') {
      this.flows.delete(client);
    } else if (packet.kind === 'data') {
      this.parts.clock.after(WORK_MS, () => this.answer(packet, 'data', flow.acceptNumber));
    }
  }

  /** Packets of flows of starts at another address must not come here; those of starts at this one may, and are reset. */
  private checkStray({ acceptNumber }: TokenPacket): void {
    const { number, addressSinceStart = 0 } = this.identity;
    const firstOfBackend = number * ACCEPTS_PER_BACKEND + 1;
    const firstAtAddress = firstOfBackend + addressSinceStart * ACCEPTS_PER_START;
    if (acceptNumber >= firstOfBackend && acceptNumber < firstAtAddress) {
      this.parts.oracle.reportStrayPacket(
        `${this.startId} got a packet of a start elsewhere`,
        this.parts.clock.nowMs,
      );
    }
  }

  private answer(packet: TokenPacket, kind: PacketKind, acceptNumber: number): void {
    if (!this.isAlive) {
      return;
    }
    const { from, to, token, requestId, sequence, dataLength } = packet;
    const answer = sealPacket({
      kind,
      from: to,
      to: from,
      token,
      copyNumber: 0,
      acceptNumber,
      requestId,
      sequence: 0,
      acknowledged: sequence + dataLength,
      dataLength: 0,
    });
    this.parts.wires.sendDatagram(this.identity.address.host, from, encodePacket(answer));
  }
}
