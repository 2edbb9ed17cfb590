/**
 * @file Each operator's history: the audit log, and the log index of each revision. Both are bounded.
 */
import type { AuditEntry, OwnerState, ServiceVersion } from './cluster-state.js';
import type { Service } from './routing-config.js';

/** Limit per operator; bounds the snapshot size. */
const MAX_AUDIT_ENTRIES = 1_000;
/** Limit per operator; bounds the snapshot size. Older revisions are assumed to be in force. */
const MAX_REVISION_MARKS = 1_000;

/**
 * Appends an entry to the operator's audit log; drops the oldest entry if the log is full.
 */
export function recordAudit(owner: OwnerState, entry: Omit<AuditEntry, 'number'>): void {
  owner.auditLog.push({ number: owner.nextAuditNumber, ...entry });
  owner.nextAuditNumber += 1;
  if (owner.auditLog.length > MAX_AUDIT_ENTRIES) {
    owner.auditLog.shift();
  }
}

/**
 * Increments the operator's revision after an accepted command.
 * @param service new version of the changed service, if any
 * @returns the new revision
 */
export function recordRevision(owner: OwnerState, index: number, service?: ServiceVersion): number {
  owner.revision += 1;
  owner.revisionMarks.push({ revision: owner.revision, index, service });
  if (owner.revisionMarks.length > MAX_REVISION_MARKS) {
    owner.revisionMarks.shift();
  }
  return owner.revision;
}

/**
 * @param index a log index, such as the one a balancer has applied
 * @returns the operator's latest revision at that index
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
 * @param index a log index, such as the one a balancer has applied
 * @returns the service's version at that index; 0 before its definition
 */
export function serviceVersionAt(owner: OwnerState, service: Service, index: number): number {
  const marks = owner.revisionMarks.filter((mark) => mark.service?.serviceId === service.id);
  const latest = marks.findLast((mark) => mark.index <= index)?.service;
  const oldest = marks[0]?.service;
  if (latest !== undefined) {
    return latest.version;
  }
  return oldest === undefined ? service.version : oldest.version - 1;
}
