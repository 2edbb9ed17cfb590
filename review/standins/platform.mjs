// The platform's routers, and calls to the control machines as its callers make them.
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { ports } from './deployment.mjs';

const CALL_TIMEOUT_MS = 1000;
const PROBE_INTERVAL_MS = 500;
const MAX_MISSES = 2;

/** @returns status and body; status 0 without an answer */
export function call(host, port, method, path, body, timeoutMs = CALL_TIMEOUT_MS) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const headers =
      text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const outgoing = request({
      host,
      port,
      method,
      path,
      headers,
      agent: false,
      timeout: timeoutMs,
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve({ status: 0, body: '' }));
    outgoing.on('response', (incoming) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('error', () => resolve({ status: 0, body: '' }));
      incoming.on('end', () =>
        resolve({ status: incoming.statusCode, body: Buffer.concat(chunks).toString() }),
      );
    });
    outgoing.end(text);
  });
}

/** Calls control machines in turn, with growing pauses, until one gives a clear answer or the tries are used up. */
export async function callAny(cores, method, path, body, tries = 12) {
  let answer = { status: 0, body: '' };
  for (let attempt = 0; attempt < tries; attempt += 1) {
    const { name, ip } = cores[attempt % cores.length];
    answer = { ...(await call(ip, ports.control, method, path, body)), by: name };
    if (
      answer.status !== 0 &&
      answer.status < 500 &&
      answer.status !== 408 &&
      answer.status !== 429
    ) {
      return answer;
    }
    await sleep(Math.min(1000, 100 * 2 ** attempt));
  }
  return answer;
}

/** Routers: each zone's packets go to the nodes of the zone that are in, picked by a hash of the addresses and ports. */
export function startRouters(fronts) {
  const nodes = fronts.map((front) => ({ front, misses: MAX_MISSES, answered: false }));
  const probe = async (node) => {
    const { status } = await call(
      node.front.ip,
      ports.ready,
      'GET',
      '/ready',
      undefined,
      PROBE_INTERVAL_MS,
    );
    node.answered = status === 200;
    node.misses = status === 200 ? 0 : node.misses + 1;
  };
  let probedAtMs = performance.now();
  const timer = setInterval(() => {
    probedAtMs = performance.now();
    nodes.forEach((node) => void probe(node));
  }, PROBE_INTERVAL_MS);
  return {
    /** Time until the nodes are asked next. */
    msToProbe: () => PROBE_INTERVAL_MS - (performance.now() - probedAtMs),
    isIn: (front) => nodes.some((node) => node.front === front && node.misses < MAX_MISSES),
    areAllIn: () => nodes.every(({ misses }) => misses < MAX_MISSES),
    pick(zone, text) {
      const inZone = nodes.filter(({ front }) => front.zone === zone);
      const ins = inZone.filter(({ misses }) => misses < MAX_MISSES);
      const used = ins.length * 2 < inZone.length ? inZone : ins;
      const anywhere = nodes.filter(({ misses }) => misses < MAX_MISSES);
      const from = ins.length === 0 && anywhere.length > 0 ? anywhere : used;
      const hash = [...text].reduce(
        (sum, letter) => (Math.imul(sum, 31) + letter.charCodeAt(0)) >>> 0,
        7,
      );
      return from[hash % from.length].front;
    },
    end: () => clearInterval(timer),
  };
}

/** @returns once all balancers are in; false if they are not within the time */
export async function waitUntilReady(routers, timeoutMs = 20_000) {
  for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += 100) {
    if (routers.areAllIn()) {
      return true;
    }
    await sleep(100);
  }
  return false;
}
