/**
 * @file Callers, balancers and back ends of the placement bench in virtual time. The balancers run
 * the decision code of the daemon: they choose back ends, mint tokens and route by them.
 */
import {
  applyConfigUpdate,
  createBalancerState,
  defaultBalancerOptions,
  type BalancerState,
  type PendingOpen,
} from '../balancer/balancer-state.js';
import {
  chooseBackend,
  recordAttempt,
  recordAttemptEnd,
  recordProbe,
} from '../balancer/candidates.js';
import { routeEstablished } from '../balancer/forwarding.js';
import type { Address } from '../common/address.js';
import { seededRandom } from '../common/random.js';
import type { RandomSource, StepContext } from '../common/step.js';
import type { Backend, PlacementPolicyName, Service, TokenKey } from '../control/cluster-state.js';
import { encodeShortHeader } from '../flow/header.js';
import { mintToken, prepareTokenKey } from '../flow/token.js';
import { PlacementBackend, type PlacementBackendShape } from './placement-backend.js';
import { VirtualAgenda } from './virtual-agenda.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const KEY: TokenKey = { id: 1, secret: new Uint8Array(16).fill(7), state: 'current' };
const PREPARED_KEY = prepareTokenKey(KEY.secret);
const SERVICE_ADDRESS: Address = { host: '10.1.0.1', port: 5000 };
const CLIENT: Address = { host: '10.9.0.1', port: 5000 };
const FLOW_ID_BYTES = 8;
const MAX_UINT32 = 0xffff_ffff;
const EMPTY_BODY = new Uint8Array(0);
const OPEN_ROUND_TRIP_MS = 2;
const LOAD_SAMPLE_MS = 50;
const SECOND_MS = 1_000;

/** What one run is about. */
export interface PlacementScenario {
  readonly policy: PlacementPolicyName;
  readonly seed: number;
  readonly balancers: number;
  readonly backends: number;
  readonly shape: PlacementBackendShape;
  readonly reportIntervalMs: number;
  /** New flows a second over all balancers, outside of the surge. */
  readonly opensPerSecond: number;
  /** By how much the opens rise in the surge. */
  readonly surgeFactor: number;
  readonly surgeStartMs: number;
  readonly endMs: number;
  /** Mean life of a flow; lives are exponential. */
  readonly flowLifeMs: number;
  /** Mean time between two requests of a flow. */
  readonly requestIntervalMs: number;
}

/** What came of the flows of one run. */
export interface PlacementCounts {
  opened: number;
  refused: number;
  brokenFlows: number;
}

interface Flow {
  readonly target: PlacementBackend;
  readonly packet: Uint8Array;
  open: boolean;
}

/** One run. */
export class PlacementWorld {
  readonly agenda = new VirtualAgenda();
  readonly backends: PlacementBackend[] = [];
  readonly counts: PlacementCounts = { opened: 0, refused: 0, brokenFlows: 0 };
  private readonly balancers: BalancerState[] = [];
  private readonly random: RandomSource;
  private readonly service: Service;
  private position = 0;
  private nextOpenAtMs = 0;
  private nextFlowNumber = 0;

  constructor(private readonly scenario: PlacementScenario) {
    this.random = seededRandom(scenario.seed);
    this.service = {
      id: 1,
      name: 'authd',
      owner: 'tarjeta',
      address: SERVICE_ADDRESS,
      policy: scenario.policy,
      limits: {},
      version: 1,
    };
    for (let number = 1; number <= scenario.backends; number += 1) {
      this.addBackend(number);
    }
    for (let number = 0; number < scenario.balancers; number += 1) {
      this.addBalancer(number);
    }
    this.configure();
    this.tellFleetSize();
    this.agenda.every(LOAD_SAMPLE_MS, () => this.backends.forEach((one) => one.recordLoad()));
    this.balancers.forEach((balancer) => this.startProbes(balancer));
    this.agenda.every(1, () => this.openFlows());
  }

  private addBackend(id: number): void {
    const address: Address = { host: '10.2.0.1', port: id };
    const backend: Backend = {
      id,
      serviceId: this.service.id,
      address,
      healthAddress: address,
      zone: ZONES[id % ZONES.length] ?? ZONES[0],
      adminState: 'active',
    };
    this.backends.push(
      new PlacementBackend(backend, id, this.scenario.shape, this.agenda, this.random),
    );
  }

  private addBalancer(number: number): void {
    const zone = ZONES[number % ZONES.length] ?? ZONES[0];
    const balancer = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: `balancer-${number}`,
      zone,
      controlAddresses: [],
      clusterKey: '',
    });
    // No control machine is a part of this world, so the lease never runs out.
    balancer.subscription.lease.expiresAtMs = Number.POSITIVE_INFINITY;
    this.balancers.push(balancer);
  }

  /** Sends the present configuration to all balancers. */
  private configure(): void {
    this.position += 1;
    const update = {
      type: 'snapshot',
      to: { term: 1, index: this.position },
      services: [this.service],
      backends: this.backends.map(({ backend }) => backend),
      keys: [KEY],
    } as const;
    this.balancers.forEach((balancer) => applyConfigUpdate(balancer, update));
  }

  /** Each balancer learns how many there are. */
  private tellFleetSize(): void {
    for (const { fleet, options } of this.balancers) {
      const local = this.balancers.filter((other) => other.options.zone === options.zone);
      fleet.balancerCount = this.balancers.length;
      fleet.localBalancerCount = local.length;
    }
  }

  /** Each balancer probes each back end, evenly over the interval. */
  private startProbes(balancer: BalancerState): void {
    for (const backend of this.backends) {
      this.probe(balancer, backend);
      const phaseMs = this.random.nextFloat() * this.scenario.reportIntervalMs;
      this.agenda.after(phaseMs, () =>
        this.agenda.every(this.scenario.reportIntervalMs, () => this.probe(balancer, backend)),
      );
    }
  }

  private probe(balancer: BalancerState, target: PlacementBackend): void {
    const { backend, incarnation } = target;
    const health = { backendId: backend.id, incarnation, state: 'ready' } as const;
    const result = { backendId: backend.id, health, load: target.reportedLoad() };
    recordProbe(balancer, result, this.context());
  }

  private context(): StepContext {
    return { nowMs: this.agenda.nowMs, random: this.random };
  }

  /** Opens come one by one with exponential gaps in each millisecond: a Poisson process. */
  private openFlows(): void {
    const { opensPerSecond, surgeFactor, surgeStartMs } = this.scenario;
    const surging = this.agenda.nowMs >= surgeStartMs;
    const meanGapMs = SECOND_MS / (surging ? opensPerSecond * surgeFactor : opensPerSecond);
    while (this.nextOpenAtMs <= this.agenda.nowMs) {
      this.openFlow();
      this.nextOpenAtMs += this.exponential(meanGapMs);
    }
  }

  private openFlow(): void {
    const flowId = Buffer.alloc(FLOW_ID_BYTES);
    flowId.writeUInt32BE(this.random.nextInt(MAX_UINT32), 0);
    flowId.writeUInt32BE(this.nextFlowNumber, FLOW_ID_BYTES / 2);
    this.nextFlowNumber += 1;
    this.attempt(this.anyBalancer(), {
      key: flowId.toString('hex'),
      flowId,
      client: CLIENT,
      service: this.service,
      replyTo: CLIENT,
      deadlineAtMs: Infinity,
      triedBackendIds: [],
      attemptEndsAtMs: Infinity,
    });
  }

  private attempt(balancer: BalancerState, open: PendingOpen): void {
    const view = chooseBackend(balancer, open, this.context());
    const target = this.backends.find(({ backend }) => backend.id === view?.backend.id);
    const exhausted = open.triedBackendIds.length >= balancer.options.maxOpenAttempts;
    if (view === undefined || target === undefined || exhausted) {
      this.counts.refused += 1;
      return;
    }
    open.triedBackendIds.push(view.backend.id);
    recordAttempt(balancer, view, this.context());
    this.agenda.after(OPEN_ROUND_TRIP_MS, () => {
      const accepted = target.open();
      const outcome = accepted ? 'accepted' : 'refused';
      recordAttemptEnd(balancer, view, outcome, target.incarnation, this.context());
      if (accepted) {
        this.startFlow(open.flowId, target);
      } else {
        this.attempt(balancer, open);
      }
    });
  }

  private startFlow(flowId: Uint8Array, target: PlacementBackend): void {
    this.counts.opened += 1;
    const { backend, incarnation } = target;
    const fields = { keyId: KEY.id, serviceId: this.service.id, backendId: backend.id };
    const token = mintToken({ ...fields, incarnation, flowId }, PREPARED_KEY);
    const flow: Flow = { target, packet: encodeShortHeader(token, EMPTY_BODY), open: true };
    this.agenda.after(this.exponential(this.scenario.flowLifeMs), () => this.endFlow(flow));
    this.request(flow);
  }

  private endFlow(flow: Flow): void {
    if (flow.open) {
      flow.open = false;
      flow.target.close();
    }
  }

  /** The flow's next packet, a request, comes to whichever balancer the fabric sprays it to. */
  private request(flow: Flow): void {
    if (!flow.open) {
      return;
    }
    const envelope = { client: CLIENT, service: SERVICE_ADDRESS, packet: flow.packet };
    const routed = routeEstablished(this.anyBalancer(), envelope, this.agenda.nowMs);
    if (routed.isErr() || routed.value.port !== flow.target.backend.address.port) {
      this.counts.brokenFlows += 1;
      this.endFlow(flow);
      return;
    }
    flow.target.request();
    this.agenda.after(this.exponential(this.scenario.requestIntervalMs), () => this.request(flow));
  }

  private anyBalancer(): BalancerState {
    const balancer = this.balancers[this.random.nextInt(this.balancers.length)];
    if (balancer === undefined) {
      throw new RangeError('A placement world has at least one balancer.');
    }
    return balancer;
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random.nextFloat()) * mean;
  }
}
