/** @file Safety under faults: nothing accepted is lost and no read is old, over many seeds. */
import t from 'tap';
import { encodeClusterState } from '../../../src/managed/control/cluster-snapshot.js';
import { controlStatus } from '../../../src/managed/control/control-status.js';
import { ControlNetwork, serviceName, type Pending } from './control-network.js';

const SEEDS = 12;
const FAULTS_PER_SEED = 40;
const FAULT_INTERVAL_MS = 250;
const NODE_IDS = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** One run of faults, with commands and reads all along. */
class ChaosRun {
  readonly network: ControlNetwork;
  readonly accepted = new Set<number>();
  readsAnswered = 0;
  private readonly changes = new Map<number, Pending>();
  private readonly reads: { readonly pending: Pending; readonly floor: number }[] = [];
  private highestAccepted = 0;

  constructor(seed: number) {
    const nodeIds = NODE_IDS.slice(0, seed % 2 === 0 ? 3 : 5);
    this.network = new ControlNetwork({
      seed,
      nodeIds,
      lossRate: 0.02,
      duplicateRate: 0.02,
      tickMs: 25,
      snapshotIntervalEntries: 20,
      trailingEntries: 5,
    });
  }

  run(): void {
    const { network } = this;
    network.awaitLeader();
    for (let fault = 0; fault < FAULTS_PER_SEED; fault += 1) {
      this.bringAboutFault();
      for (let part = 0; part < 5; part += 1) {
        this.sendSomething();
        network.run(FAULT_INTERVAL_MS / 5);
        this.takeAnswers();
      }
      network.invariants.checkLogMatching(network.consensusStates());
    }
    this.recover();
  }

  /** The states of all machines, once all of them are back and have caught up. */
  finalStates(): Uint8Array[] {
    return [...this.network.machines.values()].map(({ nodeId }) =>
      encodeClusterState(this.network.stateOf(nodeId).cluster),
    );
  }

  private recover(): void {
    const { network } = this;
    network.heal();
    network.lossRate = 0;
    for (const { nodeId, state } of network.machines.values()) {
      if (state === undefined) {
        network.start(nodeId);
      }
    }
    this.takeBackMachines();
    network.defineSurely();
    network.run(3_000);
    this.takeAnswers();
  }

  private bringAboutFault(): void {
    const { network } = this;
    const { random } = network;
    const ids = [...network.machines.keys()];
    const victim = ids[random.nextInt(ids.length)] ?? '';
    const isUp = network.machine(victim).state !== undefined;
    switch (random.nextInt(8)) {
      case 0:
        network.partition(...split(ids, random.nextInt(2 ** ids.length)));
        return;
      case 1:
      case 2:
        network.heal();
        return;
      case 3:
        if (isUp) {
          network.crash(victim);
        }
        return;
      case 4:
        network.restart(victim);
        return;
      case 5:
        network.step(network.machine(network.leader() ?? victim), { type: 'stop' });
        return;
      case 6:
        this.loseOneDisk(victim);
        return;
      default:
        this.changeSomeMember();
    }
  }

  /** One lost disk at a time is what a majority outlives. */
  private loseOneDisk(victim: string): void {
    const { network } = this;
    const leader = network.leader();
    const voters = leader === undefined ? [] : this.status(leader).members;
    const intact = voters.filter(
      ({ nodeId, storageId, role }) =>
        role === 'voter' && network.machine(nodeId).disk.storageId === storageId,
    );
    const isSafe = intact.length === voters.length && voters.length >= 3;
    if (isSafe && network.random.nextInt(2) === 0) {
      network.loseDisk(victim);
    }
  }

  /** What an operator does by the handbook: takes out the lost, adds the new, promotes it. */
  private changeSomeMember(): void {
    const { network } = this;
    const leader = network.leader();
    if (leader === undefined) {
      return;
    }
    const { members, waiting } = this.status(leader);
    const learner = members.find(({ role }) => role === 'learner');
    const [newcomer] = waiting;
    if (learner !== undefined) {
      const { nodeId } = learner;
      const isLost = newcomer?.nodeId === nodeId;
      network.changeMembers(leader, { type: isLost ? 'remove-member' : 'promote-member', nodeId });
    } else if (newcomer !== undefined) {
      const { nodeId } = newcomer;
      const isNamed = members.some((member) => member.nodeId === nodeId);
      network.changeMembers(leader, { type: isNamed ? 'remove-member' : 'add-member', nodeId });
    }
  }

  private takeBackMachines(): void {
    const { network } = this;
    const isWhole = () => {
      const leader = network.leader();
      const members = leader === undefined ? [] : this.status(leader).members;
      return (
        members.length === network.machines.size &&
        members.every(
          ({ nodeId, storageId, role }) =>
            role === 'voter' && network.machine(nodeId).disk.storageId === storageId,
        )
      );
    };
    for (let attempt = 0; attempt < 100 && !isWhole(); attempt += 1) {
      this.changeSomeMember();
      network.run(300);
    }
  }

  private status(nodeId: string) {
    return controlStatus(this.network.stateOf(nodeId), this.network.nowMs);
  }

  private sendSomething(): void {
    const { network } = this;
    const up = [...network.machines.values()].filter(({ state }) => state !== undefined);
    const { nodeId } = up[network.random.nextInt(up.length || 1)] ?? {};
    const target = network.random.nextInt(3) === 0 ? nodeId : (network.leader() ?? nodeId);
    if (target === undefined) {
      return;
    }
    const number = network.takeId();
    this.changes.set(number, network.define(target, number));
    this.reads.push({ pending: network.query(target), floor: this.highestAccepted });
  }

  private takeAnswers(): void {
    for (const [number, { outcome }] of this.changes) {
      if (outcome?.accepted === true) {
        this.accepted.add(number);
        this.highestAccepted = Math.max(this.highestAccepted, outcome.index);
        this.changes.delete(number);
      }
    }
    for (const { pending, floor } of this.reads.splice(0)) {
      const { answer } = pending;
      if (answer !== undefined && answer.error === undefined) {
        this.readsAnswered += 1;
        if (answer.index < floor) {
          throw new Error(`A read was answered at ${answer.index}, before ${floor}.`);
        }
      }
    }
  }
}

function split(ids: readonly string[], mask: number): string[][] {
  const isLeft = (position: number) => ((mask >> position) & 1) === 0;
  return [
    ids.filter((_, position) => isLeft(position)),
    ids.filter((_, position) => !isLeft(position)),
  ];
}

t.test('accepted commands are never lost, whatever fails', async (t) => {
  let accepted = 0;
  let reads = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const chaos = new ChaosRun(seed);
    t.doesNotThrow(() => chaos.run(), `seed ${seed}`);
    const [first, ...others] = chaos.finalStates();
    t.ok(
      others.every((state) => Buffer.compare(state, first ?? state) === 0),
      `seed ${seed}`,
    );
    const { cluster } = chaos.network.stateOf('c1');
    const services = new Set([...cluster.routing.services.values()].map(({ name }) => name));
    const lost = [...chaos.accepted].filter((number) => !services.has(serviceName(number)));
    t.strictSame(lost, [], `seed ${seed}`);
    accepted += chaos.accepted.size;
    reads += chaos.readsAnswered;
  }
  t.ok(accepted > SEEDS * 50, `${accepted} commands were accepted`);
  t.ok(reads > SEEDS * 50, `${reads} reads were answered`);
});
