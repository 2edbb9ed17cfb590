/**
 * @file Opens new flows at a constant rate and counts the outcomes.
 */
import type { Socket } from 'node:dgram';
import { build } from 'hdr-histogram-js';
import { decodeEnvelope } from '../../managed/flow/envelope.js';
import { parseLongHeader } from '../../managed/flow/header.js';
import { decodeMessage } from '../../managed/flow/messages.js';
import { flowNumberOf, openDatagram } from './bench-forward-config.js';
import type { OpenResult, PeerRequest } from './bench-forward-messages.js';

/** Wait for outstanding replies after the last open. */
const ANSWER_WAIT_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

let nextFlowNumber = 1;

/** Opens flows at a constant rate, without retransmission. */
export async function openFlows(
  socket: Socket,
  { to, opensPerSecond, durationMs }: Extract<PeerRequest, { type: 'open' }>,
): Promise<OpenResult> {
  const offered = Math.round((opensPerSecond * durationMs) / MS_PER_SECOND);
  const firstNumber = nextFlowNumber;
  nextFlowNumber += offered;
  const datagrams = Array.from({ length: offered }, (_, index) =>
    openDatagram(firstNumber + index),
  );
  const sentAtMs = new Float64Array(offered);
  const latencies = build();
  const refused: Record<string, number> = {};
  let accepted = 0;
  const onMessage = (datagram: Buffer): void => {
    const { packet } = decodeEnvelope(datagram)._unsafeUnwrap();
    const { destinationId, body } = parseLongHeader(packet)._unsafeUnwrap();
    const message = decodeMessage(body)._unsafeUnwrap();
    if (message.type === 'refuse') {
      refused[message.kind] = (refused[message.kind] ?? 0) + 1;
    } else {
      accepted += 1;
      const sentMs = sentAtMs[flowNumberOf(destinationId) - firstNumber] ?? 0;
      latencies.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MS));
    }
  };
  socket.on('message', onMessage);
  const startMs = performance.now();
  let sent = 0;
  while (sent < offered) {
    const nowMs = performance.now();
    const dueCount = Math.min(
      offered,
      Math.ceil(((nowMs - startMs) * opensPerSecond) / MS_PER_SECOND),
    );
    for (; sent < dueCount; sent += 1) {
      sentAtMs[sent] = nowMs;
      socket.send(datagrams[sent] ?? '', to.port, to.host);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  const elapsedMs = performance.now() - startMs;
  await new Promise((resolve) => setTimeout(resolve, ANSWER_WAIT_MS));
  socket.off('message', onMessage);
  const refusedCount = Object.values(refused).reduce((sum, count) => sum + count, 0);
  return {
    offered,
    accepted,
    refused,
    unanswered: offered - accepted - refusedCount,
    acceptedPerSecond: (accepted * MS_PER_SECOND) / elapsedMs,
    p50Ms: latencies.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: latencies.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}
