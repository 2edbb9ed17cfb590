/**
 * @file Events and effects of a control machine's step.
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

/** What can happen to a control machine. */
export type ControlEvent =
  /** A command came; without request ID it is the system's own. */
  | { readonly type: 'propose'; readonly requestId?: RequestId; readonly entry: CommandEntry }
  /** A question came that must not be answered from the past. */
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
  /** Comes often. `wallTimeMs`: time of day in milliseconds since 1970, for the leader's duties. */
  | {
      readonly type: 'tick';
      /** Unix time in milliseconds. */
      readonly wallTimeMs: number;
      /** 16 random bytes from a cryptographic source, for a token key. */
      readonly freshSecret: Uint8Array;
    };

/** What a control machine's step asks of its surroundings. */
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
  /** The state may be shown now, or why it may not. */
  | {
      readonly type: 'query-reply';
      readonly requestId: RequestId;
      readonly error?: AmberliftError;
      readonly leader?: Address;
    }
  /** Role, term or known leader changed; for logs. */
  | { readonly type: 'role-changed' };
