/**
 * @file The back ends of each service as one balancer groups them. `candidates.ts` changes these records; the rest of
 * the balancer reads them.
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
  /** Those that may receive new flows. */
  candidates: readonly BackendView[];
  /** True where a state has changed since the list was built. */
  candidatesOutdated: boolean;
  candidatesMadeAtMs: number;
  /** Those of them that may be used without a lease, as of the last open without one. */
  usableCandidates: readonly BackendView[];
  /** Connections over limit, averaged over recent reports that are believed. */
  typicalUse: number;
}

/** The back ends of all services, as of one configuration. */
export interface ServiceGroups {
  /** Log index of the configuration that the groups were built from; undefined before the first. */
  configIndex: number | undefined;
  readonly byServiceId: Map<number, ServiceGroup>;
}

/**
 * @returns an index of nothing
 */
export function createServiceGroups(): ServiceGroups {
  return { configIndex: undefined, byServiceId: new Map() };
}

/**
 * @returns the group of a service without back ends
 */
export function createGroup(): ServiceGroup {
  return {
    views: [],
    judgements: { size: 0, ejected: 0, failingProbes: 0 },
    candidates: [],
    candidatesOutdated: true,
    candidatesMadeAtMs: Number.NEGATIVE_INFINITY,
    usableCandidates: [],
    typicalUse: 0,
  };
}
