/** @file Which start of a back end holds an address, whatever order heartbeats come in. */
import t from 'tap';
import { createAddressHolders } from '../../../src/registered/registry/address-holders.js';

const INTERVAL_MS = 1_000;
const HERE = { host: '10.0.2.1', port: 9_000 };
const ELSEWHERE = { host: '10.0.2.2', port: 9_000 };

t.test('whoever starts at an address supersedes the one before', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('old', HERE, 0);
  holders.recordHeartbeat('other', ELSEWHERE, 0);
  holders.recordHeartbeat('new', HERE, 400);
  t.equal(holders.isSuperseded('old'), true);
  t.equal(holders.isSuperseded('new'), false);
  t.equal(holders.isSuperseded('other'), false);
  t.equal(holders.holderOf(HERE), 'new');
});

t.test('heartbeats that a cut held up give an address to nobody', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('old', HERE, 0);
  holders.recordHeartbeat('new', HERE, 400);
  holders.recordHeartbeat('old', HERE, 900);
  holders.recordHeartbeat('old', HERE, 950);
  t.equal(holders.holderOf(HERE), 'new', 'two that came together');
  holders.recordHeartbeat('new', HERE, 1_400);
  holders.recordHeartbeat('old', HERE, 1_900);
  t.equal(holders.holderOf(HERE), 'new', 'the holder was heard between them');
});

t.test('one that goes on while the holder does not holds its address again', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('running', HERE, 0);
  holders.recordHeartbeat('gone, heard of late', HERE, 500);
  t.equal(holders.isSuperseded('running'), true);
  holders.recordHeartbeat('running', HERE, 1_000);
  holders.recordHeartbeat('running', HERE, 1_900);
  t.equal(holders.isSuperseded('running'), true, 'the holder may well be heard again');
  holders.recordHeartbeat('running', HERE, 2_000);
  t.equal(holders.isSuperseded('running'), false);
  t.equal(holders.isSuperseded('gone, heard of late'), true);
});

t.test(
  'a list gives way to what was heard, and its later entries to none before them',
  async (t) => {
    const holders = createAddressHolders(INTERVAL_MS);
    holders.recordListed('first', HERE);
    holders.recordListed('second', HERE);
    t.equal(holders.holderOf(HERE), 'second');
    holders.recordHeartbeat('first', HERE, 0);
    t.equal(holders.holderOf(HERE), 'first', 'the other one is only listed');
    holders.recordListed('third', HERE);
    t.equal(holders.holderOf(HERE), 'first');
    t.equal(holders.isSuperseded('third'), true);
  },
);

t.test('one that moves or is forgotten leaves its address', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('moving', HERE, 0);
  holders.remove('moving', HERE);
  holders.recordHeartbeat('moving', ELSEWHERE, 1_000);
  t.equal(holders.holderOf(HERE), undefined);
  holders.recordHeartbeat('next', HERE, 1_500);
  t.equal(holders.isSuperseded('moving'), false);
  holders.remove('next', HERE);
  t.equal(holders.holderOf(HERE), undefined);
});
