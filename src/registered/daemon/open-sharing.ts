/**
 * @file Shares placements of opens between balancers, since copies of one open may reach different balancers and must
 * all go to the same back end. A balancer publishes each placement to the holders of its key (`ingress/peer-table.ts`)
 * and asks them about an unknown copy. Without an answer in time the open is placed here; if another balancer claimed
 * it first (`decisions/open-claims.ts`) the copy is dropped.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { OpenMessage } from '../group/message-schemas.js';
import type { IngressState } from '../ingress/ingress-state.js';
import { CLAIM_LIFETIME_MS, createOpenClaims } from '../decisions/open-claims.js';
import type { FlowKey, PacketView } from '../ingress/packet-view.js';
import { ASKED_HOLDERS, NOTIFIED_HOLDERS } from '../ingress/peer-table.js';

/** An open that is held until the holders answer. */
export interface HeldOpen {
  readonly datagram: Uint8Array;
  readonly packet: PacketView;
}

/** Dependencies and callbacks of the sharing. */
export interface OpenSharingOptions {
  readonly state: IngressState;
  /** Peer address of this balancer. */
  readonly replyTo: Address;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  sendToBalancer(to: Address, message: OpenMessage): void;
  /** No holder has a placement: the open is to be placed here. */
  onUnknown(held: HeldOpen): void;
  /** Another balancer has claimed the open and places it. */
  onClaimed(held: HeldOpen): void;
  /** A holder has a placement; `token` identifies its back end. */
  onFound(held: HeldOpen, key: FlowKey, token: number): void;
}

/** Shares placements of opens with other balancers. */
export interface OpenSharing {
  /** Sends a placement to the holders of its key. */
  publishPlacement(key: FlowKey, token: number): void;
  /**
   * Holds an open and asks the holders. It is dropped if a copy is already held or the limit is reached: the client
   * retransmits.
   */
  askHolders(key: FlowKey, held: HeldOpen): void;
  /** Handles a message of another balancer. */
  handleMessage(message: OpenMessage): void;
}

/** A round trip between zones plus processing delay; well below the retransmission timeout of clients (200 ms). */
const HOLDER_TIMEOUT_MS = 30;
/**
 * If the timer fires later than this, for example after the process was paused, the holders are asked again: the claim
 * may have expired. Half of its lifetime leaves time for the answer.
 */
const MAX_WAIT_MS = CLAIM_LIFETIME_MS / 2;
/** Bounds the memory under a flood of opens. */
const MAX_HELD_OPENS = 10_000;

interface WaitingOpen extends HeldOpen {
  readonly askedAtMs: number;
}

/** @returns the sharing of one balancer, without held opens */
export function createOpenSharing(options: OpenSharingOptions): OpenSharing {
  const { state, replyTo } = options;
  const held = new Map<FlowKey, WaitingOpen>();
  const claims = createOpenClaims();

  return { publishPlacement, askHolders, handleMessage };

  function publishPlacement(key: FlowKey, token: number): void {
    sendToHolders(key, NOTIFIED_HOLDERS, { type: 'open-placed', key, token });
  }

  function askHolders(key: FlowKey, open: HeldOpen): void {
    if (held.has(key) || held.size >= MAX_HELD_OPENS) {
      return;
    }
    const askedAtMs = options.nowMs();
    if (!claims.claim(key, replyTo, askedAtMs)) {
      options.onClaimed(open);
      return;
    }
    held.set(key, { ...open, askedAtMs });
    sendToHolders(key, ASKED_HOLDERS, { type: 'find-open', key, replyTo });
    options.after(HOLDER_TIMEOUT_MS, () => release(key, handleTimeout));
  }

  function handleTimeout(waiting: WaitingOpen, key: FlowKey): void {
    if (options.nowMs() - waiting.askedAtMs > MAX_WAIT_MS) {
      askHolders(key, waiting);
    } else {
      options.onUnknown(waiting);
    }
  }

  function handleMessage(message: OpenMessage): void {
    switch (message.type) {
      case 'open-placed':
        applyPlacement(message.key, message.token);
        return;
      case 'find-open':
        answerQuery(message.key, message.replyTo);
        return;
      case 'open-claimed':
        release(message.key, (waiting) => options.onClaimed(waiting));
        return;
      case 'open-found':
        release(message.key, (waiting) => options.onFound(waiting, message.key, message.token));
        return;
    }
  }

  /** Records a placement of another balancer and forwards it to the claimant, which must not place the open as well. */
  function applyPlacement(key: FlowKey, token: number): void {
    const nowMs = options.nowMs();
    state.opens.remember(key, token, nowMs);
    release(key, (waiting) => options.onFound(waiting, key, token));
    const claimant = claims.claimantOf(key, nowMs);
    if (claimant !== undefined && formatAddress(claimant) !== formatAddress(replyTo)) {
      options.sendToBalancer(claimant, { type: 'open-found', key, token });
    }
  }

  function answerQuery(key: FlowKey, to: Address): void {
    const nowMs = options.nowMs();
    const token = state.opens.recall(key, nowMs);
    if (token !== undefined) {
      options.sendToBalancer(to, { type: 'open-found', key, token });
    } else if (!claims.claim(key, to, nowMs)) {
      options.sendToBalancer(to, { type: 'open-claimed', key });
    }
  }

  /** Removes a held open and runs a callback on it; does nothing if it was already released. */
  function release(key: FlowKey, run: (waiting: WaitingOpen, key: FlowKey) => void): void {
    const waiting = held.get(key);
    if (waiting !== undefined) {
      held.delete(key);
      run(waiting, key);
    }
  }

  function sendToHolders(key: FlowKey, count: number, message: OpenMessage): void {
    state.peers
      .holdersOf(key, count)
      .forEach(({ peerAddress }) => options.sendToBalancer(peerAddress, message));
  }
}
