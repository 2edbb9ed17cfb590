/**
 * @file What an operator can look up of their own past: the audit log, and which log index carried
 * each of their revisions. Both are bounded.
 */
import type { AuditEntry, OwnerState, ServiceVersion } from './cluster-state.js';
import type { Service } from './routing-config.js';

/** Lines of the audit log that are kept for one operator. Bounds the snapshot; not measured. */
const MAX_AUDIT_ENTRIES = 1_000;
/** Revisions whose log index is kept; older ones count as in force. Bounds the snapshot; not measured. */
const MAX_REVISION_MARKS = 1_000;

/**
 * Writes a line into the operator's audit log.
 */
export function recordAudit(owner: OwnerState, entry: Omit<AuditEntry, 'number'>): void {
  owner.auditLog.push({ number: owner.nextAuditNumber, ...entry });
  owner.nextAuditNumber += 1;
  if (owner.auditLog.length > MAX_AUDIT_ENTRIES) {
    owner.auditLog.shift();
  }
}

/**
 * Counts an accepted command.
 * @param service the service that it changed, if any
 * @returns the operator's revision with it
 */
export function countRevision(owner: OwnerState, index: number, service?: ServiceVersion): number {
  owner.revision += 1;
  owner.revisionMarks.push({ revision: owner.revision, index, service });
  if (owner.revisionMarks.length > MAX_REVISION_MARKS) {
    owner.revisionMarks.shift();
  }
  return owner.revision;
}

/**
 * @param index a log index, such as the one that a balancer has in force
 * @returns the operator's highest revision that is in force there
 */
export function revisionAt(owner: OwnerState, index: number): number {
  const mark = owner.revisionMarks.findLast((candidate) => candidate.index <= index);
  if (mark !== undefined) {
    return mark.revision;
  }
  const oldest = owner.revisionMarks[0];
  return oldest === undefined ? 0 : oldest.revision - 1;
}

/**
 * @param index a log index, such as the one that a balancer has in force
 * @returns the version of the service that is in force there; 0 before its definition
 */
export function serviceVersionAt(owner: OwnerState, service: Service, index: number): number {
  const marks = owner.revisionMarks.filter((mark) => mark.service?.serviceId === service.id);
  const inForce = marks.findLast((mark) => mark.index <= index)?.service;
  const oldestKept = marks[0]?.service;
  if (inForce !== undefined) {
    return inForce.version;
  }
  return oldestKept === undefined ? service.version : oldestKept.version - 1;
}
