/**
 * @file Callers, balancers and back ends of the placement bench in virtual time. The balancers run
 * the decision code of the daemon: they choose back ends, mint tokens and route by them.
 */
import { match } from 'ts-pattern';
import { createBalancerState, type BalancerState } from '../../managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../managed/balancer/config-tables.js';
import type { PendingOpen } from '../../managed/balancer/pending-open.js';
import { defaultBalancerOptions } from '../../managed/balancer/balancer-options.js';
import {
  recordAttempt,
  recordAttemptEnd,
  recordProbe,
} from '../../managed/balancer/backend-evidence.js';
import { chooseBackend } from '../../managed/balancer/choose-backend.js';
import { routeEstablished } from '../../managed/balancer/forwarding.js';
import type { BackendView } from '../../managed/balancer/backend-view.js';
import type { Address } from '../../shared/common/address.js';
import { seededRandom } from '../../shared/common/random.js';
import type { RandomSource, StepContext } from '../../shared/common/step.js';
import type {
  Backend,
  PlacementPolicyName,
  Service,
  TokenKey,
} from '../../managed/control/routing-config.js';
import type { ConfigSnapshot } from '../../managed/control/config-delta.js';
import { encodeShortHeader } from '../../managed/flow/header.js';
import { mintToken, prepareTokenKey } from '../../managed/flow/token.js';
import {
  PlacementBackend,
  type PlacementBackendShape,
  type ReportFault,
} from './placement-backend.js';
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
/** The longest that a change of the configuration takes to a balancer. */
const MAX_CONFIG_DELAY_MS = 2_000;
/** After how long a caller sends a packet again, and how often it does so. */
const RETRANSMIT_MS = 200;
const MAX_SENDINGS = 10;
const LOAD_SAMPLE_MS = 50;
const SECOND_MS = 1_000;

/** A change in the course of a run. */
export interface PlacementChange {
  readonly atMs: number;
  readonly type: 'backend-joins' | 'backend-drains' | 'balancer-joins' | 'balancer-dies';
}

/** A back end whose load reports are wrong from the start of the surge. */
export interface ReportLiar {
  readonly backendId: number;
  readonly fault: ReportFault;
}

/**
 * How flows are placed: by one of the policies, or as a measure of what is possible at all, `exact`,
 * by what every back end carries in truth at that moment.
 */
export type PlacementName = PlacementPolicyName | 'exact';

/** What one run is about. */
export interface PlacementScenario {
  readonly policy: PlacementName;
  /**
   * How packets of established flows are routed: by tokens as in the daemon, or by a flow table in
   * each balancer and, for a flow that is not in it, by the policy.
   */
  readonly packetPath: 'token' | 'flow-table';
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
  /** One way between two zones. */
  readonly crossZoneMs: number;
  readonly changes: readonly PlacementChange[];
  readonly liars: readonly ReportLiar[];
}

/** What came of the flows of one run. */
export interface PlacementCounts {
  opened: number;
  refused: number;
  /** Packets that a balancer could not route; callers send them again. */
  droppedPackets: number;
  /** Flows with a packet that came to another back end, or to none however often it was sent. */
  brokenFlows: number;
}

interface Flow {
  readonly target: PlacementBackend;
  readonly request: PendingOpen;
  /** The back end that each balancer has in its flow table, where it has one. */
  readonly tableEntries: Map<BalancerState, number>;
  readonly packet: Uint8Array;
  open: boolean;
}

/** One run. */
export class PlacementWorld {
  readonly agenda = new VirtualAgenda();
  readonly backends: PlacementBackend[] = [];
  readonly counts: PlacementCounts = { opened: 0, refused: 0, droppedPackets: 0, brokenFlows: 0 };
  private readonly balancers: BalancerState[] = [];
  private readonly random: RandomSource;
  private readonly service: Service;
  private position = 0;
  private balancerNumber = -1;
  private nextOpenAtMs = 0;
  private nextFlowNumber = 0;

  constructor(private readonly scenario: PlacementScenario) {
    this.random = seededRandom(scenario.seed);
    this.service = {
      id: 1,
      name: 'authd',
      owner: 'tarjeta',
      address: SERVICE_ADDRESS,
      policy: scenario.policy === 'exact' ? 'random' : scenario.policy,
      limits: {},
      version: 1,
    };
    for (let count = 0; count < scenario.backends; count += 1) {
      this.addBackend();
    }
    for (let count = 0; count < scenario.balancers; count += 1) {
      this.addBalancer();
    }
    this.configure(0);
    this.agenda.runUntil(1);
    this.balancers.forEach((balancer) => this.startProbes(balancer));
    this.agenda.every(LOAD_SAMPLE_MS, () => this.backends.forEach((one) => one.recordLoad()));
    this.agenda.every(1, () => this.openFlows());
    this.planFaults();
  }

  /** @returns the back ends that take flows from the beginning of the run to the present */
  steadyBackends(): PlacementBackend[] {
    return this.backends
      .slice(0, this.scenario.backends)
      .filter(({ backend }) => backend.adminState === 'active');
  }

  private planFaults(): void {
    const { changes, liars, surgeStartMs } = this.scenario;
    changes.forEach(({ atMs, type }) => this.agenda.after(atMs, () => this.change(type)));
    this.agenda.after(surgeStartMs, () =>
      liars.forEach(({ backendId, fault }) => this.backends[backendId - 1]?.misreport(fault)),
    );
  }

  private change(type: PlacementChange['type']): void {
    match(type)
      .with('backend-joins', () => this.joinBackend())
      .with('backend-drains', () => this.drainBackend())
      .with('balancer-joins', () => this.joinBalancer())
      .with('balancer-dies', () => {
        this.balancers.shift();
        this.publishFleetSize();
      })
      .exhaustive();
  }

  private joinBackend(): void {
    const joined = this.addBackend();
    this.configure(MAX_CONFIG_DELAY_MS);
    this.balancers.forEach((balancer) => this.startProbing(balancer, joined));
  }

  private drainBackend(): void {
    const draining = this.backends.find(({ backend }) => backend.adminState === 'active');
    if (draining !== undefined) {
      draining.backend = { ...draining.backend, adminState: 'draining' };
      this.configure(MAX_CONFIG_DELAY_MS);
    }
  }

  private joinBalancer(): void {
    const joined = this.addBalancer();
    applyConfigUpdate(joined, this.snapshot());
    this.startProbes(joined);
    this.publishFleetSize();
  }

  private addBackend(): PlacementBackend {
    const id = this.backends.length + 1;
    const address: Address = { host: '10.2.0.1', port: id };
    const backend: Backend = {
      id,
      serviceId: this.service.id,
      address,
      healthAddress: address,
      zone: ZONES[id % ZONES.length] ?? ZONES[0],
      adminState: 'active',
    };
    const { shape } = this.scenario;
    const added = new PlacementBackend(backend, id, shape, this.agenda, this.random);
    this.backends.push(added);
    return added;
  }

  private addBalancer(): BalancerState {
    this.balancerNumber += 1;
    const balancer = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: `balancer-${this.balancerNumber}`,
      zone: ZONES[this.balancerNumber % ZONES.length] ?? ZONES[0],
      controlAddresses: [],
      clusterKey: '',
    });
    // No control machine is a part of this world, so the lease never runs out.
    balancer.subscription.lease.expiresAtMs = Number.POSITIVE_INFINITY;
    this.balancers.push(balancer);
    this.publishFleetSize();
    return balancer;
  }

  /** Sends the present configuration; it reaches each balancer within the delay. */
  private configure(maxDelayMs: number): void {
    this.position += 1;
    const update = this.snapshot();
    for (const balancer of this.balancers) {
      const delayMs = this.random.nextFloat() * maxDelayMs;
      this.agenda.after(delayMs, () => applyConfigUpdate(balancer, update));
    }
  }

  private snapshot(): ConfigSnapshot {
    return {
      type: 'snapshot',
      to: { term: 1, index: this.position },
      services: [this.service],
      backends: this.backends.map(({ backend }) => backend),
      keys: [KEY],
    };
  }

  /** Sets the number of balancers at each; in the daemon it comes from gossip. */
  private publishFleetSize(): void {
    for (const { fleet, options } of this.balancers) {
      const local = this.balancers.filter((other) => other.options.zone === options.zone);
      fleet.balancerCount = this.balancers.length;
      fleet.localBalancerCount = local.length;
    }
  }

  private startProbes(balancer: BalancerState): void {
    this.backends.forEach((backend) => this.startProbing(balancer, backend));
  }

  /** Probes begin at a random time, so that they are spread over the interval. */
  private startProbing(balancer: BalancerState, backend: PlacementBackend): void {
    const { reportIntervalMs } = this.scenario;
    this.probe(balancer, backend);
    this.agenda.after(this.random.nextFloat() * reportIntervalMs, () =>
      this.agenda.every(reportIntervalMs, () => this.probe(balancer, backend)),
    );
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
      receivedAtMs: this.agenda.nowMs,
      deadlineAtMs: Infinity,
      triedBackendIds: [],
      attemptEndsAtMs: Infinity,
    });
  }

  private attempt(balancer: BalancerState, open: PendingOpen): void {
    const view = this.choose(balancer, open);
    const target = this.backends.find(({ backend }) => backend.id === view?.backend.id);
    const exhausted = open.triedBackendIds.length >= balancer.options.maxOpenAttempts;
    if (view === undefined || target === undefined || exhausted) {
      this.counts.refused += 1;
      return;
    }
    open.triedBackendIds.push(view.backend.id);
    recordAttempt(balancer, view, this.context());
    this.agenda.after(this.roundTripMs(balancer, target), () => {
      const accepted = target.open();
      const outcome = accepted ? 'accepted' : 'refused';
      recordAttemptEnd(balancer, view, outcome, target.incarnation, this.context());
      if (accepted) {
        this.startFlow(balancer, open, target);
      } else {
        this.attempt(balancer, open);
      }
    });
  }

  private choose(balancer: BalancerState, open: PendingOpen): BackendView | undefined {
    if (this.scenario.policy !== 'exact') {
      return chooseBackend(balancer, open, this.context());
    }
    const untried = this.backends.filter(
      ({ backend }) =>
        backend.adminState === 'active' &&
        balancer.views.has(backend.id) &&
        !open.triedBackendIds.includes(backend.id),
    );
    const [first, ...others] = untried;
    const least = others.reduce<PlacementBackend | undefined>(
      (best, one) => (best !== undefined && best.trueUse() <= one.trueUse() ? best : one),
      first,
    );
    return least === undefined ? undefined : balancer.views.get(least.backend.id);
  }

  private roundTripMs({ options }: BalancerState, { backend }: PlacementBackend): number {
    const crossings = options.zone === backend.zone ? 0 : 2;
    return OPEN_ROUND_TRIP_MS + crossings * this.scenario.crossZoneMs;
  }

  private startFlow(balancer: BalancerState, open: PendingOpen, target: PlacementBackend): void {
    this.counts.opened += 1;
    const { backend, incarnation } = target;
    const { flowId } = open;
    const fields = { keyId: KEY.id, serviceId: this.service.id, backendId: backend.id };
    const token = mintToken({ ...fields, incarnation, flowId }, PREPARED_KEY);
    const flow: Flow = {
      target,
      request: { ...open, triedBackendIds: [] },
      tableEntries: new Map([[balancer, backend.id]]),
      packet: encodeShortHeader(token, EMPTY_BODY),
      open: true,
    };
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
  private request(flow: Flow, sendings = 1): void {
    if (!flow.open) {
      return;
    }
    const reached = this.route(flow, this.anyBalancer());
    if (reached === undefined && sendings < MAX_SENDINGS) {
      this.counts.droppedPackets += 1;
      this.agenda.after(RETRANSMIT_MS, () => this.request(flow, sendings + 1));
      return;
    }
    if (reached !== flow.target.backend.id) {
      this.counts.brokenFlows += 1;
      this.endFlow(flow);
      return;
    }
    flow.target.request();
    this.agenda.after(this.exponential(this.scenario.requestIntervalMs), () => this.request(flow));
  }

  /** @returns the ID of the back end that the balancer sends the flow's packet to */
  private route(flow: Flow, balancer: BalancerState): number | undefined {
    if (this.scenario.packetPath === 'flow-table') {
      return this.routeByTable(flow, balancer);
    }
    const envelope = { client: CLIENT, service: SERVICE_ADDRESS, packet: flow.packet };
    const routed = routeEstablished(balancer, envelope, this.agenda.nowMs);
    return routed.isOk() ? routed.value.port : undefined;
  }

  private routeByTable(flow: Flow, balancer: BalancerState): number | undefined {
    const known = flow.tableEntries.get(balancer);
    if (known !== undefined) {
      return known;
    }
    const chosen = chooseBackend(balancer, flow.request, this.context())?.backend.id;
    if (chosen !== undefined) {
      flow.tableEntries.set(balancer, chosen);
    }
    return chosen;
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
