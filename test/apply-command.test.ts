/** @file The replicated step. */
import t from 'tap';
import { applyCommand } from '../src/control/apply-command.js';
import { emptyClusterState, type ClusterState } from '../src/control/cluster-state.js';
import type { Command } from '../src/control/commands.js';

interface World {
  readonly state: ClusterState;
  send(operator: string, commandId: string, command: Command): ReturnType<typeof applyCommand>;
}

function world(): World {
  const state = emptyClusterState();
  const send: World['send'] = (operator, commandId, command) =>
    applyCommand(state, { term: 1, index: state.index + 1 }, { operator, commandId, command });
  send('system', 'operators', {
    type: 'set-operators',
    operators: [
      { name: 'tarjeta', tokenHash: 'a' },
      { name: 'hara', tokenHash: 'b' },
    ],
  });
  return { state, send };
}

const defineAuthd: Command = {
  type: 'define-service',
  service: 'authd',
  address: { host: '127.0.0.1', port: 7001 },
  policy: 'adaptive',
  limits: {},
};

t.test('a command sent again is applied once and gets the same outcome', async (t) => {
  const { state, send } = world();
  const first = send('tarjeta', 'c1', defineAuthd);
  const second = send('tarjeta', 'c1', defineAuthd);
  t.strictSame(second.outcome, first.outcome);
  t.strictSame(second.changes, []);
  t.equal(state.routing.services.size, 1);
});

t.test('a command ID used for another command is refused', async (t) => {
  const { send } = world();
  send('tarjeta', 'c1', defineAuthd);
  const other = send('tarjeta', 'c1', { type: 'retire-service', service: 'authd' });
  t.match(other.outcome, { accepted: false, error: { kind: 'command-id-reused' } });
});

t.test('of two changes on an equal version the later one conflicts', async (t) => {
  const { send } = world();
  send('tarjeta', 'c1', defineAuthd);
  const change = (commandId: string) =>
    send('tarjeta', commandId, {
      type: 'change-service',
      service: 'authd',
      policy: 'random',
      basedOnVersion: 1,
    });
  t.match(change('c2').outcome, { accepted: true, version: 2 });
  t.match(change('c3').outcome, { accepted: false, error: { kind: 'conflict' } });
});

t.test("another partner's service is not found, whether it exists or not", async (t) => {
  const { send } = world();
  send('tarjeta', 'c1', defineAuthd);
  const existing = send('hara', 'h1', { type: 'retire-service', service: 'authd' });
  const missing = send('hara', 'h2', { type: 'retire-service', service: 'nothing' });
  t.match(existing.outcome, { accepted: false, error: { kind: 'not-found' } });
  t.match(missing.outcome, { accepted: false, error: { kind: 'not-found' } });
});

t.test('an operator may not send a command of the system', async (t) => {
  const { send } = world();
  const outcome = send('hara', 'h1', { type: 'set-operators', operators: [] }).outcome;
  t.match(outcome, { accepted: false, error: { kind: 'unauthorized' } });
});
