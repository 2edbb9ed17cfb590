/** @file Guards the phases that are reconstructed from logs of a recovery, recorded and written. */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { parseLogLine, type LogLine } from '../../../src/tools/toolbox/log-line.js';
import { timelineOf } from '../../../src/tools/toolbox/timeline.js';

/** Recorded log of a recovery after all machines lost power, with anonymised names. */
const RECORDED = 'test/tools/toolbox/recorded-return.txt';
const START_MS = 1_700_000_000_000;

function parseAll(text: string, fileName: string): LogLine[] {
  return text.split('\n').flatMap((line, index) => parseLogLine(line, fileName, index + 1) ?? []);
}

/** Lines of one process that was created `createdMs` after START_MS, given as `upMs name fields`. */
function linesOf(source: string, part: string, createdMs: number, lines: readonly string[]) {
  const text = lines.map((line) => {
    const [upMs = '0', ...rest] = line.split(' ');
    const time = new Date(START_MS + createdMs + Number(upMs)).toISOString();
    return `${time} info [${part}] ${rest.join(' ')} upMs=${upMs}`;
  });
  return parseAll(text.join('\n'), source);
}

t.test('a recorded recovery after a total power loss', async (t) => {
  const { returns } = timelineOf(parseAll(readFileSync(RECORDED, 'utf8'), 'file'));
  t.equal(returns.length, 1);
  const [recovery] = returns;
  t.equal(recovery?.starts.length, 16, '5 control machines and 11 balancers');
  const since = (text: string) => {
    const firstMs = recovery?.groupPhases[0]?.atMs ?? 0;
    const phase = recovery?.groupPhases.find((candidate) => candidate.text === text);
    return phase === undefined ? undefined : Math.round(phase.atMs - firstMs);
  };
  const quorumMs = since('control machine 3 of 5 had started') ?? 0;
  const leaderMs = since('the first control machine had a leader') ?? 0;
  const readyMs = since('the first balancer was ready') ?? 0;
  t.ok(quorumMs > 300 && quorumMs < 420, `${quorumMs}`);
  t.ok(leaderMs > quorumMs && leaderMs - quorumMs < 120, `${leaderMs}`);
  t.ok(readyMs >= leaderMs && readyMs - leaderMs < 40, `${readyMs}`);
  t.equal(recovery?.longestWait?.until.text, 'control machine 3 of 5 had started');
  const tries = recovery?.starts.reduce((sum, { failedTries }) => sum + failedTries, 0) ?? 0;
  t.ok(tries >= 10, 'balancers tried to reach machines that were off');
});

t.test('phases of one process, and the longest wait of the group', async (t) => {
  const { returns } = timelineOf([
    ...linesOf('c1', 'control', 0, [
      '100 started name=c1',
      '180 role role=pre-candidate term=1',
      '900 role role=leader term=2 leader=c1',
      '910 config in force version=3',
    ]),
    ...linesOf('b1', 'balancer', 20, [
      '150 started name=b1',
      '300 feed not reached reason=off',
      '920 config in force version=3',
      '921 ready backends=2',
      '950 placed flow=a backend=b',
      '980 feed not reached reason=later',
    ]),
  ]);
  const [recovery] = returns;
  const b1 = recovery?.starts.find(({ source }) => source === 'b1');
  t.same(
    b1?.phases.map(({ name, atMs }) => [name, Math.round(atMs - START_MS)]),
    [
      ['created', 20],
      ['started', 170],
      ['had the configuration', 940],
      ['ready', 941],
      ['placed an open', 970],
    ],
  );
  t.equal(b1?.failedTries, 1, 'attempts after it was ready do not count');
  t.equal(recovery?.longestWait?.until.text, 'the first control machine had a leader');
  t.equal(recovery?.longestWait?.tookMs, 730);
});

t.test(
  'starts that are far apart are separate recoveries, and phases that were not reached are omitted',
  async (t) => {
    const { returns } = timelineOf([
      ...linesOf('b1', 'balancer', 0, ['100 started name=b1', '200 ready backends=1']),
      ...linesOf('b1', 'balancer', 60_000, ['100 started name=b1']),
    ]);
    t.equal(returns.length, 2);
    t.same(
      returns[1]?.groupPhases.map(({ text }) => text),
      ['the first process was created', 'the first balancer had started'],
    );
    t.same(timelineOf([]).returns, []);
  },
);
