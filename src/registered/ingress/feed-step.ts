/**
 * @file Applies feed messages: the only place where control machines, and balancers that pass on what they learned from them,
 * change the back ends, balancers, zones and configuration of an ingress.
 */
import { NO_VERSION } from '../declared/config-update.js';
import type { FeedMessage } from '../group/group-messages.js';
import type { IngressState } from './ingress-state.js';

/** Effect of a message on the configuration. */
export type ConfigOutcome =
  | { readonly type: 'unchanged' }
  | { readonly type: 'in-force'; readonly version: number }
  /** The update does not build on the current configuration; the sender must restart it. */
  | { readonly type: 'unfit' };

/** Transfers of one sender that take several messages. */
export type SyncProgress = Pick<IngressState, 'fullSync' | 'configAssembly'>;

/** A message, and how much of it takes effect. */
export interface FeedContent {
  readonly received: FeedMessage;
  /** The part of the message that is applied. */
  readonly applied: FeedMessage;
  /** What the end of a full sync does to balancers and back ends that it did not name. */
  readonly endsSync: SyncEnd;
  readonly nowMs: number;
  /** Back ends that take no address from another one. */
  readonly inactiveIds?: ReadonlySet<string>;
}

/** Whether what a full sync did not name is kept. */
type SyncEnd =
  /** Balancers are dropped, and back ends become suspect. */
  | 'completely'
  /** Balancers are dropped. */
  | 'for-balancers'
  | 'not-at-all';

/** Applies a message of the control machine that feeds this balancer. */
export function applyFeedMessage(
  state: IngressState,
  message: FeedMessage,
  nowMs: number,
): ConfigOutcome {
  const { peerKnowledge, feedStatus } = state;
  if (message.isCurrent) {
    peerKnowledge.recordControl(nowMs);
  }
  const outcome = applyFeedContent(state, state, contentOf(state, message, nowMs));
  applyFleet(state, message, nowMs);
  if (message.isCurrent && message.isComplete && outcome.type !== 'unfit') {
    feedStatus.recordCurrent(nowMs);
  }
  return outcome;
}

/** A peer that is fed by a current control machine knows more than a control machine that is not current. */
function contentOf(state: IngressState, message: FeedMessage, nowMs: number): FeedContent {
  const { isCurrent } = message;
  if (isCurrent || !state.peerKnowledge.isFed) {
    const endsSync = isCurrent ? 'completely' : 'for-balancers';
    return { received: message, applied: message, endsSync, nowMs };
  }
  const applied = { ...message, records: [], judgements: [], balancers: [], lostBalancers: [] };
  return { received: message, applied, endsSync: 'not-at-all', nowMs };
}

/** Applies the content of a message of any sender, without its loads; does not make this balancer current. */
export function applyFeedContent(
  state: IngressState,
  progress: SyncProgress,
  content: FeedContent,
): ConfigOutcome {
  const { applied, nowMs } = content;
  state.zones.applyUpdates(applied.zones ?? [], nowMs);
  applyMembers(state, progress, content);
  return applyConfig(state, progress, applied);
}

/** Applies back ends and balancers. Departures come after the records that they may refer to. */
function applyMembers(state: IngressState, progress: SyncProgress, content: FeedContent): void {
  const { received, applied, nowMs, inactiveIds } = content;
  const { records, judgements, departures, balancers = [], lostBalancers = [] } = applied;
  const { backends, peers } = state;
  progress.fullSync.collect(received);
  records?.forEach((aged) => backends.applyRecord(aged, nowMs, inactiveIds?.has(aged.record.id)));
  judgements?.forEach((change) => backends.applyLiveness(change, nowMs));
  departures?.forEach((departure) => backends.applyDeparture(departure, nowMs));
  peers.applyChanges(balancers, lostBalancers);
  endFullSync(state, progress, content);
}

/** After the last message of a full sync, drops the balancers and suspects the back ends that it did not name. */
function endFullSync(
  state: IngressState,
  { fullSync }: SyncProgress,
  { received, endsSync, nowMs }: FeedContent,
): void {
  const named = fullSync.finish(received);
  if (named === undefined || endsSync === 'not-at-all') {
    return;
  }
  state.peers.retain(named.balancerNames);
  if (endsSync === 'completely') {
    state.backends.suspectMissing(named.backendIds, nowMs);
  }
}

function applyFleet(
  { backends, options }: IngressState,
  { loads, signals, suspects }: FeedMessage,
  nowMs: number,
): void {
  if (loads !== undefined) {
    backends.applyFleetLoads(loads);
  }
  if (signals !== undefined) {
    backends.applyFleetAnswerStats(signals);
  }
  if (suspects !== undefined && options.switches.sharedEvidence === 'on') {
    backends.applyFleetSuspicions(suspects, nowMs);
  }
}

function applyConfig(
  { routes, heldConfig }: IngressState,
  { configAssembly }: SyncProgress,
  { config }: FeedMessage,
): ConfigOutcome {
  if (config === undefined || config.version <= (routes.config?.version ?? NO_VERSION)) {
    return { type: 'unchanged' };
  }
  const part = configAssembly.addPart(config);
  if (part.type !== 'complete') {
    return part.type === 'unfit' ? part : { type: 'unchanged' };
  }
  const applied = routes.applyUpdate(part.update);
  if (applied === 'applied') {
    heldConfig?.recordUpdate(part.update);
  }
  return applied === 'applied'
    ? { type: 'in-force', version: part.update.version }
    : { type: applied === 'unfit' ? 'unfit' : 'unchanged' };
}
