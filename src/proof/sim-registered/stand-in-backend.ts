/**
 * @file A back end stand-in for the simulator and the soak: registers by heartbeats, accepts flows, answers requests, drains
 * and deregisters or crashes.
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

/** Each start of each back end has its own range of accept numbers. */
const ACCEPTS_PER_BACKEND = 1_000_000;
const ACCEPTS_PER_START = 10_000;
const CALL_TIMEOUT_MS = 1_000;
const WORK_MS = 20;
const FIRST_RESEND_MS = 200;
const MAX_RESEND_DELAY_MS = 1_600;
/** Time for which a back end is cold after its start and after the readmission of its zone. */
export const WARM_UP_MS = 2_000;
const CAPACITY = 2;
const INSTANCE_DIGITS = 16;
const HEXADECIMAL = 16;

/** Sends a call to any control machine; unanswered if that machine is down or unreachable. */
export type CallControl = (
  fromHost: string,
  call: GroupCall,
  answer: (reply: GroupReply) => void,
) => void;

interface BackendFlow {
  readonly acceptNumber: number;
  /** True once the client has used the accept number. */
  isOpen: boolean;
}

/** Identity of one start of a back end. */
export interface BackendIdentity {
  /** Stays the same over all starts. */
  readonly id: string;
  /** Number of this start, from 0. */
  readonly startNumber?: number;
  /** Number of the first start at the current address. */
  readonly addressSinceStart?: number;
  /** Start time in milliseconds, if it is part of the start ID. */
  readonly startedAtMs?: number | undefined;
  readonly number: number;
  readonly service: string;
  readonly address: Address;
  readonly zone: string;
}

/** One start of a back end; a restart creates a new instance. */
export class StandInBackend {
  readonly instanceNumber: string;
  isAlive = true;
  /** True once `leave` was called. */
  isLeaving = false;
  private isDraining = false;
  private sequence = 0;
  private nextAcceptNumber: number;
  private readonly flows = new Map<string, BackendFlow>();
  private coldSinceMs: number;
  acceptedFlows = 0;

  constructor(
    readonly identity: BackendIdentity,
    private readonly parts: StandInParts,
    private readonly callControl: CallControl,
    /** @returns the newest configuration version in which the service is a target of the route */
    private readonly newestVersion: (route: string, service: string) => number,
  ) {
    this.instanceNumber = identity.number.toString(HEXADECIMAL).padStart(INSTANCE_DIGITS, '0');
    this.nextAcceptNumber =
      identity.number * ACCEPTS_PER_BACKEND + (identity.startNumber ?? 0) * ACCEPTS_PER_START + 1;
    this.coldSinceMs = parts.clock.nowMs;
    parts.wires.hostStarted(identity.address.host);
    parts.wires.onDatagram(identity.address, (bytes) => this.receive(bytes));
    this.sendHeartbeats();
  }

  /** ID of this start in heartbeats and in the registry. */
  get startId(): string {
    const { id, startedAtMs } = this.identity;
    return startIdOf({ backend: id, startedAtMs });
  }

  /** @returns true if this back end is running and has the flow open */
  holdsOpen(client: string, acceptNumber: number): boolean {
    const flow = this.flows.get(client);
    return this.isAlive && flow?.isOpen === true && flow.acceptNumber === acceptNumber;
  }

  /** Marks it as cold, as after its start; reported in its heartbeats. */
  markCold(): void {
    this.coldSinceMs = this.parts.clock.nowMs;
  }

  private get warmUpLeftMs(): number {
    return Math.max(0, WARM_UP_MS - (this.parts.clock.nowMs - this.coldSinceMs));
  }

  /** Ends without deregistering. */
  crash(): void {
    if (!this.isAlive) {
      // Another start may already use its address.
      return;
    }
    this.isAlive = false;
    this.parts.wires.hostDied(this.identity.address.host);
  }

  /** Delivers a delayed deregistration of this ended start; it carries the back end ID without the start. */
  deliverHeldUpDeparture(): void {
    const call = { type: 'deregister', backendId: this.identity.id } as const;
    this.callControl(this.identity.address.host, call, () => undefined);
  }

  /** Delivers a delayed heartbeat of this ended start. */
  deliverHeldUpHeartbeat(): void {
    this.callControl(this.identity.address.host, this.heartbeat(), () => undefined);
  }

  /** Announces its departure by draining heartbeats or by deregistering, serves until the drain bound and ends. */
  leave(announcesDraining: boolean, onEnd: () => void): void {
    this.isLeaving = true;
    const { clock, options } = this.parts;
    const endAfterDrain = () =>
      clock.after(options.drainBoundMs + WORK_MS, () => {
        if (announcesDraining) {
          this.sendUntilAcknowledged(
            { type: 'deregister', backendId: this.identity.id },
            () => undefined,
          );
        }
        clock.after(CALL_TIMEOUT_MS, () => {
          this.crash();
          onEnd();
        });
      });
    const acknowledged = () => {
      this.parts.oracle.recordAcknowledgedDeparture(this.startId, clock.nowMs);
      endAfterDrain();
    };
    if (announcesDraining) {
      this.isDraining = true;
      this.sendUntilAcknowledged(() => this.heartbeat(), acknowledged);
    } else {
      this.sendUntilAcknowledged({ type: 'deregister', backendId: this.identity.id }, acknowledged);
    }
  }

  /** Resends a call until it is accepted; a function builds the call anew for each attempt. */
  private sendUntilAcknowledged(
    call: GroupCall | (() => GroupCall),
    acknowledged: () => void,
  ): void {
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

  private sendHeartbeats(): void {
    if (!this.isAlive) {
      return;
    }
    const { clock, options } = this.parts;
    if (!this.isDraining) {
      this.sendUntilAcknowledged(this.heartbeat(), () => undefined);
    }
    clock.after(options.heartbeatIntervalMs, () => this.sendHeartbeats());
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
      oracle.reportCorruptAtBackend(clock.nowMs, 'undecodable packet');
      return;
    }
    const { instance, packet } = received;
    if (instance !== this.instanceNumber || !this.isAlive) {
      return;
    }
    if (!isIntact(packet)) {
      oracle.reportCorruptAtBackend(
        clock.nowMs,
        `corrupted ${packet.kind} packet from ${formatAddress(packet.from)}`,
      );
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
    const existing = this.flows.get(client);
    const flow = existing ?? { acceptNumber: this.nextAcceptNumber, isOpen: false };
    if (existing === undefined) {
      this.nextAcceptNumber += 1;
      this.acceptedFlows += 1;
      this.flows.set(client, flow);
      const route = formatAddress(packet.to);
      const { service, zone } = this.identity;
      const newestVersion = this.newestVersion(route, service);
      const sentAtMs = clock.nowMs;
      const isCold = this.warmUpLeftMs > 0;
      const acceptedFlow = {
        route,
        service,
        backendId: this.startId,
        sentAtMs,
        newestVersion,
        zone,
        isCold,
      };
      oracle.checkAcceptedOpen(acceptedFlow, clock.nowMs);
    }
    if (!flow.isOpen) {
      this.answer(packet, 'accept', flow.acceptNumber);
      if (existing === undefined) {
        this.scheduleAcceptResend(packet, flow, FIRST_RESEND_MS);
      }
    }
  }

  /** Resends the accept with exponential backoff until the client uses its number. */
  private scheduleAcceptResend(packet: TokenPacket, flow: BackendFlow, delayMs: number): void {
    this.parts.clock.after(delayMs, () => {
      if (!flow.isOpen && delayMs <= MAX_RESEND_DELAY_MS) {
        this.answer(packet, 'accept', flow.acceptNumber);
        this.scheduleAcceptResend(packet, flow, 2 * delayMs);
      }
    });
  }

  private handleRequest(packet: TokenPacket): void {
    const client = formatAddress(packet.from);
    const flow = this.flows.get(client);
    if (flow?.acceptNumber !== packet.acceptNumber) {
      this.checkStrayPacket(packet);
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

  /** Packets for starts at another address must not arrive here; those for earlier starts at this address may. */
  private checkStrayPacket({ acceptNumber }: TokenPacket): void {
    const { number, addressSinceStart = 0 } = this.identity;
    const firstOfBackend = number * ACCEPTS_PER_BACKEND + 1;
    const firstAtAddress = firstOfBackend + addressSinceStart * ACCEPTS_PER_START;
    if (acceptNumber >= firstOfBackend && acceptNumber < firstAtAddress) {
      this.parts.oracle.reportStrayPacket(
        `${this.startId} received a packet for a start at another address`,
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
