/** @file Mutants of consensus, control, configuration dissemination and storage. */
import type { StorageFolder } from '../../../src/shared/daemon/storage-folder.js';
import type { ControlEffect, ControlEvent } from '../../../src/managed/control/control-events.js';
import { isLeader } from '../../../src/managed/control/control-step.js';
import { atRandomTimes } from '../../../src/proof/sim-managed/scenarios/scenario.js';
import { sendRandomOperation } from '../../../src/proof/sim-managed/scenarios/operator-changes.js';
import {
  productSteps,
  type SimulatedSteps,
} from '../../../src/proof/sim-managed/simulated-steps.js';
import { scenarioNamed, type Mutant } from './mutant.js';

const operatorsRace = scenarioNamed('operators-race', { durationMs: 12_000 });
const addressMove = scenarioNamed('address-move');

/** All control machines lose power at once, three times, while operators send commands. */
const powerLoss = scenarioNamed('control-faults', {
  durationMs: 20_000,
  schedule: (scope) => {
    const { world, faults } = scope;
    atRandomTimes(scope, 10_000, 300, () => sendRandomOperation(scope));
    for (const atMs of [3_000, 7_000, 11_000]) {
      world.after(atMs, () => world.controls.forEach((control) => faults.losePower(control, 500)));
    }
  },
});

/** The leader is cut off from the other control machines, but not from operators and balancers. */
const leaderCut = scenarioNamed('control-faults', {
  durationMs: 13_000,
  schedule: (scope) => {
    const { world, faults } = scope;
    atRandomTimes(scope, 9_000, 60, () => sendRandomOperation(scope));
    for (const atMs of [2_000, 6_000]) {
      world.after(atMs, () => {
        const leader = world.controls.find(({ isLeader }) => isLeader);
        const others = world.controls.filter((control) => control !== leader);
        if (leader !== undefined) {
          faults.cutLinks([leader], others, 2_000);
        }
      });
    }
  },
});

/** A balancer is left with only a control machine that lags behind the balancer's configuration. */
const laggingControl = scenarioNamed('control-faults', {
  durationMs: 20_000,
  schedule: (scope) => {
    const { world, faults } = scope;
    const lagging = world.controls.filter(({ isLeader }) => !isLeader).slice(0, 1);
    const others = world.controls.filter((control) => !lagging.includes(control));
    atRandomTimes(scope, 8_000, 150, () => sendRandomOperation(scope));
    world.after(1_000, () => faults.cutLinks(lagging, others, 14_000));
    const [balancer, ...peers] = world.balancers;
    if (balancer !== undefined) {
      world.after(3_000, () => faults.cutLinks([balancer], [...others, ...peers], 14_000));
    }
  },
});

/** Control machines send a full snapshot to each subscribing balancer, even if it is not newer. */
const wholeConfigAtSubscription: Partial<SimulatedSteps> = {
  control: (state, event, context) => {
    if (event.type !== 'link-message' || event.message.type !== 'subscribe') {
      return productSteps.control(state, event, context);
    }
    const message = { ...event.message, position: { term: 0, index: 0 } };
    return productSteps.control(state, { ...event, message }, context);
  },
};

/** A folder that acknowledges syncs of the log without performing them. */
function withoutSync(folder: StorageFolder): StorageFolder {
  return {
    read: (name) => folder.read(name),
    write: (name, content) => folder.write(name, content),
    append: (name, content) => folder.append(name, content),
    truncate: (name, length) => folder.truncate(name, length),
    sync: (name) => (name === 'log' ? Promise.resolve() : folder.sync(name)),
    rename: (from, to) => folder.rename(from, to),
    remove: (name) => folder.remove(name),
    syncFolder: () => folder.syncFolder(),
    close: () => folder.close(),
  };
}

function isOperatorProposal(
  event: ControlEvent,
): event is Extract<ControlEvent, { type: 'propose' }> {
  return event.type === 'propose' && event.requestId !== undefined;
}

let proposalCount = 0;

/** Mutants of the control plane. */
export const configMutants: readonly Mutant[] = [
  {
    name: 'log entries are acknowledged without being synced',
    check: 'accepted-stays-in-force',
    scenario: powerLoss,
    seed: 2,
    breakSteps: () => ({ storage: withoutSync }),
  },
  {
    name: 'a command is answered before it is committed',
    check: 'accepted-stays-in-force',
    scenario: leaderCut,
    seed: 1,
    breakSteps: (steps) => ({
      control: (state, event, context) => {
        const effects = steps.control(state, event, context);
        if (!isOperatorProposal(event) || !isLeader(state) || event.requestId === undefined) {
          return effects;
        }
        const { requestId } = event;
        const index = state.consensus.log.last.index;
        const earlyReply: ControlEffect = {
          type: 'operator-reply',
          requestId,
          outcome: { accepted: true, index },
        };
        return [earlyReply, ...effects];
      },
    }),
  },
  {
    name: 'a resent command is applied again',
    check: 'accepted-stays-in-force',
    scenario: scenarioNamed('operators-race'),
    seed: 1,
    breakSteps: (steps) => ({
      control: (state, event, context) => {
        if (!isOperatorProposal(event)) {
          return steps.control(state, event, context);
        }
        proposalCount += 1;
        const commandId = `${event.entry.commandId}-${proposalCount}`;
        return steps.control(state, { ...event, entry: { ...event.entry, commandId } }, context);
      },
    }),
  },
  {
    name: 'a state query is answered without confirming a quorum',
    check: 'accepted-stays-in-force',
    scenario: leaderCut,
    seed: 1,
    breakSteps: (steps) => ({
      control: (state, event, context) =>
        event.type === 'query'
          ? [{ type: 'query-reply', requestId: event.requestId }]
          : steps.control(state, event, context),
    }),
  },
  {
    name: 'a balancer accepts an older configuration',
    check: 'accepted-stays-in-force',
    scenario: laggingControl,
    seed: 1,
    disturbances: wholeConfigAtSubscription,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const message = event.type === 'link-message' ? event.message : undefined;
        if (message?.type === 'update' && message.update.type === 'snapshot') {
          state.position = { term: 0, index: 0 };
        }
        return steps.balancer(state, event, context);
      },
    }),
  },
  {
    name: 'a balancer skips a delta but advances its position',
    check: 'accepted-stays-in-force',
    scenario: operatorsRace,
    seed: 1,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        const message = event.type === 'link-message' ? event.message : undefined;
        const isLost = message?.type === 'update' && context.random.nextInt(10) === 0;
        if (isLost && message.update.type === 'delta') {
          state.position = message.update.to;
          return [];
        }
        return steps.balancer(state, event, context);
      },
    }),
  },
  {
    name: 'an address is reused by another service without quarantine',
    check: 'own-service-only',
    scenario: { ...addressMove, plan: { ...addressMove.plan, pauseMs: 8_000 } },
    seed: 2,
    breakSteps: (steps) => ({
      control: (state, event, context) => {
        state.cluster.quarantine.clear();
        return steps.control(state, event, context);
      },
    }),
  },
  {
    name: 'a balancer ignores that its lease has expired',
    check: 'own-service-only',
    scenario: addressMove,
    seed: 1,
    breakSteps: (steps) => ({
      balancer: (state, event, context) => {
        state.subscription.lease.expiresAtMs = Infinity;
        return steps.balancer(state, event, context);
      },
    }),
  },
];
