/**
 * @file The outgoing links of a simulated control machine, opened and opened again as the daemon does.
 */
import { formatAddress, type Address } from '../common/address.js';
import type { PeerEnvelope } from '../control/peer-messages.js';
import type { Simulation } from './simulation.js';
import { connectVirtualLink, type VirtualLinkEnd } from './virtual-links.js';

const FIRST_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;

interface PeerLink {
  link: VirtualLinkEnd | undefined;
  retryDelayMs: number;
  retryAtMs: number;
}

/** All outgoing links of a control machine. */
export class SimulatedPeerLinks {
  private readonly links = new Map<string, PeerLink>();

  constructor(
    private readonly simulation: Simulation,
    private readonly host: string,
  ) {}

  send(address: Address, envelope: PeerEnvelope): void {
    const peer = this.peerAt(address);
    if (peer.link === undefined && this.simulation.nowMs >= peer.retryAtMs) {
      this.open(address, peer);
    }
    peer.link?.send(envelope);
  }

  /** The process ends: its links close. */
  close(): void {
    this.links.forEach(({ link }) => link?.close());
    this.links.clear();
  }

  /** The machine loses power: the peers are told nothing. */
  vanish(): void {
    this.links.forEach(({ link }) => link?.vanish());
    this.links.clear();
  }

  private peerAt(address: Address): PeerLink {
    const key = formatAddress(address);
    const known = this.links.get(key);
    if (known !== undefined) {
      return known;
    }
    const peer: PeerLink = {
      link: undefined,
      retryDelayMs: FIRST_RETRY_DELAY_MS,
      retryAtMs: 0,
    };
    this.links.set(key, peer);
    return peer;
  }

  private open(address: Address, peer: PeerLink): void {
    const { clock, network, linkListeners, nowMs } = this.simulation;
    const listener = linkListeners.get(formatAddress(address));
    if (listener?.isListening() !== true || network.isCut(this.host, address.host)) {
      this.noteBroken(peer, false);
      return;
    }
    const hosts = { near: this.host, far: listener.host };
    const acceptor = listener.accept();
    const near = {
      onMessage: () => undefined,
      onClose: () => this.noteBroken(peer, this.simulation.nowMs - nowMs > MAX_RETRY_DELAY_MS),
    };
    const pair = connectVirtualLink(clock, network, hosts, near, acceptor);
    acceptor.opened(pair.far);
    peer.link = pair.near;
  }

  private noteBroken(peer: PeerLink, lasted: boolean): void {
    peer.link = undefined;
    peer.retryDelayMs = lasted
      ? FIRST_RETRY_DELAY_MS
      : Math.min(MAX_RETRY_DELAY_MS, peer.retryDelayMs * 2);
    peer.retryAtMs = this.simulation.nowMs + peer.retryDelayMs;
  }
}
