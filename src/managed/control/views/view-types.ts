/**
 * @file Types of query answers. They contain no log index or other counter that would reveal the commands of other
 * operators.
 */
import type { Address } from '../../../shared/common/address.js';
import type { AmberliftError } from '../../../shared/common/error-kinds.js';
import type { BackendAdminState, PlacementPolicyName, ServiceLimits } from '../routing-config.js';
import type { BackendLoad } from './backend-load.js';
import type { InForceSummary, LaggingBalancer } from './in-force.js';

/** Outcome of an accepted command, as shown to its operator. */
export interface VisibleAcceptedOutcome {
  readonly accepted: true;
  /** Number of accepted commands of this operator. */
  readonly revision: number;
  /** Version of the service after the change. */
  readonly version?: number | undefined;
  readonly serviceId?: number | undefined;
  readonly backendId?: number | undefined;
  readonly planId?: number | undefined;
}

/** Outcome of a command, as shown to its operator. */
export type VisibleOutcome =
  VisibleAcceptedOutcome | { readonly accepted: false; readonly error: AmberliftError };

/** A service, as shown to its operator. */
export interface ServiceView {
  readonly id: number;
  readonly name: string;
  readonly address: Address;
  readonly policy: PlacementPolicyName;
  readonly limits: ServiceLimits;
  /** Committed version. */
  readonly version: number;
  /** Version that is in force on every balancer; 0 if the definition is not. */
  readonly versionInForceEverywhere: number;
  readonly backendCount: number;
}

/** A back end, as shown to its operator. */
export interface BackendView {
  readonly id: number;
  /** Service name. */
  readonly service: string;
  readonly address: Address;
  readonly healthAddress: Address;
  readonly zone: string;
  readonly adminState: BackendAdminState;
  /** Absent if no balancer has reported it. */
  readonly load?: BackendLoad | undefined;
}

/** A planned change, as shown to its operator. */
export interface PlanView {
  readonly id: number;
  /** Unix time in milliseconds. */
  readonly atMs: number;
  /** The change in the command language. */
  readonly statement: string;
  readonly commandId: string;
}

/** An accepted change that is not in force on every balancer. */
export interface RollingChangeView {
  readonly revision: number;
  readonly commandId: string;
  readonly statement: string;
  readonly lagging: readonly LaggingBalancer[];
}

/** An entry of the audit log. */
export interface AuditView {
  readonly number: number;
  /** Unix time in milliseconds. */
  readonly atMs: number;
  readonly commandId: string;
  readonly statement: string;
  readonly outcome: VisibleOutcome;
}

/** The answer to the query with the same `type`. */
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
      /** Established flows of all services of all operators; absent if not reported. */
      readonly totalConnections?: number | undefined;
    }
  | { readonly type: 'audit'; readonly entries: readonly AuditView[] }
  | {
      readonly type: 'explain-backend';
      readonly backend: BackendView;
      readonly service: ServiceView;
      /** Planned changes of this back end. */
      readonly planned: readonly PlanView[];
      /** Retained audit log entries about this back end, oldest first. */
      readonly history: readonly AuditView[];
    }
  | {
      readonly type: 'explain-command';
      readonly commandId: string;
      readonly outcome: VisibleOutcome;
      /** The audit log entry, if it is still retained. */
      readonly entry?: AuditView | undefined;
      /** The execution of the planned change that the command created, if it has run. */
      readonly run?: AuditView | undefined;
      /** Balancers on which the command is not in force. */
      readonly lagging: readonly LaggingBalancer[];
    };
