/** @file Stories out of logs: of a real run, and of logs whose clocks differ or that lack lines. */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { explain } from '../../../src/tools/toolbox/explain.js';
import { parseLogLine, type LogLine } from '../../../src/tools/toolbox/log-line.js';

/** From the bench's day of journal entry 20921c58, with the machine and time that the bench puts first. */
const RECORDED = 'test/tools/toolbox/recorded-day.txt';
const DARK_BACKEND = 'i-d1b18094d1';
const LOST_REQUEST = '853dc276e3b37f50';
const FLOW = '100.64.0.1:1000>198.18.0.1:443';

function parseAll(text: string, fileName = 'file'): LogLine[] {
  return text.split('\n').flatMap((line, index) => parseLogLine(line, fileName, index + 1) ?? []);
}

/** Lines of one process: `secondsUp name fields`, written by a clock that is off by `aheadMs`. */
function linesOf(source: string, aheadMs: number, lines: readonly string[]): LogLine[] {
  const text = lines.map((line) => {
    const [up = '0', ...rest] = line.split(' ');
    const upMs = Number(up) * 1_000;
    const time = new Date(1_700_000_000_000 + upMs + aheadMs).toISOString();
    return `${time} info [balancer] ${rest.join(' ')} upMs=${upMs}`;
  });
  return parseAll(text.join('\n'), source);
}

t.test('a line is taken apart, with what a collector put before it', async (t) => {
  const text =
    '   0.9052 front-1 2026-10-19T05:41:53.905Z info [balancer] feed lost control=1.2.3.4:5 reason="a \\"b\\"" upMs=7';
  const line = parseLogLine(text, 'file', 3);
  t.match(line, { source: 'front-1', number: 3, part: 'balancer', name: 'feed lost', upMs: 7 });
  t.equal(line?.fields.get('reason'), 'a "b"');
  t.equal(parseLogLine('412 lines were dropped here', 'file', 1), undefined);
  t.equal(parseLogLine(text.slice(text.indexOf('2026')), 'file', 1)?.source, 'file');
});

t.test('a request on a back end that fell silent', async (t) => {
  const story = explain(parseAll(readFileSync(RECORDED, 'utf8')), LOST_REQUEST);
  t.same(story.subject, { type: 'request', id: LOST_REQUEST });
  const findings = story.findings.join('\n');
  t.match(findings, new RegExp(`${DARK_BACKEND} was judged silent, 2\\.\\d+ s after`));
  t.match(findings, /Its first packet was sent 9 times/);
  t.ok(
    story.lines.some(({ line }) => line.name === 'placed'),
    'it begins with the open',
  );
  t.ok(story.gaps.some((gap) => gap.startsWith('front-hall-b-2 ended without a word')));
  t.same(story.skews, [], 'a process that started late is no clock that is off');
});

t.test('a request that no log names', async (t) => {
  const story = explain(parseAll(readFileSync(RECORDED, 'utf8')), 'nowhere');
  t.equal(story.subject, undefined);
  t.ok(story.gaps.length > 0, 'what is missing is told all the same');
});

t.test('a back end and a configuration', async (t) => {
  const lines = parseAll(readFileSync(RECORDED, 'utf8'));
  t.same(explain(lines, DARK_BACKEND).subject, { type: 'backend', id: DARK_BACKEND });
  const config = explain(lines, '6');
  t.same(config.subject, { type: 'config', id: '6' });
  t.match(config.findings[0], /into force in \d+ processes within \d+ ms/);
});

t.test('clocks that differ and jump are put on one time', async (t) => {
  const marks = [
    '1 config in force version=1',
    '5 config in force version=2',
    '9 config in force version=3',
  ];
  const lines = [
    ...linesOf('one', 0, [
      '0 started name=one',
      ...marks,
      `10 placed flow=${FLOW} copy=0 how=chosen load=0 backend=b-1`,
    ]),
    ...linesOf('two', 30_000, [
      '0 started name=two',
      ...marks,
      `10.2 request request=r-1 flow=${FLOW} seq=1 backend=b-1`,
    ]),
    ...linesOf('three', 0, ['0 started name=three', ...marks]),
    ...linesOf('three', -9_000, [
      '11 departure backendId=b-1 kind=draining',
      '12 config in force version=4',
    ]),
  ];
  const story = explain(lines, 'r-1');
  t.same(story.skews, [{ source: 'two', aheadMs: 30_000 }]);
  t.same(
    story.lines.slice(-3).map(({ line }) => line.name),
    ['placed', 'request', 'departure'],
  );
  t.match(story.findings.join(), 'b-1 said that it is draining, 0.80 s after');
});

t.test('a port that is used again begins another flow', async (t) => {
  const lines = linesOf('one', 0, [
    `1 placed flow=${FLOW} copy=0 how=chosen load=0 backend=b-1`,
    `2 request request=r-1 flow=${FLOW} seq=1 backend=b-1`,
    `9 placed flow=${FLOW} copy=0 how=chosen load=0 backend=b-2`,
    `10 request request=r-2 flow=${FLOW} seq=7 backend=b-2`,
  ]);
  const told = (id: string) =>
    explain(lines, id).lines.map(({ line }) => line.fields.get('backend'));
  t.same(told('r-1'), ['b-1', 'b-1']);
  t.same(told('r-2'), ['b-2', 'b-2']);
  t.equal(explain(lines, FLOW).lines.length, 4, 'the flow itself is told whole');
});

t.test('refusals, full back ends and lines left out are told', async (t) => {
  const refused = linesOf('one', 0, [
    '0 started name=one',
    `1 reset reason=no-route flow=${FLOW} seq=1 copy=0 config=4`,
    '2 skipped kind=placed lines=412',
    '3 started name=one',
  ]);
  const story = explain(refused, FLOW);
  t.same(story.findings[0], 'one reset it: no-route.');
  t.same(story.gaps, [
    'one left out 412 lines of placed.',
    'one ended without a word before it started again.',
  ]);
  const full = linesOf('one', 0, [`1 placed flow=${FLOW} copy=0 how=chosen load=2.5 backend=b-1`]);
  const findings = explain(full, FLOW).findings.join('\n');
  t.match(findings, 'had 2.5 requests for each');
  t.match(findings, 'No request followed the open');
});
