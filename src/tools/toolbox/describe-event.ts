/**
 * @file Formats an event of a simulator trace as one sentence.
 */
import { match } from 'ts-pattern';
import type { TraceEvent, TraceEventData } from '../../proof/sim-managed/trace.js';

const TIME_WIDTH = 10;

/**
 * @returns the event on one line, preceded by its time in milliseconds
 */
export function describeEvent(event: TraceEvent): string {
  return `${event.atMs.toFixed(1).padStart(TIME_WIDTH)} ms  ${sentence(event)}`;
}

function sentence(event: TraceEventData): string {
  return match(event)
    .with({ type: 'process' }, ({ process, status, unfinished }) =>
      status === 'stopped'
        ? `${process} stopped with ${unfinished ?? 0} requests in progress.`
        : `${process} ${status}.`,
    )
    .with(
      { type: 'fault' },
      ({ fault, targets, phase }) =>
        `Fault ${fault} ${phase}${targets.length > 0 ? `: ${targets.join(', ')}` : ''}.`,
    )
    .with(
      { type: 'list' },
      ({ balancers }) => `The fabric distributes packets to ${balancers.join(', ')}.`,
    )
    .with({ type: 'packet' }, ({ from, to, flowId, message, requestId }) => {
      const request = requestId === undefined ? '' : ` ${requestId}`;
      return `${from} -> ${to}: ${message}${request} of ${flowId}.`;
    })
    .with(
      { type: 'flow-accepted' },
      ({ backend, flowId, via }) => `${backend} accepted ${flowId}, placed by ${via}.`,
    )
    .with(
      { type: 'run' },
      ({ backend, requestNumber, flowId }) =>
        `${backend} began to run request ${requestNumber} of ${flowId}.`,
    )
    .with({ type: 'outcome' }, describeOutcome)
    .with(
      { type: 'flow-broken' },
      ({ caller, flowId, backend }) => `${caller} lost ${flowId} to ${backend}.`,
    )
    .with(
      { type: 'published' },
      ({ service, number }) => `Notice ${number} of ${service} was published.`,
    )
    .with(
      { type: 'notice' },
      ({ caller, number, intact }) =>
        `${caller} received notice ${number}${intact ? '' : ', corrupted'}.`,
    )
    .with(
      { type: 'notices-missed' },
      ({ caller, first, last }) => `${caller} missed notices ${first} to ${last}.`,
    )
    .with(
      { type: 'command-sent' },
      ({ operator, commandId, command, subject, control, attempt }) =>
        `${operator} sent ${commandId} (${command} of ${subject}) to ${control}, attempt ${attempt}.`,
    )
    .with({ type: 'command-answered' }, ({ operator, commandId, accepted, index, errorKind }) =>
      accepted
        ? `${operator} received the outcome of ${commandId}: accepted at index ${index ?? 0}.`
        : `${operator} received the outcome of ${commandId}: refused, ${errorKind ?? ''}.`,
    )
    .with({ type: 'applied' }, ({ control, index }) => `${control} applied index ${index}.`)
    .with({ type: 'in-force' }, ({ balancer, index }) => `${balancer} has index ${index} in force.`)
    .with(
      { type: 'final-config' },
      ({ balancer, services }) =>
        `${balancer} ends the run with ${Object.entries(services)
          .map(([name, version]) => `${name} version ${version}`)
          .join(', ')}.`,
    )
    .with(
      { type: 'shown' },
      ({ operator, control, index }) => `${control} showed ${operator} index ${index}.`,
    )
    .with({ type: 'role' }, ({ control, role, term }) => `${control} is ${role} in term ${term}.`)
    .exhaustive();
}

function describeOutcome(event: Extract<TraceEventData, { type: 'outcome' }>): string {
  const { caller, requestNumber, outcome, errorKind, intact } = event;
  const kind = errorKind === undefined ? '' : `, ${errorKind}`;
  const corruption = intact ? '' : ', corrupted';
  return `${caller} received the outcome of request ${requestNumber}: ${outcome}${kind}${corruption}.`;
}
