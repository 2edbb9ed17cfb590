/**
 * @file Events and effects of the step of a control machine of a group.
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

/** Names a call of a back end or operator until its reply; positive. */
export type RequestId = number;

/** What can happen to a control machine. */
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
      /** Names the start, or the back end alone where it does not say when it started (registry/backend-start.ts). */
      readonly backendId: string;
    }
  /** The document is valid; it comes into force where its version is the highest. */
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
  /** The process is about to stop: leadership is handed over. */
  | { readonly type: 'stop' };

/** The reply to a call. */
export type GroupReply =
  | { readonly type: 'accepted' }
  | { readonly type: 'config'; readonly document: ConfigDocument | undefined }
  | { readonly type: 'zones'; readonly zones: readonly ZoneReport[] }
  /** Nothing was ordered: the deployment has no such zone. */
  | { readonly type: 'unknown-zone'; readonly zone: string }
  /** Nothing is promised: the call may or may not take effect. */
  | { readonly type: 'unavailable'; readonly reason: string };

/** What the step asks of its surroundings. */
export type GroupEffect =
  | PersistEffect
  | { readonly type: 'send-peer'; readonly to: Address; readonly message: PeerMessage }
  | { readonly type: 'send-feed'; readonly linkId: LinkId; readonly message: FeedMessage }
  | { readonly type: 'reply'; readonly requestId: RequestId; readonly reply: GroupReply }
  /** A decision that changed what this process believes; for logs. */
  | {
      readonly type: 'decision';
      readonly name: string;
      readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
    };
