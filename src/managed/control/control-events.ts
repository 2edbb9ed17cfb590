/**
 * @file Events and effects of a control machine's step function.
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

/** A change to the control group's membership. */
export interface MemberCommand {
  /** `add-member` adds a machine that announced itself, as a learner. */
  readonly type: 'add-member' | 'promote-member' | 'remove-member';
  readonly nodeId: NodeId;
}

/** An input of a control machine's step function. */
export type ControlEvent =
  /** A command for the log; a system command if there is no request ID. */
  | { readonly type: 'propose'; readonly requestId?: RequestId; readonly entry: CommandEntry }
  /** A linearizable read, answered with `query-reply`. */
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
  /** A planned shutdown: transfers leadership. */
  | { readonly type: 'stop' }
  /** Sent every 20 ms. */
  | {
      readonly type: 'tick';
      /** Unix time in milliseconds. */
      readonly wallTimeMs: number;
      /** 16 cryptographically random bytes, for a token key. */
      readonly freshSecret: Uint8Array;
    };

/** An output of a control machine's step function, performed by the daemon in order. */
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
  /** The query may be answered from the current state, or is refused with `error`. */
  | {
      readonly type: 'query-reply';
      readonly requestId: RequestId;
      readonly error?: AmberliftError;
      readonly leader?: Address;
    }
  /** The role, term or leader changed; logged by the daemon. */
  | { readonly type: 'role-changed' };
