/** @file A reader that does not read costs lines, which are counted, and nothing else. */
import t from 'tap';
import { LineWriter } from '../../src/daemon/line-writer.js';

t.test('lines gather while a write is under way', async (t) => {
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

t.test('a pipe that nobody reads', async (t) => {
  const written: string[] = [];
  let end: (() => void) | undefined;
  const writer = new LineWriter((text, ended) => {
    written.push(text);
    end = ended;
  }, 40);
  for (let index = 0; index < 1_000; index += 1) {
    writer.writeLine(`line ${String(index).padStart(4, '0')}\n`);
  }
  t.equal(written.length, 1, 'one write waits');
  t.equal(writer.droppedLines, 995);
  end?.();
  t.match(written[1], /995 lines were dropped here\n$/);
});
