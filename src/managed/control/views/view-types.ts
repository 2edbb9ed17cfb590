/**
 * @file Answers to queries. None holds a log index or anything else that counts the commands of
 * another operator.
 */
import type { Address } from '../../../shared/common/address.js';
import type { AmberliftError } from '../../../shared/common/error-kinds.js';
import type { BackendAdminState, PlacementPolicyName, ServiceLimits } from '../routing-config.js';
import type { BackendLoad } from './backend-load.js';
import type { InForceSummary, LaggingBalancer } from './in-force.js';

/** An accepted command as its operator sees it. */
export interface VisibleAcceptedOutcome {
  readonly accepted: true;
  /** Counts the accepted commands of this operator alone. */
  readonly revision: number;
  /** Version of the service after the change. */
  readonly version?: number | undefined;
  readonly serviceId?: number | undefined;
  readonly backendId?: number | undefined;
  readonly planId?: number | undefined;
}

/** The outcome of a command as its operator sees it. */
export type VisibleOutcome =
  VisibleAcceptedOutcome | { readonly accepted: false; readonly error: AmberliftError };

/** A service. */
export interface ServiceView {
  readonly id: number;
  readonly name: string;
  readonly address: Address;
  readonly policy: PlacementPolicyName;
  readonly limits: ServiceLimits;
  /** The version that is committed. */
  readonly version: number;
  /** The version that is in force on every balancer; 0 before the definition is. */
  readonly versionInForceEverywhere: number;
  readonly backendCount: number;
}

/** A back end. */
export interface BackendView {
  readonly id: number;
  /** Name of its service. */
  readonly service: string;
  readonly address: Address;
  readonly healthAddress: Address;
  readonly zone: string;
  readonly adminState: BackendAdminState;
  /** Absent where no balancer has reported it. */
  readonly load?: BackendLoad | undefined;
}

/** A planned change. */
export interface PlanView {
  readonly id: number;
  /** Unix time in milliseconds. */
  readonly atMs: number;
  /** The change as a statement. */
  readonly statement: string;
  readonly commandId: string;
}

/** An accepted change that is not in force everywhere. */
export interface RollingChangeView {
  readonly revision: number;
  readonly commandId: string;
  readonly statement: string;
  readonly lagging: readonly LaggingBalancer[];
}

/** A line of the audit log. */
export interface AuditView {
  readonly number: number;
  /** Unix time in milliseconds. */
  readonly atMs: number;
  readonly commandId: string;
  readonly statement: string;
  readonly outcome: VisibleOutcome;
}

/** The answer to a query; `type` is that of the query. */
export type QueryResult =
  | { readonly type: 'services'; readonly services: readonly ServiceView[] }
  | {
      readonly type: 'service';
      readonly service: ServiceView;
      readonly backends: readonly BackendView[];
    }
  | { readonly type: 'backends'; readonly backends: readonly BackendView[] }
  | {
      readonly type: 'changes';
      readonly planned: readonly PlanView[];
      readonly rollingOut: readonly RollingChangeView[];
    }
  | ({ readonly type: 'in-force' } & InForceSummary)
  | ({ readonly type: 'balancers' } & InForceSummary)
  | {
      readonly type: 'capacity';
      readonly balancerCount: number;
      /** Established flows over all services of all partners; absent where not reported. */
      readonly totalConnections?: number | undefined;
    }
  | { readonly type: 'audit'; readonly entries: readonly AuditView[] }
  | {
      readonly type: 'explain-backend';
      readonly backend: BackendView;
      readonly service: ServiceView;
      /** Planned changes of this back end. */
      readonly planned: readonly PlanView[];
      /** Kept lines of the audit log on this back end, oldest first. */
      readonly history: readonly AuditView[];
    }
  | {
      readonly type: 'explain-command';
      readonly commandId: string;
      readonly outcome: VisibleOutcome;
      /** The line of the audit log, while it is kept. */
      readonly entry?: AuditView | undefined;
      /** What came of the planned change that the command planned, once it was executed. */
      readonly run?: AuditView | undefined;
      /** Balancers on which it is not in force. */
      readonly lagging: readonly LaggingBalancer[];
    };
