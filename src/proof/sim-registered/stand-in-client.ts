/**
 * @file A client stand-in for the simulator and the soak: opens flows with duplicate opens, sends requests with
 * retransmission, and always uses the last token it received, even a wrong one.
 */
import type { Address } from '../../shared/common/address.js';
import { formatAddress } from '../../shared/common/address.js';
import {
  decodePacket,
  encodePacket,
  isIntact,
  sealPacket,
  type PacketKind,
  type TokenPacket,
} from '../../registered/ingress/token-packet.js';
import type { StandInParts } from './world-parts.js';

const OPEN_COPY_DELAYS_MS = [0, 200, 600];
const OPEN_TIMEOUT_MS = 1_400;
const FIRST_RESEND_MS = 200;
const REQUEST_DEADLINE_MS = 2_000;
const RETRY_PAUSE_MS = 50;
const MAX_PAUSE_MS = 600;
const REQUEST_BYTES = 100;
const FIRST_PORT = 20_000;
const LAST_PORT = 60_000;

/** The deployment as a client sees it. */
export interface ClientWorld {
  /** @returns the balancer to which the routers send a flow */
  pickBalancer(flow: string): Address | undefined;
  /** @returns true if a running back end has this flow open */
  isHeldOpen(client: string, acceptNumber: number): boolean;
  /** @returns the routes of the current configuration */
  routes(): readonly Address[];
}

type FlowState =
  { readonly name: 'opening' } | { readonly name: 'open'; readonly acceptNumber: number };

/** One client, with one flow at a time. */
export class StandInClient {
  servedRequests = 0;
  failedRequests = 0;
  private port = FIRST_PORT;
  private flow: FlowState = { name: 'opening' };
  private token = 0;
  private route: Address = { host: '198.18.0.1', port: 443 };
  private requestId = 0;
  private sequence = 1;
  /** Incremented when the client starts to wait for something else; invalidates earlier timers. */
  private stage = 0;
  private requestsLeft = 0;
  private isStopped = false;

  constructor(
    readonly host: string,
    private readonly requestsPerFlow: number,
    private readonly world: ClientWorld,
    private readonly parts: StandInParts,
  ) {}

  start(): void {
    this.openFlow();
  }

  stop(): void {
    this.isStopped = true;
  }

  private get address(): Address {
    return { host: this.host, port: this.port };
  }

  private openFlow(): void {
    const routes = this.world.routes();
    const route = routes[this.parts.random.nextInt(Math.max(1, routes.length))];
    if (this.isStopped || route === undefined) {
      return;
    }
    this.port = this.port >= LAST_PORT ? FIRST_PORT : this.port + 1;
    this.parts.wires.onDatagram(this.address, (bytes) => this.receive(bytes));
    this.route = route;
    this.flow = { name: 'opening' };
    this.token = 0;
    this.sequence = 1;
    this.requestsLeft = this.requestsPerFlow;
    const stage = this.enterNextStage();
    const { clock } = this.parts;
    OPEN_COPY_DELAYS_MS.forEach((delayMs, copyNumber) => {
      clock.after(delayMs, () => {
        if (stage === this.stage) {
          this.send('open', { copyNumber, dataLength: 0 });
        }
      });
    });
    clock.after(OPEN_TIMEOUT_MS, () => this.failIfStill(stage));
  }

  private receive(bytes: Uint8Array): void {
    const { clock, oracle } = this.parts;
    const packet = decodePacket(bytes);
    if (packet === undefined || !isIntact(packet)) {
      oracle.reportCorruptAtClient(
        clock.nowMs,
        `client ${formatAddress(this.address)} received a corrupted packet`,
      );
      return;
    }
    if (packet.to.port !== this.port) {
      return;
    }
    switch (packet.kind) {
      case 'accept':
        this.handleAccept(packet);
        return;
      case 'data':
        this.handleAnswer(packet);
        return;
      case 'reset':
        this.handleReset(packet);
        return;
      default:
        return;
    }
  }

  private handleAccept(packet: TokenPacket): void {
    this.token = packet.token;
    if (this.flow.name === 'opening') {
      this.flow = { name: 'open', acceptNumber: packet.acceptNumber };
      this.sendRequest();
    }
  }

  private sendRequest(): void {
    const stage = this.enterNextStage();
    this.requestId += 1;
    // Each packet of a request uses the token that is the last one when the packet is sent.
    this.parts.options.requestPartsAtMs.forEach((delayMs) => {
      this.parts.clock.after(delayMs, () => {
        if (stage === this.stage) {
          this.send('data', { copyNumber: 0, dataLength: REQUEST_BYTES });
        }
      });
    });
    this.parts.clock.after(FIRST_RESEND_MS, () => this.resendRequest(stage, 2 * FIRST_RESEND_MS));
    this.parts.clock.after(REQUEST_DEADLINE_MS, () => this.failIfStill(stage));
  }

  private resendRequest(stage: number, resendMs: number): void {
    if (stage === this.stage) {
      this.send('data', { copyNumber: 0, dataLength: REQUEST_BYTES });
      this.parts.clock.after(resendMs, () => this.resendRequest(stage, 2 * resendMs));
    }
  }

  private handleAnswer(packet: TokenPacket): void {
    this.token = packet.token;
    if (packet.requestId !== this.requestId || this.flow.name !== 'open') {
      return;
    }
    const { clock, random, oracle } = this.parts;
    this.servedRequests += 1;
    oracle.servedRequests += 1;
    this.requestsLeft -= 1;
    this.sequence += REQUEST_BYTES;
    const stage = this.enterNextStage();
    this.requestId += 1;
    this.send('acknowledge', { copyNumber: 0, dataLength: 0 });
    clock.after(random.nextFloat() * MAX_PAUSE_MS, () => {
      if (stage !== this.stage) {
        return;
      }
      if (this.requestsLeft > 0) {
        this.sendRequest();
      } else {
        this.send('finish', { copyNumber: 0, dataLength: 0 });
        this.openFlow();
      }
    });
  }

  private handleReset(packet: TokenPacket): void {
    const { clock, oracle } = this.parts;
    if (this.flow.name === 'open') {
      const client = formatAddress(this.address);
      const { acceptNumber } = this.flow;
      const isFromOwner = packet.acceptNumber === acceptNumber;
      if (!isFromOwner && this.world.isHeldOpen(client, acceptNumber)) {
        oracle.reportBrokenFlow(
          clock.nowMs,
          `open flow ${client} was reset by a back end that does not own it`,
        );
      }
    }
    this.failIfStill(this.stage);
  }

  private failIfStill(stage: number): void {
    if (stage === this.stage) {
      this.failedRequests += 1;
      this.enterNextStage();
      this.parts.clock.after(RETRY_PAUSE_MS, () => this.openFlow());
    }
  }

  private enterNextStage(): number {
    this.stage += 1;
    return this.stage;
  }

  private send(
    kind: PacketKind,
    { copyNumber, dataLength }: { readonly copyNumber: number; readonly dataLength: number },
  ): void {
    const packet = sealPacket({
      kind,
      from: this.address,
      to: this.route,
      token: kind === 'open' ? 0 : this.token,
      copyNumber,
      acceptNumber: this.flow.name === 'open' ? this.flow.acceptNumber : 0,
      requestId: this.requestId,
      sequence: this.sequence,
      acknowledged: kind === 'acknowledge' ? this.requestId : copyNumber,
      dataLength,
    });
    const balancer = this.world.pickBalancer(formatAddress(this.address));
    if (balancer !== undefined) {
      this.parts.wires.sendDatagram(this.host, balancer, encodePacket(packet));
    }
  }
}
