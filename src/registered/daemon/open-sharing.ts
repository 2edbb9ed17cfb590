/**
 * @file Was the open of a flow placed by another balancer, and where?
 *
 * Copies of one open may reach different balancers, and all must go to the back end of the first. The balancer that
 * places an open publishes the placement to the holders of its key, which all balancers choose alike
 * (`ingress/peer-table.ts`). One that gets a copy which it does not know holds it for a moment and asks them: what they
 * know decides; where none answers in time the open is placed here; where another balancer asked first
 * (`decisions/open-claims.ts`) the copy is dropped, since that one places it.
 *
 * Owns the opens that are held. The memory of placements is `IngressState.opens`.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import type { OpenMessage } from '../group/message-schemas.js';
import type { IngressState } from '../ingress/ingress-state.js';
import { CLAIM_LIFETIME_MS, createOpenClaims } from '../decisions/open-claims.js';
import type { FlowKey, PacketView } from '../ingress/packet-view.js';
import { ASKED_HOLDERS, NOTIFIED_HOLDERS } from '../ingress/peer-table.js';

/** An open that waits for the answer of the holders. */
export interface HeldOpen {
  readonly datagram: Uint8Array;
  readonly packet: PacketView;
}

/** What the owner of the packets does for the sharing. */
export interface OpenSharingOptions {
  readonly state: IngressState;
  /** Where other balancers answer. */
  readonly replyTo: Address;
  nowMs(): number;
  after(delayMs: number, run: () => void): void;
  sendToBalancer(to: Address, message: OpenMessage): void;
  /** No holder knows of the open: it is to be placed. */
  onUnknown(held: HeldOpen): void;
  /** Another balancer asked first and is about to place it: it is not placed here. */
  onClaimed(held: HeldOpen): void;
  /** A holder knows to which back end the open went. */
  onFound(held: HeldOpen, key: FlowKey, token: number): void;
}

/** Shares the memory of opens with other balancers. */
export interface OpenSharing {
  /** Lets the holders know where an open was placed. */
  publishPlacement(key: FlowKey, token: number): void;
  /**
   * Holds an open and asks the holders. One that is held already, or for which there is no room, is dropped: its
   * client sends another copy.
   */
  askHolders(key: FlowKey, held: HeldOpen): void;
  /** Handles a message of another balancer. */
  handleMessage(message: OpenMessage): void;
}

/**
 * How long holders may take to answer, in milliseconds: a round trip between zones (a few ms) and a busy turn at both ends,
 * well below the 200 ms between two copies. Not measured; flows that are reset by a second back end would show it too
 * short, opens by copies that take long too long.
 */
const ASK_MS = 30;
/**
 * A balancer whose wait took longer, in milliseconds, since it had no processor meanwhile, asks again: its claim may be
 * over, and another balancer may be placing the open. Half of a claim, so that the answer still comes within it.
 */
const LATE_MS = CLAIM_LIFETIME_MS / 2;
/**
 * Opens that are held at the same time; each holds a datagram and its view. At 30 ms each this is room for more
 * than 300,000 unknown copies a second. Not measured; it bounds memory under a flood of opens.
 */
const MAX_HELD = 10_000;

interface WaitingOpen extends HeldOpen {
  readonly askedAtMs: number;
}

/** @returns the sharing of a balancer that holds nothing yet */
export function createOpenSharing(options: OpenSharingOptions): OpenSharing {
  const { state, replyTo } = options;
  const held = new Map<FlowKey, WaitingOpen>();
  const claims = createOpenClaims();

  return { publishPlacement, askHolders, handleMessage };

  function publishPlacement(key: FlowKey, token: number): void {
    sendToHolders(key, NOTIFIED_HOLDERS, { type: 'open-placed', key, token });
  }

  function askHolders(key: FlowKey, open: HeldOpen): void {
    if (held.has(key) || held.size >= MAX_HELD) {
      return;
    }
    const askedAtMs = options.nowMs();
    if (!claims.claim(key, replyTo, askedAtMs)) {
      options.onClaimed(open);
      return;
    }
    held.set(key, { ...open, askedAtMs });
    sendToHolders(key, ASKED_HOLDERS, { type: 'find-open', key, replyTo });
    options.after(ASK_MS, () => release(key, endWait));
  }

  function endWait(waiting: WaitingOpen, key: FlowKey): void {
    if (options.nowMs() - waiting.askedAtMs > LATE_MS) {
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

  /** Another balancer has placed an open; one that asked about it shortly before must not place it as well. */
  function applyPlacement(key: FlowKey, token: number): void {
    const nowMs = options.nowMs();
    state.opens.remember(key, token, nowMs);
    release(key, (waiting) => options.onFound(waiting, key, token));
    const asker = claims.claimantOf(key, nowMs);
    if (asker !== undefined && formatAddress(asker) !== formatAddress(replyTo)) {
      options.sendToBalancer(asker, { type: 'open-found', key, token });
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

  /** Ends the wait of an open; what comes after that, an answer or the end of the time, finds none. */
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
