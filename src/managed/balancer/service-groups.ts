/**
 * @file A balancer's back ends grouped by service, with each service's candidates. Maintained by `candidates.ts`.
 */
import type { JudgementGroup, JudgementTransition } from '../health/judgement-state.js';
import type { BackendView } from './backend-view.js';

/** A change of a back end's judged state. */
export interface BackendChange extends JudgementTransition {
  readonly backendId: number;
}

/** The back ends of one service. */
export interface ServiceGroup {
  readonly views: BackendView[];
  readonly judgements: JudgementGroup;
  /** Back ends that may receive new flows. */
  candidates: readonly BackendView[];
  /** True if a back end's state has changed since the candidates were built. */
  candidatesOutdated: boolean;
  candidatesBuiltAtMs: number;
  /** Candidates with a confirmed identity, as of the last open without a lease. */
  usableCandidates: readonly BackendView[];
  /** Connections divided by their limit: moving average over trusted reports. */
  smoothedUtilization: number;
}

/** The groups of all services for one configuration. */
export interface ServiceGroups {
  /** Log index of the configuration that the groups were built from; undefined before the first. */
  configIndex: number | undefined;
  readonly byServiceId: Map<number, ServiceGroup>;
}

/**
 * @returns an empty index, not yet built from a configuration
 */
export function createServiceGroups(): ServiceGroups {
  return { configIndex: undefined, byServiceId: new Map() };
}

/**
 * @returns an empty group
 */
export function createGroup(): ServiceGroup {
  return {
    views: [],
    judgements: { size: 0, ejected: 0, failingProbes: 0 },
    candidates: [],
    candidatesOutdated: true,
    candidatesBuiltAtMs: Number.NEGATIVE_INFINITY,
    usableCandidates: [],
    smoothedUtilization: 0,
  };
}
