/** @file An example of each message of the consensus protocol and of each record of its log. */
import type { LogRecord, Snapshot } from '../../src/shared/consensus/persisted-state.js';
import type { LogEntry } from '../../src/shared/consensus/log.js';
import type { Membership } from '../../src/shared/consensus/membership.js';
import type { ConsensusMessage } from '../../src/shared/consensus/messages.js';

export const membership: Membership = {
  members: [
    {
      nodeId: 'c1',
      storageId: 'disk-1',
      role: 'voter',
      linkAddress: { host: '127.0.0.1', port: 7_001 },
      operatorAddress: { host: '127.0.0.1', port: 7_002 },
    },
    {
      nodeId: 'c2',
      storageId: 'disk-2',
      role: 'learner',
      linkAddress: { host: '127.0.0.2', port: 7_001 },
      operatorAddress: { host: '127.0.0.2', port: 7_002 },
    },
  ],
};

export const entries: readonly LogEntry[] = [
  { index: 4, term: 2, content: { type: 'no-op' } },
  { index: 5, term: 2, content: { type: 'command', data: Buffer.from('command') } },
  { index: 6, term: 3, content: { type: 'membership', membership } },
];

export const snapshot: Snapshot = { index: 3, term: 1, membership, data: Buffer.from('state') };

export const logRecords: readonly LogRecord[] = [
  { type: 'cluster', clusterId: 'cluster-1' },
  { type: 'vote', term: 2, votedFor: 'c1' },
  { type: 'vote', term: 3, votedFor: undefined },
  { type: 'entries', entries },
  { type: 'truncate', fromIndex: 5 },
  { type: 'commit', index: 4 },
];

export const consensusMessages: Readonly<Record<string, ConsensusMessage>> = {
  'pre-vote-request': { type: 'pre-vote-request', term: 2, lastIndex: 5, lastTerm: 1 },
  'pre-vote-response': { type: 'pre-vote-response', term: 2, granted: true },
  'vote-request': { type: 'vote-request', term: 2, lastIndex: 5, lastTerm: 1, isTransfer: false },
  'vote-response': { type: 'vote-response', term: 2, granted: false },
  'append-request': {
    type: 'append-request',
    term: 3,
    previousIndex: 3,
    previousTerm: 1,
    entries,
    commitIndex: 4,
    round: 9,
  },
  'append-response that matches': {
    type: 'append-response',
    term: 3,
    round: 9,
    success: true,
    matchIndex: 6,
  },
  'append-response that does not match': {
    type: 'append-response',
    term: 3,
    round: 9,
    success: false,
    rejectedIndex: 3,
    hintIndex: 2,
  },
  'snapshot-chunk': {
    type: 'snapshot-chunk',
    term: 3,
    snapshotIndex: 3,
    snapshotTerm: 1,
    membership,
    offset: 2,
    totalBytes: 5,
    data: Buffer.from('ate'),
  },
  'snapshot-chunk-response': {
    type: 'snapshot-chunk-response',
    term: 3,
    snapshotIndex: 3,
    nextOffset: 5,
  },
  'timeout-now': { type: 'timeout-now', term: 3 },
};
