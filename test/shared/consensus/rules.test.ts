/** @file The rules of Raft that safety rests on, each at one member. */
import t from 'tap';
import type { AppendRequest, SnapshotChunk } from '../../../src/shared/consensus/messages.js';
import { entry, membership, sent, SingleMember } from './member.js';

function appendRequest(request: Partial<AppendRequest>): AppendRequest {
  return {
    type: 'append-request',
    term: 1,
    previousIndex: 1,
    previousTerm: 1,
    entries: [],
    commitIndex: 0,
    round: 1,
    ...request,
  };
}

t.test('a vote and its term are on disk before the vote is given', async (t) => {
  const member = SingleMember.voter(1);
  const request = { lastIndex: 1, lastTerm: 1, isTransfer: false };
  const effects = member.hear('b', { type: 'vote-request', term: 5, ...request });
  t.strictSame(sent(effects), []);
  t.match(effects.at(-1), { type: 'persist', records: [{}, { term: 5, votedFor: 'b-disk' }] });
  t.strictSame(sent(member.sync()), [{ type: 'vote-response', term: 5, granted: true }]);
  const other = member.hear('c', { type: 'vote-request', term: 5, ...request });
  t.match(sent(other), [{ granted: false }]);
});

t.test('a new cluster is on disk before anyone hears of it', async (t) => {
  const member = new SingleMember();
  member.step({ type: 'bootstrap', clusterId: 'cluster', membership });
  t.strictSame(sent(member.awaitElection()), []);
  t.match(sent(member.sync()), [{ type: 'pre-vote-request' }, { type: 'pre-vote-request' }]);
});

t.test('a candidate asks for votes once its own is on disk', async (t) => {
  const member = SingleMember.voter(1);
  member.awaitElection();
  const effects = member.hear('b', { type: 'pre-vote-response', term: 2, granted: true });
  t.strictSame(sent(effects), []);
  t.match(sent(member.sync()), [{ type: 'vote-request' }, { type: 'vote-request' }]);
});

t.test('entries are acknowledged once they are on disk', async (t) => {
  const member = SingleMember.voter(1);
  const effects = member.hear('b', appendRequest({ entries: [entry(2, 1)] }));
  t.strictSame(sent(effects), []);
  t.match(sent(member.sync()), [{ type: 'append-response', success: true, matchIndex: 2 }]);
});

t.test("a leader's own entry counts once it is on its own disk", async (t) => {
  const member = SingleMember.voter(1);
  member.lead();
  t.equal(member.state.role.name, 'leader');
  member.acknowledge('b', 2);
  t.equal(member.state.commitIndex, 0);
  member.sync();
  t.equal(member.state.commitIndex, 2);
});

t.test('an entry of an earlier term is not committed by counting', async (t) => {
  const member = SingleMember.voter(2, entry(2, 2));
  member.lead();
  member.sync();
  member.acknowledge('b', 2);
  member.acknowledge('c', 2);
  t.equal(member.state.commitIndex, 0);
  member.acknowledge('b', 3);
  t.equal(member.state.commitIndex, 3);
});

t.test('a member that is behind gets no vote', async (t) => {
  const member = SingleMember.voter(3, entry(2, 3));
  const requests = [
    { lastIndex: 1, lastTerm: 3 },
    { lastIndex: 9, lastTerm: 2 },
  ];
  for (const [position, last] of requests.entries()) {
    const term = 4 + position;
    member.hear('b', { type: 'vote-request', term, isTransfer: false, ...last });
    t.match(sent(member.sync()), [{ granted: false }]);
  }
});

t.test('an answer that was sent before a read came does not confirm it', async (t) => {
  const member = SingleMember.voter(1);
  member.lead();
  member.sync();
  member.acknowledge('b', 2);
  const { round } = member;
  member.step({ type: 'read', readId: 7 });
  t.notMatch(member.acknowledge('b', 2, round), [{ type: 'read-ready' }]);
  t.match(member.acknowledge('b', 2, round + 1), [{ type: 'read-ready', readId: 7 }]);
});

t.test('a read that comes before the first commit of the term waits for it', async (t) => {
  const member = SingleMember.voter(1);
  member.lead();
  member.sync();
  member.step({ type: 'read', readId: 7 });
  const early = member.acknowledge('b', 1, member.round);
  const committed = member.acknowledge('b', 2, member.round);
  t.notOk([...early, ...committed].some(({ type }) => type === 'read-ready'));
  t.equal(member.state.commitIndex, 2);
  t.match(member.acknowledge('b', 2, member.round), [{ type: 'read-ready', readId: 7 }]);
});

t.test('votes and acknowledgements of another disk than the member had do not count', async (t) => {
  const candidate = SingleMember.voter(1);
  candidate.campaign();
  candidate.hear('b', { type: 'vote-response', term: 2, granted: true }, 'b-new-disk');
  t.equal(candidate.state.role.name, 'candidate');
  const leader = SingleMember.voter(1);
  leader.lead();
  leader.sync();
  leader.acknowledge('b', 2, 1, 'b-new-disk');
  t.equal(leader.state.commitIndex, 0);
});

t.test('a membership change waits for a commit of the own term', async (t) => {
  const member = SingleMember.voter(1);
  member.lead();
  member.sync();
  const change = { type: 'remove-member' as const, nodeId: 'c' };
  const early = member.step({ type: 'change-membership', proposalId: 1, change });
  t.match(early, [{ type: 'proposal-refused', kind: 'conflict' }]);
  member.acknowledge('b', 2);
  const later = member.step({ type: 'change-membership', proposalId: 2, change });
  t.ok(later.some(({ type }) => type === 'proposal-appended'));
});

t.test('a snapshot that the log already holds drops no entry after it', async (t) => {
  const member = SingleMember.voter(1, entry(2, 1), entry(3, 1), entry(4, 1));
  const chunk: SnapshotChunk = {
    type: 'snapshot-chunk',
    term: 1,
    snapshotIndex: 3,
    snapshotTerm: 1,
    membership,
    offset: 0,
    totalBytes: 3,
    data: Buffer.from('abc'),
  };
  const effects = member.hear('b', chunk);
  t.equal(member.state.log.last.index, 4);
  t.match(
    effects.find(({ type }) => type === 'committed'),
    { entries: [{ index: 1 }, { index: 2 }, { index: 3 }] },
  );
  t.match(sent(effects), [{ type: 'append-response', success: true, matchIndex: 3 }]);
});

t.test('a snapshot of which a part is lost is never put together from two leaders', async (t) => {
  const member = SingleMember.voter(1);
  const chunk: SnapshotChunk = {
    type: 'snapshot-chunk',
    term: 1,
    snapshotIndex: 9,
    snapshotTerm: 1,
    membership,
    offset: 0,
    totalBytes: 6,
    data: Buffer.from('abc'),
  };
  member.hear('b', chunk);
  const later = member.hear('c', { ...chunk, term: 2, offset: 3, data: Buffer.from('xyz') });
  t.match([...sent(later), ...sent(member.sync())], [{ nextOffset: 0 }]);
  t.equal(member.state.snapshot, undefined);
});

t.test('after a failed write a member promises nothing, whatever it is asked', async (t) => {
  const member = SingleMember.voter(1);
  member.hear('b', appendRequest({ entries: [entry(2, 1)] }));
  member.step({ type: 'persist-failed', writeId: 1, reason: 'no space left' });
  const vote = { type: 'vote-request' as const, term: 9, lastIndex: 9, lastTerm: 9 };
  t.strictSame(member.hear('b', { ...vote, isTransfer: true }), []);
  t.strictSame(member.hear('b', appendRequest({ entries: [entry(2, 1)] })), []);
  t.match(member.step({ type: 'propose', proposalId: 1, data: Buffer.alloc(1) }), [
    { type: 'proposal-refused', kind: 'storage-failed' },
  ]);
});
