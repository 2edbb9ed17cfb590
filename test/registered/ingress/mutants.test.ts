/** @file Guards against oracle checks that miss faults: each check must detect a deployment with a deliberate defect. */
import t from 'tap';
import type { ConfigDocument } from '../../../src/registered/group/replicated-state.js';
import type { DrawnFaultKind } from '../../../src/proof/sim-registered/drawn-faults.js';
import type { IngressCheck } from '../../../src/proof/sim-registered/ingress-oracle.js';
import type { IngressWorld } from '../../../src/proof/sim-registered/ingress-world.js';
import { runIngressWorld } from '../../../src/proof/sim-registered/run-ingress-world.js';
import { decodePacket, encodePacket } from '../../../src/registered/ingress/token-packet.js';

interface IngressMutant {
  readonly name: string;
  readonly check: IngressCheck;
  readonly kinds: readonly DrawnFaultKind[];
  readonly faultCount: number;
  readonly endsWithLoss?: boolean;
  readonly breakWorld: (world: IngressWorld) => void;
}

const CLIENT_HOSTS = '100.64.';
const BACKEND_HOSTS = '10.0.2.';
const FIRST_SEED = 50;
const MAX_SEEDS = 6;

const mutants: readonly IngressMutant[] = [
  {
    name: 'balancers ignore departures',
    check: 'drain',
    kinds: ['backend-replaced'],
    faultCount: 3,
    breakWorld: (world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.backends.applyDeparture = () => undefined;
        }
      }),
  },
  {
    name: 'balancers forget opens and do not query the holders',
    check: 'flow',
    kinds: ['datagrams-lost'],
    faultCount: 8,
    breakWorld: (world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.opens.recall = () => undefined;
          Object.defineProperty(process.state.peers, 'size', { get: () => 0 });
        }
      }),
  },
  {
    name: 'balancers keep their first configuration',
    check: 'config',
    kinds: ['config-changed'],
    faultCount: 4,
    breakWorld: (world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.routes.applyUpdate = () => 'known';
        }
      }),
  },
  {
    name: 'control machines answer reads from local state',
    check: 'config',
    kinds: ['control-cut', 'config-changed'],
    faultCount: 16,
    breakWorld: answerFromMemory,
  },
  {
    name: 'balancers send flows of all routes to one service',
    check: 'route',
    kinds: ['backend-crashed'],
    faultCount: 1,
    breakWorld: (world) =>
      world.balancers.forEach(({ process }) => {
        if (process !== undefined) {
          process.state.routes.nextService = () => 'gamma';
        }
        world.addBackend('gamma');
      }),
  },
  {
    name: 'client packets are corrupted in transit',
    check: 'unasked',
    kinds: ['config-changed'],
    faultCount: 1,
    breakWorld: (world) => corruptPackets(world, CLIENT_HOSTS),
  },
  {
    name: 'back end packets are corrupted in transit',
    check: 'mixed',
    kinds: ['config-changed'],
    faultCount: 1,
    breakWorld: (world) => corruptPackets(world, BACKEND_HOSTS),
  },
  {
    name: 'disks do not sync',
    check: 'lost',
    kinds: ['config-changed'],
    faultCount: 1,
    endsWithLoss: true,
    breakWorld: (world) =>
      world.controls.forEach(({ disk }) => {
        disk.sync = () => undefined;
      }),
  },
  {
    name: 'killed balancers do not restart',
    check: 'recover',
    kinds: ['balancer-killed'],
    faultCount: 12,
    breakWorld: (world) =>
      world.balancers.forEach((balancer) => {
        balancer.start = () => undefined;
      }),
  },
];

function answerFromMemory(world: IngressWorld): void {
  for (const control of world.controls) {
    const call = control.call.bind(control);
    control.call = (request, answer) => {
      if (request.type !== 'read-config') {
        call(request, answer);
        return;
      }
      const document: ConfigDocument | undefined = control.process?.state.replicated.config;
      answer({ type: 'config', document });
    };
  }
}

function corruptPackets(world: IngressWorld, senderHosts: string): void {
  const { wires } = world;
  const send = wires.sendDatagram.bind(wires);
  wires.sendDatagram = (host, to, bytes) => {
    const packet = host.startsWith(senderHosts) ? decodePacket(bytes) : undefined;
    const isData = packet?.kind === 'data';
    send(host, to, isData ? encodePacket({ ...packet, requestId: packet.requestId + 1 }) : bytes);
  };
}

for (const { name, check, kinds, faultCount, endsWithLoss = false, breakWorld } of mutants) {
  t.test(`detected by ${check}: ${name}`, async (t) => {
    let isCaught = false;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + MAX_SEEDS && !isCaught; seed += 1) {
      const run = { seed, faultCount, kinds, endsWithLoss };
      const baseline = await runIngressWorld(run);
      t.same(baseline.violations, [], `seed ${seed} without the mutation`);
      const report = await runIngressWorld({ ...run, prepare: breakWorld });
      isCaught = report.violations.some((violation) => violation.check === check);
    }
    t.ok(isCaught);
  });
}
