/** @file Guards against flows to a crashed back end whose address is reused, with delayed and reordered heartbeats. */
import t from 'tap';
import { createAddressHolders } from '../../../src/registered/registry/address-holders.js';

const INTERVAL_MS = 1_000;
const ADDRESS = { host: '10.0.2.1', port: 9_000 };
const OTHER_ADDRESS = { host: '10.0.2.2', port: 9_000 };

t.test('a back end that starts at an address supersedes the previous one', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('old', ADDRESS, 0);
  holders.recordHeartbeat('other', OTHER_ADDRESS, 0);
  holders.recordHeartbeat('new', ADDRESS, 400);
  t.equal(holders.isSuperseded('old'), true);
  t.equal(holders.isSuperseded('new'), false);
  t.equal(holders.isSuperseded('other'), false);
  t.equal(holders.holderOf(ADDRESS), 'new');
});

t.test('heartbeats delayed by a partition do not take over an address', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('old', ADDRESS, 0);
  holders.recordHeartbeat('new', ADDRESS, 400);
  holders.recordHeartbeat('old', ADDRESS, 900);
  holders.recordHeartbeat('old', ADDRESS, 950);
  t.equal(holders.holderOf(ADDRESS), 'new', 'two that arrived together');
  holders.recordHeartbeat('new', ADDRESS, 1_400);
  holders.recordHeartbeat('old', ADDRESS, 1_900);
  t.equal(holders.holderOf(ADDRESS), 'new', 'the holder sent a heartbeat in between');
});

t.test('a superseded back end that outlasts the holder gets its address back', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('running', ADDRESS, 0);
  holders.recordHeartbeat('crashed, delayed', ADDRESS, 500);
  t.equal(holders.isSuperseded('running'), true);
  holders.recordHeartbeat('running', ADDRESS, 1_000);
  holders.recordHeartbeat('running', ADDRESS, 1_900);
  t.equal(holders.isSuperseded('running'), true, 'the holder may still send a heartbeat');
  holders.recordHeartbeat('running', ADDRESS, 2_000);
  t.equal(holders.isSuperseded('running'), false);
  t.equal(holders.isSuperseded('crashed, delayed'), true);
});

t.test(
  'a heartbeat takes over from a listed back end, and a later list entry from an earlier one',
  async (t) => {
    const holders = createAddressHolders(INTERVAL_MS);
    holders.recordListed('first', ADDRESS);
    holders.recordListed('second', ADDRESS);
    t.equal(holders.holderOf(ADDRESS), 'second');
    holders.recordHeartbeat('first', ADDRESS, 0);
    t.equal(holders.holderOf(ADDRESS), 'first', 'the other one is known from the list only');
    holders.recordListed('third', ADDRESS);
    t.equal(holders.holderOf(ADDRESS), 'first');
    t.equal(holders.isSuperseded('third'), true);
  },
);

t.test('a back end that moves or is removed releases its address', async (t) => {
  const holders = createAddressHolders(INTERVAL_MS);
  holders.recordHeartbeat('moving', ADDRESS, 0);
  holders.remove('moving', ADDRESS);
  holders.recordHeartbeat('moving', OTHER_ADDRESS, 1_000);
  t.equal(holders.holderOf(ADDRESS), undefined);
  holders.recordHeartbeat('next', ADDRESS, 1_500);
  t.equal(holders.isSuperseded('moving'), false);
  holders.remove('next', ADDRESS);
  t.equal(holders.holderOf(ADDRESS), undefined);
});
