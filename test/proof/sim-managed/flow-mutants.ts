/** @file Mutants of the data path: balancers, back ends and callers. */
import { formatAddress, type Address } from '../../../src/shared/common/address.js';
import { encodeEnvelope } from '../../../src/managed/flow/envelope.js';
import { mintToken, readToken } from '../../../src/managed/flow/token.js';
import type { BalancerState } from '../../../src/managed/balancer/balancer-state.js';
import type { SimulatedSteps } from '../../../src/proof/sim-managed/simulated-steps.js';
import { productSteps } from '../../../src/proof/sim-managed/simulated-steps.js';
import { closeFlow } from '../../../src/proof/standins/backend-flows.js';
import { sendOnFlow, sendToClient } from '../../../src/proof/standins/backend-send.js';
import { scenarioNamed, type Mutant } from './mutant.js';
import {
  messageToBackend,
  openEnvelope,
  tokenOf,
  withEnvelope,
  withMessageToCaller,
  withToken,
} from './packet-edits.js';

const quiet = scenarioNamed('quiet', { durationMs: 4_000 });
const drain = scenarioNamed('drain', { durationMs: 8_000 });
const chaos = scenarioNamed('chaos', { durationMs: 12_000 });
const BACKEND_ID_LAST_BYTE = 8;
const MEAN_EVENTS_PER_FAULT = 20;

/** Sometimes adds a copy of a packet with a forged token that names another back end. */
const forgedTokens: Partial<SimulatedSteps> = {
  fabric: (state, event, context) => {
    const effects = productSteps.fabric(state, event, context);
    const token = event.type === 'caller-packet' ? tokenOf(event.packet) : undefined;
    if (event.type !== 'caller-packet' || token === undefined || context.random.nextInt(5) > 0) {
      return effects;
    }
    token[BACKEND_ID_LAST_BYTE] = (token[BACKEND_ID_LAST_BYTE] ?? 0) ^ 3;
    const packet = withToken(event.packet, token);
    return [...effects, ...productSteps.fabric(state, { ...event, packet }, context)];
  },
};

/** Sometimes sends a copy of a packet to another service. */
const misdirectedPackets: Partial<SimulatedSteps> = {
  fabric: (state, event, context) => {
    const effects = productSteps.fabric(state, event, context);
    if (event.type !== 'caller-packet' || context.random.nextInt(5) > 0) {
      return effects;
    }
    const service = { ...event.service, host: otherServiceHost(event.service) };
    return [...effects, ...productSteps.fabric(state, { ...event, service }, context)];
  },
};

function otherServiceHost({ host }: Address): string {
  return host === '10.1.0.1' ? '10.1.0.2' : '10.1.0.1';
}

/** The address of the token's service in the balancer's configuration. */
function serviceAddressOf(state: BalancerState, token: Uint8Array): Address | undefined {
  return state.config.services.get(readToken(token).serviceId)?.address;
}

/** Mutants of the data path. */
export const flowMutants: readonly Mutant[] = [
  {
    name: "a token's MAC is not checked",
    check: 'established-flow-survives',
    scenario: quiet,
    seed: 1,
    disturbances: forgedTokens,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const token =
          event.type === 'client-datagram'
            ? tokenOf(openEnvelope(event.datagram).packet)
            : undefined;
        const key = token && state.preparedKeys.get(readToken(token).keyId);
        if (event.type !== 'client-datagram' || token === undefined || key === undefined) {
          return steps.balancer(state, event, context);
        }
        const valid = mintToken(readToken(token), key);
        const datagram = withEnvelope(event.datagram, ({ packet }) => ({
          packet: withToken(packet, valid),
        }));
        return steps.balancer(state, { ...event, datagram }, context);
      },
    }),
  },
  {
    name: "a token's service is not compared with the destination address",
    check: 'own-service-only',
    scenario: quiet,
    seed: 1,
    disturbances: misdirectedPackets,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const envelope =
          event.type === 'client-datagram' ? openEnvelope(event.datagram) : undefined;
        const token = envelope && tokenOf(envelope.packet);
        const tokenService = token && serviceAddressOf(state, token);
        if (
          event.type !== 'client-datagram' ||
          envelope === undefined ||
          tokenService === undefined
        ) {
          return steps.balancer(state, event, context);
        }
        const datagram = encodeEnvelope({ ...envelope, service: tokenService });
        const effects = steps.balancer(state, { ...event, datagram }, context);
        return effects.map((effect) =>
          effect.type === 'send' ? { ...effect, datagram: event.datagram } : effect,
        );
      },
    }),
  },
  {
    name: 'packets of established flows go to any back end of the service',
    check: 'established-flow-survives',
    scenario: quiet,
    seed: 1,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const effects = steps.balancer(state, event, context);
        if (event.type !== 'client-datagram' || context.random.nextInt(MEAN_EVENTS_PER_FAULT) > 0) {
          return effects;
        }
        const views = [...state.views.values()].filter(({ backend }) => {
          const service = state.config.services.get(backend.serviceId);
          const { service: destination } = openEnvelope(event.datagram);
          return (
            service !== undefined && formatAddress(service.address) === formatAddress(destination)
          );
        });
        const other = views[context.random.nextInt(views.length)]?.backend.address;
        return effects.map((effect) =>
          effect.type === 'send' && other !== undefined ? { ...effect, to: other } : effect,
        );
      },
    }),
  },
  {
    name: 'established flows of a draining back end are dropped',
    check: 'established-flow-survives',
    scenario: { ...drain, durationMs: 24_000 },
    seed: 1,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const token =
          event.type === 'client-datagram'
            ? tokenOf(openEnvelope(event.datagram).packet)
            : undefined;
        const backend = token && state.views.get(readToken(token).backendId)?.backend;
        return backend?.adminState === 'draining' ? [] : steps.balancer(state, event, context);
      },
    }),
  },
  {
    name: 'a draining back end is still chosen',
    check: 'leaving-backend-gets-no-work',
    scenario: scenarioNamed('bad-backends', { durationMs: 10_000 }),
    seed: 3,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const drained = [...state.views.values()].filter(
          ({ backend }) => backend.adminState === 'draining',
        );
        const originals = drained.map((view) => ({ view, backend: view.backend }));
        drained.forEach((view) => (view.backend = { ...view.backend, adminState: 'active' }));
        const effects = steps.balancer(state, event, context);
        originals
          .filter(({ view }) => view.backend.adminState === 'active')
          .forEach(({ view, backend }) => (view.backend = backend));
        return effects;
      },
    }),
  },
  {
    name: 'a draining back end closes its flows immediately',
    check: 'planned-stop-cuts-nothing',
    scenario: { ...drain, plan: { ...drain.plan, meanServiceTimeMs: 300 } },
    seed: 2,
    breakSteps: (steps) => ({
      backend: (state, event, context) => {
        if (event.type !== 'drain') {
          return steps.backend(state, event, context);
        }
        const closes = [...state.flows.values()].map((flow) => {
          closeFlow(state, flow, context);
          return sendOnFlow(state, flow, { type: 'close', kind: 'backend-draining' });
        });
        return [...closes, ...steps.backend(state, event, context)];
      },
    }),
  },
  {
    name: 'a back end forgets which requests it has run',
    check: 'at-most-once',
    scenario: chaos,
    seed: 1,
    breakSteps: (steps) => ({
      backend: (state, event, context) => {
        for (const flow of state.flows.values()) {
          for (const [requestId, record] of flow.requests) {
            if (record.phase === 'done') {
              flow.requests.delete(requestId);
            }
          }
        }
        return steps.backend(state, event, context);
      },
    }),
  },
  {
    name: 'a request that has started is reported as "not run"',
    check: 'not-run-means-not-run',
    scenario: quiet,
    seed: 1,
    breakSteps: (steps) => ({
      backend: (state, event, context) => {
        const runningBefore = new Set(state.running);
        const effects = steps.backend(state, event, context);
        const started = [...state.running].find((record) => !runningBefore.has(record));
        if (started === undefined || context.random.nextInt(MEAN_EVENTS_PER_FAULT) > 0) {
          return effects;
        }
        const { flow, requestId } = started;
        const kind = 'deadline-exceeded';
        return [
          ...effects,
          sendOnFlow(state, flow, { type: 'refuse', requestId, kind, surelyNotRun: true }),
        ];
      },
    }),
  },
  {
    name: 'a restarted back end reports "not run" for requests of unknown flows',
    check: 'at-most-once',
    scenario: { ...chaos, plan: { ...chaos.plan, meanServiceTimeMs: 200 } },
    seed: 2,
    breakSteps: (steps) => ({
      backend: (state, event, context) => {
        const effects = steps.backend(state, event, context);
        const packet = event.type === 'datagram' ? openEnvelope(event.datagram).packet : undefined;
        const token = packet && tokenOf(packet);
        const message = packet && messageToBackend(packet);
        const hasFlow = token === undefined || state.flows.has(token.toString('hex'));
        if (event.type !== 'datagram' || hasFlow || message?.type !== 'request') {
          return effects;
        }
        const { client } = openEnvelope(event.datagram);
        const refusal = {
          type: 'refuse' as const,
          requestId: message.requestId,
          kind: 'backend-refused' as const,
          surelyNotRun: true,
        };
        return [sendToClient(state, client, readToken(token).flowId, refusal)];
      },
    }),
  },
  {
    name: 'answer parts are accepted regardless of their request ID',
    check: 'whole-answer',
    scenario: chaos,
    seed: 1,
    breakSteps: (steps) => ({
      caller: (state, event, context) => {
        const requestId = state.request?.requestId;
        if (event.type !== 'packet' || requestId === undefined) {
          return steps.caller(state, event, context);
        }
        const packet = withMessageToCaller(event.packet, (message) =>
          message.type === 'answer' && message.parts > 0 ? { ...message, requestId } : message,
        );
        return steps.caller(state, { ...event, packet }, context);
      },
    }),
  },
];
