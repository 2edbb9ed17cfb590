/** @file Snapshot transfer to a lagging machine, also with lost messages and while the log moves on. */
import t from 'tap';
import { encodeClusterState } from '../../../src/managed/control/cluster-snapshot.js';
import { ControlNetwork } from './control-network.js';

const CHUNK_BYTES = 512;

function networkWith(lossRate: number): ControlNetwork {
  return new ControlNetwork({
    seed: 1,
    nodeIds: ['c1', 'c2', 'c3'],
    lossRate,
    snapshotIntervalEntries: 50,
    trailingEntries: 10,
    snapshotChunkBytes: CHUNK_BYTES,
  });
}

t.test('a lagging machine gets a snapshot in chunks and then follows the log', async (t) => {
  for (const lossRate of [0, 0.2]) {
    const network = networkWith(lossRate);
    const leader = network.awaitLeader();
    const lagging = ['c1', 'c2', 'c3'].find((nodeId) => nodeId !== leader) ?? '';
    network.crash(lagging);
    for (let change = 0; change < 120; change += 1) {
      network.defineServiceUntilAccepted();
    }
    const { snapshot } = network.stateOf(network.awaitLeader()).consensus;
    t.ok((snapshot?.data.length ?? 0) > 20 * CHUNK_BYTES, 'the snapshot has many chunks');
    network.start(lagging);
    const indexOf = (nodeId: string) => network.stateOf(nodeId).cluster.index;
    const hasCaughtUp = () => indexOf(lagging) >= indexOf(leader);
    t.ok(network.runUntil(hasCaughtUp, 30_000), `at a loss rate of ${lossRate}`);
    t.ok(network.stateOf(lagging).consensus.log.base.index > 0, 'its log begins after a snapshot');
    network.defineServiceUntilAccepted();
    network.run(3_000);
    const [one, other] = [leader, lagging].map((nodeId) =>
      encodeClusterState(network.stateOf(nodeId).cluster),
    );
    t.ok(one && other && Buffer.compare(one, other) === 0);
    network.restart(lagging);
    t.ok(network.stateOf(lagging).cluster.routing.services.size >= 120, 'also after a restart');
  }
});

t.test(
  'commands are accepted during a snapshot transfer, and the lagging machine catches up',
  async (t) => {
    const network = networkWith(0);
    const leader = network.awaitLeader();
    const lagging = ['c1', 'c2', 'c3'].find((nodeId) => nodeId !== leader) ?? '';
    network.crash(lagging);
    for (let change = 0; change < 120; change += 1) {
      network.defineServiceUntilAccepted();
    }
    network.start(lagging);
    for (let change = 0; change < 120; change += 1) {
      network.defineServiceUntilAccepted();
    }
    const hasAll = () => network.stateOf(lagging).cluster.routing.services.size === 240;
    t.ok(network.runUntil(hasAll, 10_000));
  },
);
