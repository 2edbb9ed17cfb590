/**
 * @file Formats query results as text tables.
 */
import Table from 'cli-table3';
import { match } from 'ts-pattern';
import { formatAddress } from '../../shared/common/address.js';
import type { InForceSummary, LaggingBalancer } from '../../managed/control/views/in-force.js';
import type {
  AuditView,
  BackendView,
  PlanView,
  QueryResult,
  ServiceView,
  VisibleAcceptedOutcome,
  VisibleOutcome,
} from '../../managed/control/views/view-types.js';
import { formatLimits, formatTime } from '../../managed/language/format-command.js';

const UNKNOWN = 'unknown';

/**
 * @returns the result as text, without a trailing line break
 */
export function formatResult(result: QueryResult): string {
  return match(result)
    .with({ type: 'services' }, ({ services }) => serviceTable(services))
    .with({ type: 'service' }, ({ service, backends }) =>
      lines(serviceTable([service]), backendTable(backends)),
    )
    .with({ type: 'backends' }, ({ backends }) => backendTable(backends))
    .with({ type: 'changes' }, ({ planned, rollingOut }) =>
      lines(
        planTable(planned),
        table(
          ['Revision', 'Change', 'Command', 'Not yet in force on'],
          rollingOut.map((change) => [
            change.revision,
            change.statement,
            change.commandId,
            names(change.lagging),
          ]),
        ),
      ),
    )
    .with({ type: 'in-force' }, (summary) => lines(summaryText(summary), lagTable(summary.lagging)))
    .with({ type: 'balancers' }, ({ lagging, balancerCount }) =>
      lines(`${lagging.length} of ${balancerCount} balancers lag.`, lagTable(lagging)),
    )
    .with({ type: 'capacity' }, ({ balancerCount, totalConnections }) =>
      table(['Balancers', 'Total connections'], [[balancerCount, totalConnections ?? UNKNOWN]]),
    )
    .with({ type: 'audit' }, ({ entries }) => auditTable(entries))
    .with({ type: 'explain-backend' }, ({ backend, service, planned, history }) =>
      lines(
        backendTable([backend]),
        serviceTable([service]),
        planTable(planned),
        auditTable(history),
      ),
    )
    .with({ type: 'explain-command' }, ({ outcome, entry, run, lagging }) =>
      lines(
        describeOutcome(outcome),
        auditTable([entry, run].filter((line) => line !== undefined)),
        lagging.length === 0 ? 'No balancer lags behind it.' : lagTable(lagging),
      ),
    )
    .exhaustive();
}

/**
 * @returns the outcome on one line
 */
export function describeOutcome(outcome: VisibleOutcome): string {
  return outcome.accepted
    ? `Accepted: ${describeAccepted(outcome)}.`
    : `Refused: ${outcome.error.kind}: ${outcome.error.message}`;
}

function describeAccepted(outcome: VisibleAcceptedOutcome): string {
  const { revision, version, backendId, planId } = outcome;
  return [
    `revision ${revision}`,
    ...(version === undefined ? [] : [`service version ${version}`]),
    ...(backendId === undefined ? [] : [`back end ${backendId}`]),
    ...(planId === undefined ? [] : [`plan ${planId}`]),
  ].join(', ');
}

function serviceTable(services: readonly ServiceView[]): string {
  return table(
    ['Service', 'Address', 'Policy', 'Limits', 'Back ends', 'Version', 'In force everywhere'],
    services.map((service) => [
      service.name,
      formatAddress(service.address),
      service.policy,
      formatLimits(service.limits) ?? '',
      service.backendCount,
      service.version,
      service.versionInForceEverywhere,
    ]),
  );
}

function backendTable(backends: readonly BackendView[]): string {
  return table(
    ['Back end', 'Service', 'Address', 'Health', 'Zone', 'State', 'Connections'],
    backends.map((backend) => [
      backend.id,
      backend.service,
      formatAddress(backend.address),
      formatAddress(backend.healthAddress),
      backend.zone,
      backend.adminState,
      backend.load?.connections ?? UNKNOWN,
    ]),
  );
}

function planTable(planned: readonly PlanView[]): string {
  return table(
    ['Plan', 'Due', 'Change', 'Command'],
    planned.map(({ id, atMs, statement, commandId }) => [
      id,
      formatTime(atMs),
      statement,
      commandId,
    ]),
  );
}

function auditTable(entries: readonly AuditView[]): string {
  return table(
    ['No.', 'Time', 'Command', 'Statement', 'Outcome'],
    entries.map(({ number, atMs, commandId, statement, outcome }) => [
      number,
      formatTime(atMs),
      commandId,
      statement,
      describeOutcome(outcome),
    ]),
  );
}

function lagTable(lagging: readonly LaggingBalancer[]): string {
  return table(
    ['Lagging balancer', 'Zone', 'Revision in force'],
    lagging.map(({ balancerId, zone, revision }) => [balancerId, zone, revision]),
  );
}

function summaryText(summary: InForceSummary): string {
  const { committedRevision, revisionInForceEverywhere, balancerCount, isComplete } = summary;
  if (balancerCount === 0) {
    return `Committed: revision ${committedRevision}. No balancers are known.`;
  }
  const incompleteNote = isComplete ? '' : ' Some balancers may not have reported yet.';
  return (
    `Committed: revision ${committedRevision}. ` +
    `In force on all ${balancerCount} balancers: revision ${revisionInForceEverywhere}.${incompleteNote}`
  );
}

function names(lagging: readonly LaggingBalancer[]): string {
  return lagging.map(({ balancerId }) => balancerId).join(', ');
}

function table(head: string[], rows: readonly (string | number)[][]): string {
  // No colours: the output may be redirected to a file.
  const cells = new Table({ head, style: { head: [], border: [] } });
  cells.push(...rows);
  return rows.length === 0 ? `${head[0] ?? ''}: none.` : cells.toString();
}

function lines(...parts: string[]): string {
  return parts.join('\n');
}
