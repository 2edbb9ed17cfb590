/** @file Each check of the oracle catches a deployment that is broken on purpose. */
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
const SEEDS_TRIED = 6;

const mutants: readonly IngressMutant[] = [
  {
    name: 'a balancer passes over departures',
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
    name: 'a balancer forgets opens and asks nobody',
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
    name: 'a balancer keeps its first configuration',
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
    name: 'a control machine answers reads from its own memory',
    check: 'config',
    kinds: ['control-cut', 'config-changed'],
    faultCount: 16,
    breakWorld: answerFromMemory,
  },
  {
    name: 'a balancer sends flows of every route to one service',
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
    name: 'packets of clients are changed on their way',
    check: 'unasked',
    kinds: ['config-changed'],
    faultCount: 1,
    breakWorld: (world) => alterPackets(world, CLIENT_HOSTS),
  },
  {
    name: 'packets of back ends are changed on their way',
    check: 'mixed',
    kinds: ['config-changed'],
    faultCount: 1,
    breakWorld: (world) => alterPackets(world, BACKEND_HOSTS),
  },
  {
    name: 'disks sync nothing',
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
    name: 'balancers that restart never come back',
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

function alterPackets(world: IngressWorld, senderHosts: string): void {
  const { wires } = world;
  const send = wires.sendDatagram.bind(wires);
  wires.sendDatagram = (host, to, bytes) => {
    const packet = host.startsWith(senderHosts) ? decodePacket(bytes) : undefined;
    const isData = packet?.kind === 'data';
    send(host, to, isData ? encodePacket({ ...packet, requestId: packet.requestId + 1 }) : bytes);
  };
}

for (const { name, check, kinds, faultCount, endsWithLoss = false, breakWorld } of mutants) {
  t.test(`caught by ${check}: ${name}`, async (t) => {
    let isCaught = false;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS_TRIED && !isCaught; seed += 1) {
      const run = { seed, faultCount, kinds, endsWithLoss };
      const whole = await runIngressWorld(run);
      t.same(whole.violations, [], `seed ${seed} unbroken`);
      const report = await runIngressWorld({ ...run, prepare: breakWorld });
      isCaught = report.violations.some((violation) => violation.check === check);
    }
    t.ok(isCaught);
  });
}
