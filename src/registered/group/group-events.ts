/**
 * @file Types of the events that the step of a control machine handles and of the effects that it returns.
 */
import type { Address } from '../../shared/common/address.js';
import type { LinkId } from '../../shared/common/link-table.js';
import type { PersistEffect, PersistEvent } from '../../shared/consensus/persisted-state.js';
import type { BackendRecord } from '../registry/backend-record.js';
import type {
  FeedMessage,
  FeedTakenMessage,
  LoadReportMessage,
  PeerMessage,
  SubscribeMessage,
  ZoneReport,
} from './group-messages.js';
import type { ConfigDocument } from './replicated-state.js';
import type { ZoneOrderKind } from './zone-orders.js';

/** Identifies a call of a back end or operator until its reply; positive. */
export type RequestId = number;

/** Input of the step of a control machine. */
export type GroupEvent =
  | {
      readonly type: 'heartbeat';
      readonly requestId: RequestId;
      readonly record: BackendRecord;
      readonly isDraining: boolean;
    }
  | {
      readonly type: 'deregister';
      readonly requestId: RequestId;
      /** ID of the start; the plain name if the back end reports no start time (registry/backend-start.ts). */
      readonly backendId: string;
    }
  /** The document has been validated; it takes effect if its version is the highest. */
  | {
      readonly type: 'declare-config';
      readonly requestId: RequestId;
      readonly document: ConfigDocument;
    }
  | { readonly type: 'read-config'; readonly requestId: RequestId }
  | {
      readonly type: 'order-zone';
      readonly requestId: RequestId;
      readonly zone: string;
      readonly kind: ZoneOrderKind;
    }
  | { readonly type: 'read-zones'; readonly requestId: RequestId }
  | { readonly type: 'peer-message'; readonly message: PeerMessage }
  | { readonly type: 'subscribe'; readonly linkId: LinkId; readonly message: SubscribeMessage }
  | { readonly type: 'load-report'; readonly linkId: LinkId; readonly message: LoadReportMessage }
  | { readonly type: 'feed-taken'; readonly linkId: LinkId; readonly message: FeedTakenMessage }
  | { readonly type: 'link-closed'; readonly linkId: LinkId }
  | PersistEvent
  | { readonly type: 'tick' }
  /** The process is about to stop and hands over leadership. */
  | { readonly type: 'stop' };

/** Reply to a call of a back end or operator. */
export type GroupReply =
  | { readonly type: 'accepted' }
  | { readonly type: 'config'; readonly document: ConfigDocument | undefined }
  | { readonly type: 'zones'; readonly zones: readonly ZoneReport[] }
  /** The deployment has no such zone; nothing was changed. */
  | { readonly type: 'unknown-zone'; readonly zone: string }
  /** The outcome is unknown: the call may or may not take effect. */
  | { readonly type: 'unavailable'; readonly reason: string };

/** Output of the step, to be carried out by the caller. */
export type GroupEffect =
  | PersistEffect
  | { readonly type: 'send-peer'; readonly to: Address; readonly message: PeerMessage }
  | { readonly type: 'send-feed'; readonly linkId: LinkId; readonly message: FeedMessage }
  | { readonly type: 'reply'; readonly requestId: RequestId; readonly reply: GroupReply }
  /** A line for the log. */
  | {
      readonly type: 'decision';
      readonly name: string;
      readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
    };
