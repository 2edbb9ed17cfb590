/**
 * @file The events of a control machine's step and the effects that it returns.
 */
import type { Address } from '../../shared/common/address.js';
import type { NodeId } from '../../shared/consensus/membership.js';
import type { PersistEffect, PersistEvent } from '../../shared/consensus/persisted-state.js';
import type { BalancerToControlMessage } from '../dissemination/link-messages.js';
import type { LinkId, LinkSendEffect } from '../dissemination/publisher.js';
import type { AmberliftError } from '../../shared/common/error-kinds.js';
import type { CommandEntry, CommandOutcome } from './commands.js';
import type { RequestId } from './control-state.js';
import type { PeerEnvelope } from './peer-messages.js';

/** A change of the control machines themselves, by node ID. */
export interface MemberCommand {
  /** `add-member` takes in a machine that announced itself, as a learner. */
  readonly type: 'add-member' | 'promote-member' | 'remove-member';
  readonly nodeId: NodeId;
}

/** An event of a control machine's step. */
export type ControlEvent =
  /** A command for the log; without request ID it is the system's own. */
  | { readonly type: 'propose'; readonly requestId?: RequestId; readonly entry: CommandEntry }
  /** A query, which must not be answered from an outdated state. */
  | { readonly type: 'query'; readonly requestId: RequestId }
  | {
      readonly type: 'change-members';
      readonly requestId: RequestId;
      readonly command: MemberCommand;
    }
  | { readonly type: 'peer-message'; readonly envelope: PeerEnvelope }
  | PersistEvent
  | {
      readonly type: 'link-message';
      readonly linkId: LinkId;
      readonly message: BalancerToControlMessage;
    }
  | { readonly type: 'link-closed'; readonly linkId: LinkId }
  /** A planned stop is near: leadership is handed over. */
  | { readonly type: 'stop' }
  /** Comes every 20 ms. */
  | {
      readonly type: 'tick';
      /** Unix time in milliseconds. */
      readonly wallTimeMs: number;
      /** 16 random bytes from a cryptographic source, for a token key. */
      readonly freshSecret: Uint8Array;
    };

/** An effect of a control machine's step, for the daemon to perform in order. */
export type ControlEffect =
  | LinkSendEffect
  | PersistEffect
  | {
      readonly type: 'peer-send';
      readonly address: Address;
      readonly envelope: PeerEnvelope;
    }
  | {
      readonly type: 'operator-reply';
      readonly requestId: RequestId;
      readonly outcome: CommandOutcome;
    }
  /** A query may be answered from the state now, or why it may not. */
  | {
      readonly type: 'query-reply';
      readonly requestId: RequestId;
      readonly error?: AmberliftError;
      readonly leader?: Address;
    }
  /** Role, term or known leader changed; for logs. */
  | { readonly type: 'role-changed' };
