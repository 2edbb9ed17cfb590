/** @file Tests the operators' language: parsing, formatting, completion, syntax errors and generated files. */
import { readFileSync } from 'node:fs';
import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import t from 'tap';
import { placementPolicyNames } from '../../../src/managed/control/routing-config.js';
import {
  operatorCommandSchema,
  type OperatorCommand,
} from '../../../src/managed/control/commands.js';
import { operatorQuerySchema } from '../../../src/managed/control/queries.js';
import { completeStatement } from '../../../src/managed/language/complete-statement.js';
import {
  commandReference,
  queryReference,
} from '../../../src/managed/language/command-reference.js';
import { formatCommand } from '../../../src/managed/language/format-command.js';
import {
  describeStatementError,
  parseStatement,
} from '../../../src/managed/language/parse-statement.js';
import { PARSER_FILE, parserSource } from './parser-source.js';
import { REFERENCE_FILE, referenceSource } from './reference-source.js';

const examples = [...commandReference, ...queryReference].flatMap((entry) => entry.examples);

t.test('the committed parser matches the grammar', async (t) => {
  t.equal(readFileSync(PARSER_FILE, 'utf8'), parserSource());
});

t.test('the committed command reference matches the tables', async (t) => {
  t.equal(readFileSync(REFERENCE_FILE, 'utf8'), await referenceSource());
});

t.test('each example of the reference is a valid statement', async (t) => {
  for (const example of examples) {
    const statement = parseStatement(example)._unsafeUnwrap();
    const parsed =
      statement.kind === 'command'
        ? operatorCommandSchema.safeParse(statement.command)
        : operatorQuerySchema.safeParse(statement.query);
    t.ok(parsed.success, example);
  }
});

t.test('the reference has an example of every command and every query', async (t) => {
  const types = new Set(
    examples.map((example) => {
      const statement = parseStatement(example)._unsafeUnwrap();
      return statement.kind === 'command' ? statement.command.type : statement.query.type;
    }),
  );
  for (const option of [...operatorCommandSchema.options, ...operatorQuerySchema.options]) {
    t.ok(types.has(option.shape.type.value), option.shape.type.value);
  }
});

t.test('statements are parsed into commands', async (t) => {
  const command = (text: string) => {
    const statement = parseStatement(text)._unsafeUnwrap();
    return statement.kind === 'command' ? statement.command : undefined;
  };
  t.strictSame(command('define service authd at 127.0.0.1:7000 limit opens 500/s'), {
    type: 'define-service',
    service: 'authd',
    address: { host: '127.0.0.1', port: 7000 },
    policy: 'adaptive',
    limits: { opensPerSecond: 500 },
  });
  t.strictSame(command('In 10 m DRAIN backend 12 based on 3'), {
    type: 'plan-change',
    when: { inMs: 600_000 },
    change: { type: 'drain-backend', backendId: 12, basedOnVersion: 3 },
  });
  t.match(command('at 2026-12-03T04:00Z retire service authd'), {
    when: { atMs: Date.UTC(2026, 11, 3, 4) },
  });
});

const syntaxErrors: readonly (readonly [string, string])[] = [
  ['define servic authd', '       ^^^^^^\n"servic" is not expected; accepted: service.'],
  [
    'drain backend twelve',
    '              ^^^^^^\n"twelve" is not expected; accepted: <back end ID>.',
  ],
  ['retire', '      ^\nThe statement ends early; accepted: backend, service.'],
  [
    'show services now',
    '              ^^^\n"now" is not expected; accepted: the end of the statement.',
  ],
  ['in 10 x drain backend 1', '      ^\n"x" is not expected; accepted: d, h, m, ms, s.'],
  [
    'define service a at 1.1.1.1:99999',
    '                    ^^^^^^^^^^^^^\n"1.1.1.1:99999" is not expected; accepted: <IP:PORT>.',
  ],
];

t.test('an error marks the unexpected word and lists the accepted words', async (t) => {
  for (const [text, expectedMessage] of syntaxErrors) {
    const error = parseStatement(text)._unsafeUnwrapErr();
    t.equal(describeStatementError(text, error), `${text}\n${expectedMessage}`);
  }
  const beyondMaxDelay = 'in 367 d drain backend 1';
  const error = parseStatement(beyondMaxDelay)._unsafeUnwrapErr();
  t.match(describeStatementError(beyondMaxDelay, error), /at most 366 days ahead/);
});

t.test('any text is a statement or gives an error with its offset and a reason', async (t) => {
  const words = examples.flatMap((example) => example.split(' '));
  const text = fc.oneof(
    fc.string(),
    fc.array(fc.constantFrom(...words), { maxLength: 12 }).map((list) => list.join(' ')),
  );
  const hasResultOrExpectation = (statement: string) =>
    parseStatement(statement).match(
      () => true,
      ({ expected, couldEnd, reason, offset, word }) =>
        (expected.length > 0 || couldEnd || reason !== undefined) &&
        statement.slice(offset).startsWith(word),
    );
  const property = fc.property(text, hasResultOrExpectation);
  t.doesNotThrow(() => fc.assert(property, { seed: 5, numRuns: 2_000 }));
});

const name = fc.constantFrom('authd', 'board-api', 'at', 'policy', 'z9');
const id = fc.integer({ min: 1, max: 0xffff_ffff });
const version = fc.option(id, { nil: undefined });
const address = fc.record({
  host: fc.constantFrom('127.0.0.1', '10.0.0.255', '::1', 'fe80::1:2'),
  port: fc.integer({ min: 0, max: 65_535 }),
});
const limits = fc.record(
  { opensPerSecond: id, connectionsPerBackend: id },
  { requiredKeys: [] },
) as fc.Arbitrary<{ opensPerSecond?: number }>;
const policy = fc.constantFrom(...placementPolicyNames);

function withVersion<Fields extends object>(fields: fc.Arbitrary<Fields>) {
  return fc
    .tuple(fields, version)
    .map(([rest, based]) => (based === undefined ? rest : { ...rest, basedOnVersion: based }));
}

const change = fc.oneof(
  fc.record({ type: fc.constant('define-service'), service: name, address, policy, limits }),
  withVersion(fc.record({ type: fc.constant('change-service'), service: name, policy })),
  withVersion(fc.record({ type: fc.constant('retire-service'), service: name })),
  withVersion(
    fc.record({
      type: fc.constant('add-backend'),
      service: name,
      address,
      healthAddress: address,
      zone: name,
    }),
  ),
  withVersion(
    fc.record({
      type: fc.constantFrom('drain-backend', 'cancel-drain', 'retire-backend'),
      backendId: id,
    }),
  ),
);
const when = fc.oneof(
  fc.record({ atMs: fc.integer({ min: 0, max: 4_102_444_800_000 }) }),
  fc.record({ inMs: fc.integer({ min: 1, max: 31_622_400_000 }) }),
);
const anyCommand = fc.oneof(
  change,
  fc.record({ type: fc.constant('plan-change'), when, change }),
  fc.record({ type: fc.constant('cancel-plan'), planId: id }),
) as fc.Arbitrary<OperatorCommand>;

t.test('a formatted command is parsed back into an equal command', async (t) => {
  const parsesBack = (command: OperatorCommand) =>
    isDeepStrictEqual(parseStatement(formatCommand(command))._unsafeUnwrap(), {
      kind: 'command',
      command: structuredClone(command),
    });
  const property = fc.property(anyCommand, parsesBack);
  t.doesNotThrow(() => fc.assert(property, { seed: 7, numRuns: 300 }));
});

t.test('completion lists the keywords and known values that are accepted next', async (t) => {
  const known = new Map([['<service>', ['authd', 'settled']]]);
  t.strictSame(completeStatement('show ser').words, ['service', 'services']);
  t.strictSame(completeStatement('show service ', known).words, ['authd', 'settled']);
  t.strictSame(completeStatement('drain backend ').placeholders, ['<back end ID>']);
  t.strictSame(completeStatement('bogus sh').words, []);
});
