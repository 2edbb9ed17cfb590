/** @file Guards the selection of trace events by flow, process and command, and their text form. */
import t from 'tap';
import { findScenario } from '../../../src/proof/sim-managed/scenarios/index.js';
import { runScenario } from '../../../src/proof/sim-managed/run-scenario.js';
import { formatTrace } from '../../../src/proof/sim-managed/violation-file.js';
import { describeEvent } from '../../../src/tools/toolbox/describe-event.js';
import { parseTrace, selectEvents } from '../../../src/tools/toolbox/replay-trace.js';

const drain = findScenario('drain');

t.test('events of a recorded run are selected', async (t) => {
  if (drain === undefined) {
    throw new Error('Scenario drain does not exist.');
  }
  const scenario = { ...drain, durationMs: 6_000 };
  const report = await runScenario(scenario, 1, { keepsPackets: true });
  const { digest, violations, trace } = report;
  const header = { scenario: 'drain', seed: 1, digest, violations };
  const recorded = parseTrace(formatTrace(header, trace))._unsafeUnwrap();
  const { events } = recorded;
  t.equal(events.length, trace.length);

  t.test('by flow: packets, back end and requests', async (t) => {
    const types = new Set(selectEvents(events, { flow: 'flow-1' }).map(({ type }) => type));
    t.ok(['packet', 'flow-accepted', 'run', 'outcome'].every((type) => types.has(type as 'run')));
    t.ok(types.size < new Set(events.map(({ type }) => type)).size);
  });

  t.test('by back end', async (t) => {
    const selected = selectEvents(events, { process: 'authd-1', type: 'run' });
    t.ok(selected.length > 0);
    t.ok(selected.every((event) => event.type === 'run' && event.backend === 'authd-1'));
  });

  t.test('by command: sent, applied, answered, in force on every balancer', async (t) => {
    const sent = events.find(
      (event) => event.type === 'command-sent' && event.command === 'drain-backend',
    );
    const command = sent?.type === 'command-sent' ? sent.commandId : '';
    const selected = selectEvents(events, { command });
    t.equal(selected[0]?.type, 'command-sent');
    t.equal(selected.filter(({ type }) => type === 'in-force').length, 4);
    t.match(selected.map(describeEvent)[0], /sent .* \(drain-backend of /);
  });

  t.test('every event is formatted on one line', async (t) => {
    t.ok(events.map(describeEvent).every((line) => /^ *[\d.]+ ms {2}\S.*\.$/.test(line)));
  });
});

t.test('a file that is not a trace is refused', async (t) => {
  t.equal(parseTrace('{}\n')._unsafeUnwrapErr().kind, 'invalid-settings');
  t.equal(parseTrace('nothing')._unsafeUnwrapErr().kind, 'invalid-settings');
});
