/** @file Guards `explain` against clock skew, reused ports and missing lines, on recorded and written logs. */
import { readFileSync } from 'node:fs';
import t from 'tap';
import { explain } from '../../../src/tools/toolbox/explain.js';
import { parseLogLine, type LogLine } from '../../../src/tools/toolbox/log-line.js';

/** Recorded log of several processes; each line is prefixed with a time and the machine. */
const RECORDED = 'test/tools/toolbox/recorded-day.txt';
const SILENT_BACKEND = 'i-d1b18094d1';
const UNANSWERED_REQUEST = '853dc276e3b37f50';
const FLOW = '100.64.0.1:1000>198.18.0.1:443';

function parseAll(text: string, fileName = 'file'): LogLine[] {
  return text.split('\n').flatMap((line, index) => parseLogLine(line, fileName, index + 1) ?? []);
}

/** Lines of one process, given as `uptimeSeconds name fields`, with a clock that is ahead by `aheadMs`. */
function linesOf(source: string, aheadMs: number, lines: readonly string[]): LogLine[] {
  const text = lines.map((line) => {
    const [up = '0', ...rest] = line.split(' ');
    const upMs = Number(up) * 1_000;
    const time = new Date(1_700_000_000_000 + upMs + aheadMs).toISOString();
    return `${time} info [balancer] ${rest.join(' ')} upMs=${upMs}`;
  });
  return parseAll(text.join('\n'), source);
}

t.test('a line is parsed with and without the prefix of a log collector', async (t) => {
  const text =
    '   0.9052 front-1 2026-10-19T05:41:53.905Z info [balancer] feed lost control=1.2.3.4:5 reason="a \\"b\\"" upMs=7';
  const line = parseLogLine(text, 'file', 3);
  t.match(line, { source: 'front-1', number: 3, part: 'balancer', name: 'feed lost', upMs: 7 });
  t.equal(line?.fields.get('reason'), 'a "b"');
  t.equal(parseLogLine('412 lines were dropped here', 'file', 1), undefined);
  t.equal(parseLogLine(text.slice(text.indexOf('2026')), 'file', 1)?.source, 'file');
});

t.test('a request on a back end that became silent', async (t) => {
  const explanation = explain(parseAll(readFileSync(RECORDED, 'utf8')), UNANSWERED_REQUEST);
  t.same(explanation.subject, { type: 'request', id: UNANSWERED_REQUEST });
  const findings = explanation.findings.join('\n');
  t.match(findings, new RegExp(`${SILENT_BACKEND} was judged silent, 2\\.\\d+ s after`));
  t.match(findings, /Its first packet was sent 9 times/);
  t.ok(
    explanation.lines.some(({ line }) => line.name === 'placed'),
    'the open is included',
  );
  t.ok(
    explanation.gaps.some((gap) => gap.startsWith('front-hall-b-2 ended without a final log line')),
  );
  t.same(explanation.skews, [], 'a late start is not reported as a clock skew');
});

t.test('a request that no log names', async (t) => {
  const explanation = explain(parseAll(readFileSync(RECORDED, 'utf8')), 'nowhere');
  t.equal(explanation.subject, undefined);
  t.ok(explanation.gaps.length > 0, 'gaps are reported nevertheless');
});

t.test('a back end and a configuration', async (t) => {
  const lines = parseAll(readFileSync(RECORDED, 'utf8'));
  t.same(explain(lines, SILENT_BACKEND).subject, { type: 'backend', id: SILENT_BACKEND });
  const config = explain(lines, '6');
  t.same(config.subject, { type: 'config', id: '6' });
  t.match(config.findings[0], /into force in \d+ processes within \d+ ms/);
});

t.test('clocks that differ and jump are aligned', async (t) => {
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
  const explanation = explain(lines, 'r-1');
  t.same(explanation.skews, [{ source: 'two', aheadMs: 30_000 }]);
  t.same(
    explanation.lines.slice(-3).map(({ line }) => line.name),
    ['placed', 'request', 'departure'],
  );
  t.match(explanation.findings.join(), 'b-1 announced that it is draining, 0.80 s after');
});

t.test('a reused port begins another flow', async (t) => {
  const lines = linesOf('one', 0, [
    `1 placed flow=${FLOW} copy=0 how=chosen load=0 backend=b-1`,
    `2 request request=r-1 flow=${FLOW} seq=1 backend=b-1`,
    `9 placed flow=${FLOW} copy=0 how=chosen load=0 backend=b-2`,
    `10 request request=r-2 flow=${FLOW} seq=7 backend=b-2`,
  ]);
  const backendsOf = (id: string) =>
    explain(lines, id).lines.map(({ line }) => line.fields.get('backend'));
  t.same(backendsOf('r-1'), ['b-1', 'b-1']);
  t.same(backendsOf('r-2'), ['b-2', 'b-2']);
  t.equal(explain(lines, FLOW).lines.length, 4, 'the ID of the flow selects all its lines');
});

t.test('refusals, full back ends and suppressed lines are reported', async (t) => {
  const refused = linesOf('one', 0, [
    '0 started name=one',
    `1 reset reason=no-route flow=${FLOW} seq=1 copy=0 config=4`,
    '2 skipped kind=placed lines=412',
    '3 started name=one',
  ]);
  const explanation = explain(refused, FLOW);
  t.same(explanation.findings[0], 'one reset it: no-route.');
  t.same(explanation.gaps, [
    'one suppressed 412 lines of placed.',
    'one ended without a final log line before it started again.',
  ]);
  const full = linesOf('one', 0, [`1 placed flow=${FLOW} copy=0 how=chosen load=2.5 backend=b-1`]);
  const findings = explain(full, FLOW).findings.join('\n');
  t.match(findings, 'already had 2.5 requests per slot');
  t.match(findings, 'No request followed the open');
});
