/** @file Random faults: guards against lost accepted commands, stale reads and diverging logs. */
import t from 'tap';
import { encodeClusterState } from '../../../src/managed/control/cluster-snapshot.js';
import { controlStatus } from '../../../src/managed/control/control-status.js';
import { ControlNetwork, serviceName, type PendingRequest } from './control-network.js';

const SEEDS = 12;
const FAULTS_PER_SEED = 40;
const FAULT_INTERVAL_MS = 250;
const NODE_IDS = ['c1', 'c2', 'c3', 'c4', 'c5'];

/** A run with random faults and a continuous load of commands and reads. */
class ChaosRun {
  readonly network: ControlNetwork;
  readonly accepted = new Set<number>();
  readsAnswered = 0;
  private readonly changes = new Map<number, PendingRequest>();
  private readonly reads: { readonly pending: PendingRequest; readonly minimumIndex: number }[] =
    [];
  private highestAcceptedIndex = 0;

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
      this.injectFault();
      for (let part = 0; part < 5; part += 1) {
        this.sendRequests();
        network.run(FAULT_INTERVAL_MS / 5);
        this.collectAnswers();
      }
      network.invariants.checkLogMatching(network.consensusStates());
    }
    this.recover();
  }

  /** The encoded cluster state of each machine; call after `run`. */
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
    this.restoreMembership();
    network.defineServiceUntilAccepted();
    network.run(3_000);
    this.collectAnswers();
  }

  private injectFault(): void {
    const { network } = this;
    const { random } = network;
    const ids = [...network.machines.keys()];
    const victim = ids[random.nextInt(ids.length)] ?? '';
    const isUp = network.machine(victim).state !== undefined;
    switch (random.nextInt(8)) {
      case 0:
        network.partition(...splitByMask(ids, random.nextInt(2 ** ids.length)));
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
        this.loseDiskIfSafe(victim);
        return;
      default:
        this.changeNextMember();
    }
  }

  /** Loses a disk only if all voters have theirs, so that a quorum of intact disks remains. */
  private loseDiskIfSafe(victim: string): void {
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

  /** Does the next step of an operator: removes a lost member, adds a waiting node, or promotes a learner. */
  private changeNextMember(): void {
    const { network } = this;
    const leader = network.leader();
    if (leader === undefined) {
      return;
    }
    const { members, waiting } = this.status(leader);
    const learner = members.find(({ role }) => role === 'learner');
    const [waitingNode] = waiting;
    if (learner !== undefined) {
      const { nodeId } = learner;
      const isLost = waitingNode?.nodeId === nodeId;
      network.changeMembers(leader, { type: isLost ? 'remove-member' : 'promote-member', nodeId });
    } else if (waitingNode !== undefined) {
      const { nodeId } = waitingNode;
      const isMember = members.some((member) => member.nodeId === nodeId);
      network.changeMembers(leader, { type: isMember ? 'remove-member' : 'add-member', nodeId });
    }
  }

  private restoreMembership(): void {
    const { network } = this;
    const isRestored = () => {
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
    for (let attempt = 0; attempt < 100 && !isRestored(); attempt += 1) {
      this.changeNextMember();
      network.run(300);
    }
  }

  private status(nodeId: string) {
    return controlStatus(this.network.stateOf(nodeId), this.network.nowMs);
  }

  private sendRequests(): void {
    const { network } = this;
    const up = [...network.machines.values()].filter(({ state }) => state !== undefined);
    const { nodeId } = up[network.random.nextInt(up.length || 1)] ?? {};
    const target = network.random.nextInt(3) === 0 ? nodeId : (network.leader() ?? nodeId);
    if (target === undefined) {
      return;
    }
    const number = network.allocateId();
    this.changes.set(number, network.defineService(target, number));
    this.reads.push({ pending: network.query(target), minimumIndex: this.highestAcceptedIndex });
  }

  private collectAnswers(): void {
    for (const [number, { outcome }] of this.changes) {
      if (outcome?.accepted === true) {
        this.accepted.add(number);
        this.highestAcceptedIndex = Math.max(this.highestAcceptedIndex, outcome.index);
        this.changes.delete(number);
      }
    }
    for (const { pending, minimumIndex } of this.reads.splice(0)) {
      const { answer } = pending;
      if (answer !== undefined && answer.error === undefined) {
        this.readsAnswered += 1;
        if (answer.index < minimumIndex) {
          throw new Error(
            `A stale read was answered at index ${answer.index}, below ${minimumIndex}.`,
          );
        }
      }
    }
  }
}

function splitByMask(ids: readonly string[], mask: number): string[][] {
  const isLeft = (position: number) => ((mask >> position) & 1) === 0;
  return [
    ids.filter((_, position) => isLeft(position)),
    ids.filter((_, position) => !isLeft(position)),
  ];
}

t.test('accepted commands are never lost under random faults', async (t) => {
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
