/** @file Raft safety rules, each tested on a single member. */
import t from 'tap';
import type { AppendRequest, SnapshotChunk } from '../../../src/shared/consensus/messages.js';
import { entry, membership, sentMessages, SingleMember } from './member.js';

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

t.test('a vote and its term are on disk before the vote is sent', async (t) => {
  const member = SingleMember.voter(1);
  const request = { lastIndex: 1, lastTerm: 1, isTransfer: false };
  const effects = member.receive('b', { type: 'vote-request', term: 5, ...request });
  t.strictSame(sentMessages(effects), []);
  t.match(effects.at(-1), { type: 'persist', records: [{}, { term: 5, votedFor: 'b-disk' }] });
  t.strictSame(sentMessages(member.finishWrites()), [
    { type: 'vote-response', term: 5, granted: true },
  ]);
  const other = member.receive('c', { type: 'vote-request', term: 5, ...request });
  t.match(sentMessages(other), [{ granted: false }]);
});

t.test('a new cluster is on disk before any message about it is sent', async (t) => {
  const member = new SingleMember();
  member.step({ type: 'bootstrap', clusterId: 'cluster', membership });
  t.strictSame(sentMessages(member.expireElectionTimeout()), []);
  t.match(sentMessages(member.finishWrites()), [
    { type: 'pre-vote-request' },
    { type: 'pre-vote-request' },
  ]);
});

t.test('a candidate requests votes once its own vote is on disk', async (t) => {
  const member = SingleMember.voter(1);
  member.expireElectionTimeout();
  const effects = member.receive('b', { type: 'pre-vote-response', term: 2, granted: true });
  t.strictSame(sentMessages(effects), []);
  t.match(sentMessages(member.finishWrites()), [
    { type: 'vote-request' },
    { type: 'vote-request' },
  ]);
});

t.test('entries are acknowledged only once they are on disk', async (t) => {
  const member = SingleMember.voter(1);
  const effects = member.receive('b', appendRequest({ entries: [entry(2, 1)] }));
  t.strictSame(sentMessages(effects), []);
  t.match(sentMessages(member.finishWrites()), [
    { type: 'append-response', success: true, matchIndex: 2 },
  ]);
});

t.test("a leader's copy of an entry counts only once it is on disk", async (t) => {
  const member = SingleMember.voter(1);
  member.becomeLeader();
  t.equal(member.state.role.name, 'leader');
  member.acknowledge('b', 2);
  t.equal(member.state.commitIndex, 0);
  member.finishWrites();
  t.equal(member.state.commitIndex, 2);
});

t.test('an entry of an earlier term is not committed by counting copies', async (t) => {
  const member = SingleMember.voter(2, entry(2, 2));
  member.becomeLeader();
  member.finishWrites();
  member.acknowledge('b', 2);
  member.acknowledge('c', 2);
  t.equal(member.state.commitIndex, 0);
  member.acknowledge('b', 3);
  t.equal(member.state.commitIndex, 3);
});

t.test('a candidate whose log is behind gets no vote', async (t) => {
  const member = SingleMember.voter(3, entry(2, 3));
  const requests = [
    { lastIndex: 1, lastTerm: 3 },
    { lastIndex: 9, lastTerm: 2 },
  ];
  for (const [position, last] of requests.entries()) {
    const term = 4 + position;
    member.receive('b', { type: 'vote-request', term, isTransfer: false, ...last });
    t.match(sentMessages(member.finishWrites()), [{ granted: false }]);
  }
});

t.test('a response sent before a read arrived does not confirm the read', async (t) => {
  const member = SingleMember.voter(1);
  member.becomeLeader();
  member.finishWrites();
  member.acknowledge('b', 2);
  const { round } = member;
  member.step({ type: 'read', readId: 7 });
  t.notMatch(member.acknowledge('b', 2, round), [{ type: 'read-ready' }]);
  t.match(member.acknowledge('b', 2, round + 1), [{ type: 'read-ready', readId: 7 }]);
});

t.test("a read waits for the term's first commit", async (t) => {
  const member = SingleMember.voter(1);
  member.becomeLeader();
  member.finishWrites();
  member.step({ type: 'read', readId: 7 });
  const early = member.acknowledge('b', 1, member.round);
  const committed = member.acknowledge('b', 2, member.round);
  t.notOk([...early, ...committed].some(({ type }) => type === 'read-ready'));
  t.equal(member.state.commitIndex, 2);
  t.match(member.acknowledge('b', 2, member.round), [{ type: 'read-ready', readId: 7 }]);
});

t.test('votes and acknowledgements from a different storage ID do not count', async (t) => {
  const candidate = SingleMember.voter(1);
  candidate.becomeCandidate();
  candidate.receive('b', { type: 'vote-response', term: 2, granted: true }, 'b-new-disk');
  t.equal(candidate.state.role.name, 'candidate');
  const leader = SingleMember.voter(1);
  leader.becomeLeader();
  leader.finishWrites();
  leader.acknowledge('b', 2, 1, 'b-new-disk');
  t.equal(leader.state.commitIndex, 0);
});

t.test("a membership change is refused before the term's first commit", async (t) => {
  const member = SingleMember.voter(1);
  member.becomeLeader();
  member.finishWrites();
  const change = { type: 'remove-member' as const, nodeId: 'c' };
  const early = member.step({ type: 'change-membership', proposalId: 1, change });
  t.match(early, [{ type: 'proposal-refused', kind: 'conflict' }]);
  member.acknowledge('b', 2);
  const later = member.step({ type: 'change-membership', proposalId: 2, change });
  t.ok(later.some(({ type }) => type === 'proposal-appended'));
});

t.test('a snapshot that the log already covers removes no later entries', async (t) => {
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
  const effects = member.receive('b', chunk);
  t.equal(member.state.log.last.index, 4);
  t.match(
    effects.find(({ type }) => type === 'committed'),
    { entries: [{ index: 1 }, { index: 2 }, { index: 3 }] },
  );
  t.match(sentMessages(effects), [{ type: 'append-response', success: true, matchIndex: 3 }]);
});

t.test('an incomplete snapshot is not completed with chunks from another leader', async (t) => {
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
  member.receive('b', chunk);
  const later = member.receive('c', { ...chunk, term: 2, offset: 3, data: Buffer.from('xyz') });
  t.match([...sentMessages(later), ...sentMessages(member.finishWrites())], [{ nextOffset: 0 }]);
  t.equal(member.state.snapshot, undefined);
});

t.test('a member sends no votes or acknowledgements after a failed write', async (t) => {
  const member = SingleMember.voter(1);
  member.receive('b', appendRequest({ entries: [entry(2, 1)] }));
  member.step({ type: 'persist-failed', writeId: 1, reason: 'no space left' });
  const vote = { type: 'vote-request' as const, term: 9, lastIndex: 9, lastTerm: 9 };
  t.strictSame(member.receive('b', { ...vote, isTransfer: true }), []);
  t.strictSame(member.receive('b', appendRequest({ entries: [entry(2, 1)] })), []);
  t.match(member.step({ type: 'propose', proposalId: 1, data: Buffer.alloc(1) }), [
    { type: 'proposal-refused', kind: 'storage-failed' },
  ]);
});
