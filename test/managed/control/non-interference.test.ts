/**
 * @file Isolation of two partners: whatever one of them sends, the other is told the same, in outcomes,
 * IDs, versions, errors and answers to queries.
 */
import fc from 'fast-check';
import t from 'tap';
import type { Command, OperatorCommand } from '../../../src/managed/control/commands.js';
import type { OperatorQuery } from '../../../src/managed/control/queries.js';
import { answerQuery } from '../../../src/managed/control/views/answer-query.js';
import { unknownLoad } from '../../../src/managed/control/views/backend-load.js';
import { visibleOutcome } from '../../../src/managed/control/views/entity-views.js';
import { addCommand, ControlWorld } from './control-world.js';

const OBSERVED = 'tarjeta';
const OTHER = 'hara';
/** Few names, addresses and IDs, so that the two partners often name the same. */
const service = fc.constantFrom('authd', 'board-api');
const address = fc.record({
  host: fc.constantFrom('127.1.0.1', '127.1.0.2', '127.2.0.1', '127.2.0.2'),
  port: fc.constantFrom(7000, 7001),
});
const backendId = fc.constantFrom(1, 2, 3, 2 ** 24 + 1, 2 ** 24 + 2);
const version = fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined });

const change = fc.oneof(
  fc.record({
    type: fc.constant('define-service'),
    service,
    address,
    policy: fc.constantFrom('random', 'adaptive'),
    limits: fc.constant({}),
  }),
  fc.record({
    type: fc.constant('change-service'),
    service,
    policy: fc.constant('maglev'),
    basedOnVersion: version,
  }),
  fc.record({ type: fc.constant('retire-service'), service }),
  fc.record({
    type: fc.constant('add-backend'),
    service,
    address,
    healthAddress: address,
    zone: fc.constant('z1'),
  }),
  fc.record({
    type: fc.constantFrom('drain-backend', 'cancel-drain', 'retire-backend'),
    backendId,
    basedOnVersion: version,
  }),
);
const command = fc.oneof(
  { weight: 8, arbitrary: change },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('plan-change'),
      when: fc.record({ inMs: fc.integer({ min: 0, max: 5_000 }) }),
      change,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cancel-plan'),
      planId: fc.integer({ min: 1, max: 3 }),
    }),
  },
) as fc.Arbitrary<OperatorCommand>;

interface Sent {
  readonly operator: string;
  readonly commandId: string;
  readonly command: Command;
  /** Balancers take over the configuration before this command. */
  readonly balancersCatchUp: boolean;
}

const sent: fc.Arbitrary<Sent> = fc.record({
  operator: fc.constantFrom(OBSERVED, OTHER),
  commandId: fc.integer({ min: 1, max: 12 }).map((number) => `id-${number}`),
  command,
  balancersCatchUp: fc.boolean(),
});

const queries: OperatorQuery[] = [
  { type: 'services' },
  { type: 'service', service: 'authd' },
  { type: 'backends' },
  { type: 'backends', service: 'board-api' },
  { type: 'changes' },
  { type: 'in-force' },
  { type: 'balancers' },
  { type: 'capacity' },
  { type: 'audit' },
  ...[1, 2, 2 ** 24 + 1].map((id) => ({ type: 'explain-backend' as const, backendId: id })),
  ...[1, 5].map((number) => ({ type: 'explain-command' as const, commandId: `id-${number}` })),
];

/** Both begin with a service that has a back end, under equal names and command IDs. */
const prelude: readonly Sent[] = [
  { operator: OBSERVED, host: '127.1.0.9' },
  { operator: OTHER, host: '127.2.0.9' },
].flatMap(({ operator, host }) => {
  const shared = { operator, balancersCatchUp: false };
  const define: Command = {
    type: 'define-service',
    service: 'authd',
    address: { host, port: 7000 },
    policy: 'adaptive',
    limits: {},
  };
  return [
    { ...shared, commandId: 'first', command: define },
    { ...shared, commandId: 'second', command: addCommand('authd', { host, port: 9000 }) },
  ];
});

/** All that the observed operator is told while the commands are sent; one text a step. */
function told(commands: readonly Sent[], withOther: boolean): string[] {
  const world = new ControlWorld();
  const texts: string[] = [];
  let inForceIndex = 0;
  for (const { operator, commandId, command: sentCommand, balancersCatchUp } of [
    ...prelude,
    ...commands,
  ]) {
    world.nowMs += 1_000;
    if (balancersCatchUp) {
      inForceIndex = world.state.index;
    }
    runDuePlans(world);
    if (operator === OTHER) {
      if (withOther) {
        world.send(operator, commandId, sentCommand);
      }
    } else {
      const { outcome } = world.send(operator, commandId, sentCommand);
      texts.push(JSON.stringify(visibleOutcome(outcome)));
    }
    texts.push(...answers(world, inForceIndex));
  }
  return texts;
}

function runDuePlans(world: ControlWorld): void {
  for (const owner of world.state.owners.values()) {
    for (const plan of [...owner.plans.values()]) {
      if (plan.atMs <= world.nowMs) {
        world.system({ type: 'run-planned-change', operator: owner.name, planId: plan.id });
      }
    }
  }
}

function answers({ state }: ControlWorld, index: number): string[] {
  const owner = state.owners.get(OBSERVED);
  const inForce = {
    balancers: [
      { balancerId: 'b1', zone: 'z1', index },
      { balancerId: 'b2', zone: 'z2', index: state.index },
    ],
    isComplete: true,
  };
  return owner === undefined
    ? []
    : queries.map((query) =>
        JSON.stringify(answerQuery({ state, owner, inForce, load: unknownLoad }, query)),
      );
}

t.test('what an operator is told does not depend on what another sends', async (t) => {
  const isTheSame = (commands: readonly Sent[]) =>
    JSON.stringify(told(commands, true)) === JSON.stringify(told(commands, false));
  const property = fc.property(fc.array(sent, { minLength: 1, maxLength: 40 }), isTheSame);
  t.doesNotThrow(() => fc.assert(property, { seed: 11, numRuns: 60 }));
});

t.test('the commands of that property are often accepted, on both sides', async (t) => {
  const accepted = { [OBSERVED]: 0, [OTHER]: 0 };
  for (const commands of fc.sample(fc.array(sent, { minLength: 40, maxLength: 40 }), {
    seed: 11,
    numRuns: 50,
  })) {
    const world = new ControlWorld();
    for (const { operator, commandId, command: sentCommand } of [...prelude, ...commands]) {
      const { outcome } = world.send(operator, commandId, sentCommand);
      accepted[operator as keyof typeof accepted] += outcome.accepted ? 1 : 0;
    }
  }
  t.ok(accepted[OBSERVED] > 50, `${accepted[OBSERVED]} of the observed operator's were accepted`);
  t.ok(accepted[OTHER] > 50, `${accepted[OTHER]} of the other's were accepted`);
});
