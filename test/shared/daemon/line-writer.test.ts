/** @file A log reader that does not read must not block the process; lines are dropped and counted instead. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import t from 'tap';
import { LineWriter } from '../../../src/shared/daemon/line-writer.js';

t.test('lines are buffered while a write is in progress', async (t) => {
  const written: string[] = [];
  const ends: (() => void)[] = [];
  const writer = new LineWriter((text, ended) => {
    written.push(text);
    ends.push(ended);
  });
  writer.writeLine('one\n');
  writer.writeLine('two\n');
  writer.writeLine('three\n');
  t.same(written, ['one\n']);
  ends.shift()?.();
  t.same(written, ['one\n', 'two\nthree\n']);
});

t.test('lines beyond the limit are dropped and reported', async (t) => {
  const written: string[] = [];
  let end: (() => void) | undefined;
  const writer = new LineWriter((text, ended) => {
    written.push(text);
    end = ended;
  }, 40);
  for (let index = 0; index < 1_000; index += 1) {
    writer.writeLine(`line ${String(index).padStart(4, '0')}\n`);
  }
  t.equal(written.length, 1, 'one write is in progress');
  t.equal(writer.droppedLines, 995);
  end?.();
  t.match(written[1], /995 lines were dropped here\n$/);
});

const FLOOD = `
  import { LineWriter, STANDARD_ERROR, writeTo } from './dist/src/shared/daemon/line-writer.js';
  const lines = new LineWriter(writeTo(STANDARD_ERROR));
  let turns = 0;
  const turn = () => {
    for (let index = 0; index < 100; index += 1) lines.writeLine('x'.repeat(200) + '\\n');
    turns += 1;
    if (turns < 100) setImmediate(turn);
    else process.stdout.write(JSON.stringify({ turns, dropped: lines.droppedLines }), () => process.exit(0));
  };
  turn();
`;

t.test('a process keeps running if its log pipe is not read', async (t) => {
  const child = spawn(process.execPath, ['--input-type=module', '--eval', FLOOD], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  // child.stderr is not read: its pipe is full after 64 KB.
  const [text] = (await once(child.stdout, 'data')) as [Buffer];
  const report = JSON.parse(text.toString('utf8')) as { turns: number; dropped: number };
  t.equal(report.turns, 100, 'the event loop was not blocked');
  t.ok(report.dropped > 5_000, 'lines were dropped and counted');
});
