/** @file Guards the operator client's retries against lost responses, followers and machines without a quorum. */
import { readFileSync } from 'node:fs';
import { PassThrough } from 'node:stream';
import t, { type Test } from 'tap';
import { complete, runInteractive } from '../../../src/tools/client/interactive.js';
import { runScript } from '../../../src/tools/client/script.js';
import { runStatement, type StatementOutput } from '../../../src/tools/client/statement-runner.js';
import type { OperatorCommand } from '../../../src/managed/control/commands.js';
import { sendJson } from '../../../src/managed/daemon/http-json.js';
import { OperatorWorld, TOKENS } from './operator-world.js';

const TLS_FOLDER = 'test/tools/client/tls';
const DEFINE = 'define service authd at 127.1.0.1:7000';
const ADD = 'add backend to authd at 127.1.0.9:9000 health 127.1.0.9:9100 zone z1';
const defineAuthd: OperatorCommand = {
  type: 'define-service',
  service: 'authd',
  address: { host: '127.1.0.1', port: 7000 },
  policy: 'adaptive',
  limits: {},
};

async function worldFor(t: Test, ...modes: Parameters<OperatorWorld['start']>[0][]) {
  const world = new OperatorWorld();
  t.teardown(() => world.stop());
  for (const mode of modes) {
    await world.start(mode);
  }
  return world;
}

t.test('a command whose response is lost is retried under its ID and applied once', async (t) => {
  const world = await worldFor(t, 'loses-answers', 'leads');
  const outcome = await world.client().send('c1', defineAuthd);
  t.match(outcome._unsafeUnwrap(), { accepted: true, revision: 1, version: 1 });
  t.strictSame(
    world.machines.map(({ sentIds }) => sentIds),
    [['c1'], ['c1']],
  );
  t.equal(world.state.owners.get('tarjeta')?.revision, 1);
});

t.test('a command retried after a leader change and a restart has the same outcome', async (t) => {
  const world = await worldFor(t, 'leads', 'follows');
  const first = await world.client().send('c1', defineAuthd);
  for (const machine of world.machines) {
    machine.mode = machine.mode === 'leads' ? 'follows' : 'leads';
  }
  t.strictSame(await world.client().send('c1', defineAuthd), first);
  world.restart();
  t.strictSame(await world.client().send('c1', defineAuthd), first);
  t.equal(world.state.routing.services.size, 1);
});

t.test("the client follows the leader's address", async (t) => {
  const world = await worldFor(t, 'follows', 'is-cut-off', 'leads');
  t.ok((await world.client().send('c1', defineAuthd)).isOk());
  t.strictSame(
    world.machines.map(({ sentIds }) => sentIds.length),
    [1, 0, 1],
  );
});

t.test('a machine without a quorum answers no query from stale state', async (t) => {
  const world = await worldFor(t, 'is-cut-off');
  const answer = await world.client().query({ type: 'services' });
  t.equal(answer._unsafeUnwrapErr().kind, 'no-quorum');
});

t.test('a refused command is not retried', async (t) => {
  const world = await worldFor(t, 'leads', 'leads');
  const outcome = await world.client().send('c1', { type: 'retire-service', service: 'authd' });
  t.equal(outcome._unsafeUnwrapErr().kind, 'not-found');
  t.strictSame(world.machines[1]?.sentIds, []);
});

t.test(
  'a wrong token, an invalid body and an unknown path each return their error kind',
  async (t) => {
    const world = await worldFor(t, 'leads');
    const to = world.machines[0]?.address ?? { host: '127.0.0.1', port: 0 };
    const request = { to, method: 'POST' as const, timeoutMs: 2_000 };
    const kindOf = async (path: string, bearerToken: string, body: unknown) => {
      const answer = (await sendJson({ ...request, path, bearerToken, body }))._unsafeUnwrap();
      return (answer.body as { error: { kind: string } }).error.kind;
    };
    const command = { commandId: 'c1', command: defineAuthd };
    t.equal(await kindOf('/v1/command', 'another token', command), 'unauthorized');
    t.equal(await kindOf('/v1/command', TOKENS.hara, { command }), 'invalid-command');
    t.equal(
      await kindOf('/v1/command', TOKENS.hara, { ...command, operator: 'tarjeta' }),
      'invalid-command',
    );
    t.equal(await kindOf('/v1/query', TOKENS.hara, { query: { type: 'all' } }), 'invalid-command');
    t.equal(await kindOf('/v1/state', TOKENS.hara, {}), 'not-found');
  },
);

t.test('tokens are stored only as hashes', async (t) => {
  const { state } = new OperatorWorld();
  const stored = JSON.stringify([...state.operators.values()]);
  t.notMatch(stored, TOKENS.tarjeta);
  t.match(stored, /"tokenHash":"[0-9a-f]{64}"/);
});

t.test(
  'with TLS the operator interface is reached with its certificate, and not over plain HTTP',
  async (t) => {
    const world = await worldFor(t);
    const cert = readFileSync(`${TLS_FOLDER}/test-only-certificate.pem`, 'utf8');
    const key = readFileSync(`${TLS_FOLDER}/test-only-key.pem`, 'utf8');
    await world.start('leads', { cert, key });
    t.ok((await world.client('tarjeta', cert).query({ type: 'services' })).isOk());
    const plain = await world.client('tarjeta').query({ type: 'services' });
    t.equal(plain._unsafeUnwrapErr().kind, 'peer-unreachable');
  },
);

t.test('a statement prints an outcome, a table or an error, each with its exit code', async (t) => {
  const world = await worldFor(t, 'leads');
  const options = { client: world.client(), json: false, waitMs: 0 };
  const run = (text: string) => runStatement(options, text, 'c1');
  t.strictSame(await run(DEFINE), {
    output: 'Accepted: revision 1, service version 1. Command c1.',
    error: '',
    exitCode: 0,
  });
  t.match((await run('show services')).output, /authd .* 127\.1\.0\.1:7000/);
  t.match(await run('drain backend 9'), { error: /command-id-reused/, exitCode: 4 });
  t.match(await run('drane backend 9'), { error: /\^{5}/, exitCode: 2 });
  const json = await runStatement({ ...options, json: true }, 'show in force', 'c2');
  t.match(JSON.parse(json.output), { type: 'in-force', committedRevision: 1 });
  const [machine] = world.machines;
  if (machine !== undefined) {
    machine.mode = 'is-cut-off';
  }
  t.match(await run(DEFINE), { error: /send it again with --command-id c1/, exitCode: 5 });
});

t.test(
  'waiting ends once the command is in force everywhere, or names the lagging balancers',
  async (t) => {
    const world = await worldFor(t, 'leads');
    world.balancers = [{ balancerId: 'b1', zone: 'z1', index: 0 }];
    const client = world.client();
    const late = await runStatement({ client, json: false, waitMs: 20 }, DEFINE, 'c1');
    t.match(late, { error: /lag: b1/, exitCode: 5 });
    world.balancers = [{ balancerId: 'b1', zone: 'z1', index: world.state.index }];
    const inTime = await runStatement({ client, json: false, waitMs: 5_000 }, DEFINE, 'c1');
    t.match(inTime, { output: /In force on all 1 balancers/, exitCode: 0 });
  },
);

t.test('a script stops at its first failure, and a second run applies nothing twice', async (t) => {
  const world = await worldFor(t, 'leads');
  const options = { client: world.client(), json: false, waitMs: 0 };
  const script = `# Sets up authd.\n${DEFINE}\n\n${ADD}\nretire service settled\nshow services\n`;
  for (let run = 1; run <= 2; run += 1) {
    const outputs: StatementOutput[] = [];
    t.equal(await runScript(options, script, 's1', (output) => outputs.push(output)), 4);
    t.match(outputs, [{ exitCode: 0 }, { exitCode: 0 }, { error: /^Line 5:/, exitCode: 4 }]);
  }
  t.equal(world.state.routing.backends.size, 1);
});

t.test('a script with an invalid line runs nothing', async (t) => {
  const world = await worldFor(t, 'leads');
  const options = { client: world.client(), json: false, waitMs: 0 };
  t.equal(await runScript(options, `${DEFINE}\nretire servic authd`, 's1', () => undefined), 2);
  t.equal(world.state.routing.services.size, 0);
});

t.test('the prompt runs statements, keeps history and completes names', async (t) => {
  const world = await worldFor(t, 'leads');
  const client = world.client();
  const input = new PassThrough();
  const output = new PassThrough();
  input.end(`${DEFINE}\nhelp\nshow servces\nexit\n`);
  const options = { client, json: false, waitMs: 0 };
  const terminal = { input, output, isTerminal: true, history: ['show services'] };
  t.strictSame(await runInteractive(options, terminal), [
    'exit',
    'show servces',
    'help',
    DEFINE,
    'show services',
  ]);
  const printed = String(output.read());
  t.match(printed, /Accepted: revision 1/);
  t.match(printed, /Statements begin with add/);
  t.match(printed, /"servces" is not expected/);
  t.strictSame(await complete(client, 'retire service a'), [['authd '], 'a']);
  t.strictSame(await complete(client, 'show ser'), [['service ', 'services '], 'ser']);
});
