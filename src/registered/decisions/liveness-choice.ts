/**
 * @file Filters back ends by liveness. Suspect ones may only be cut off from control machines, so they are
 * used if none is alive; dead ones are never used.
 */
import type { Liveness } from '../registry/backend-liveness.js';
import type { KnownBackend } from '../ingress/known-backend.js';

/** @returns the alive candidates, or the suspect ones if none is alive; in the same order */
export function bestByLiveness(candidates: readonly KnownBackend[]): readonly KnownBackend[] {
  const alive = withLiveness(candidates, 'alive');
  return alive.length > 0 ? alive : withLiveness(candidates, 'suspect');
}

function withLiveness(candidates: readonly KnownBackend[], liveness: Liveness): KnownBackend[] {
  return candidates.filter(({ registration }) => registration.liveness === liveness);
}
