/**
 * @file Simulates callers, balancers and back ends of the placement benchmark in virtual time. The
 * balancers run the daemon's code for choosing back ends, minting tokens and routing by token.
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
import { VirtualScheduler } from './virtual-scheduler.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const TOKEN_KEY: TokenKey = { id: 1, secret: new Uint8Array(16).fill(7), state: 'current' };
const PREPARED_TOKEN_KEY = prepareTokenKey(TOKEN_KEY.secret);
const SERVICE_ADDRESS: Address = { host: '10.1.0.1', port: 5000 };
const CLIENT_ADDRESS: Address = { host: '10.9.0.1', port: 5000 };
const FLOW_ID_BYTES = 8;
const MAX_UINT32 = 0xffff_ffff;
const EMPTY_BODY = new Uint8Array(0);
const OPEN_ROUND_TRIP_MS = 2;
/** Upper bound of the random delay of a configuration update to a balancer. */
const MAX_CONFIG_DELAY_MS = 2_000;
const RETRANSMIT_MS = 200;
const MAX_TRANSMISSIONS = 10;
const LOAD_SAMPLE_MS = 50;
const SECOND_MS = 1_000;

/** A membership change during a run. */
export interface PlacementChange {
  readonly atMs: number;
  readonly type: 'backend-joins' | 'backend-drains' | 'balancer-joins' | 'balancer-dies';
}

/** A back end with faulty load reports from the start of the surge. */
export interface MisreportingBackend {
  readonly backendId: number;
  readonly fault: ReportFault;
}

/**
 * A placement policy, or `exact`: a baseline that picks the back end with the lowest actual load at
 * that moment.
 */
export type PlacementName = PlacementPolicyName | 'exact';

/** Parameters of one run. */
export interface PlacementScenario {
  readonly policy: PlacementName;
  /**
   * Routing of established flows: by token as in the daemon, or by a flow table in each balancer,
   * with the policy as fallback for flows without an entry.
   */
  readonly packetPath: 'token' | 'flow-table';
  readonly seed: number;
  readonly balancers: number;
  readonly backends: number;
  readonly shape: PlacementBackendShape;
  readonly reportIntervalMs: number;
  /** New flows per second over all balancers before the surge. */
  readonly opensPerSecond: number;
  /** Factor on the open rate during the surge. */
  readonly surgeFactor: number;
  readonly surgeStartMs: number;
  readonly endMs: number;
  /** Mean of the exponentially distributed flow lifetime. */
  readonly flowLifeMs: number;
  /** Mean of the exponentially distributed time between requests of a flow. */
  readonly requestIntervalMs: number;
  /** One-way latency between zones. */
  readonly crossZoneMs: number;
  readonly changes: readonly PlacementChange[];
  readonly liars: readonly MisreportingBackend[];
}

/** Flow and packet counts of one run. */
export interface PlacementCounts {
  opened: number;
  refused: number;
  /** Packets that a balancer could not route; callers retransmit them. */
  droppedPackets: number;
  /** Flows with a packet that reached the wrong back end, or none after all retransmissions. */
  brokenFlows: number;
}

interface Flow {
  readonly target: PlacementBackend;
  readonly request: PendingOpen;
  /** Back end ID in each balancer's flow table. */
  readonly tableEntries: Map<BalancerState, number>;
  readonly packet: Uint8Array;
  open: boolean;
}

/** Simulation of one scenario. */
export class PlacementSimulation {
  readonly scheduler = new VirtualScheduler();
  readonly backends: PlacementBackend[] = [];
  readonly counts: PlacementCounts = { opened: 0, refused: 0, droppedPackets: 0, brokenFlows: 0 };
  private readonly balancers: BalancerState[] = [];
  private readonly random: RandomSource;
  private readonly service: Service;
  private configIndex = 0;
  private lastBalancerNumber = -1;
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
    this.publishConfig(0);
    this.scheduler.runUntil(1);
    this.balancers.forEach((balancer) => this.startProbingBackends(balancer));
    this.scheduler.every(LOAD_SAMPLE_MS, () => this.backends.forEach((one) => one.recordLoad()));
    this.scheduler.every(1, () => this.openFlows());
    this.scheduleChangesAndFaults();
  }

  /** @returns the initial back ends that are still active */
  steadyBackends(): PlacementBackend[] {
    return this.backends
      .slice(0, this.scenario.backends)
      .filter(({ backend }) => backend.adminState === 'active');
  }

  private scheduleChangesAndFaults(): void {
    const { changes, liars, surgeStartMs } = this.scenario;
    changes.forEach(({ atMs, type }) => this.scheduler.after(atMs, () => this.applyChange(type)));
    this.scheduler.after(surgeStartMs, () =>
      liars.forEach(({ backendId, fault }) =>
        this.backends[backendId - 1]?.injectReportFault(fault),
      ),
    );
  }

  private applyChange(type: PlacementChange['type']): void {
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
    this.publishConfig(MAX_CONFIG_DELAY_MS);
    this.balancers.forEach((balancer) => this.startProbing(balancer, joined));
  }

  private drainBackend(): void {
    const draining = this.backends.find(({ backend }) => backend.adminState === 'active');
    if (draining !== undefined) {
      draining.backend = { ...draining.backend, adminState: 'draining' };
      this.publishConfig(MAX_CONFIG_DELAY_MS);
    }
  }

  private joinBalancer(): void {
    const joined = this.addBalancer();
    applyConfigUpdate(joined, this.snapshot());
    this.startProbingBackends(joined);
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
    const added = new PlacementBackend(backend, id, shape, this.scheduler, this.random);
    this.backends.push(added);
    return added;
  }

  private addBalancer(): BalancerState {
    this.lastBalancerNumber += 1;
    const balancer = createBalancerState({
      ...defaultBalancerOptions,
      balancerId: `balancer-${this.lastBalancerNumber}`,
      zone: ZONES[this.lastBalancerNumber % ZONES.length] ?? ZONES[0],
      controlAddresses: [],
      clusterKey: '',
    });
    // The simulation has no control machines to renew the lease.
    balancer.subscription.lease.expiresAtMs = Number.POSITIVE_INFINITY;
    this.balancers.push(balancer);
    this.publishFleetSize();
    return balancer;
  }

  /** Sends the current configuration to each balancer with a random delay. */
  private publishConfig(maxDelayMs: number): void {
    this.configIndex += 1;
    const update = this.snapshot();
    for (const balancer of this.balancers) {
      const delayMs = this.random.nextFloat() * maxDelayMs;
      this.scheduler.after(delayMs, () => applyConfigUpdate(balancer, update));
    }
  }

  private snapshot(): ConfigSnapshot {
    return {
      type: 'snapshot',
      to: { term: 1, index: this.configIndex },
      services: [this.service],
      backends: this.backends.map(({ backend }) => backend),
      keys: [TOKEN_KEY],
    };
  }

  /** Sets the balancer counts on each balancer, which the daemon obtains by gossip. */
  private publishFleetSize(): void {
    for (const { fleet, options } of this.balancers) {
      const local = this.balancers.filter((other) => other.options.zone === options.zone);
      fleet.balancerCount = this.balancers.length;
      fleet.localBalancerCount = local.length;
    }
  }

  private startProbingBackends(balancer: BalancerState): void {
    this.backends.forEach((backend) => this.startProbing(balancer, backend));
  }

  /** Probes once, then periodically from a random offset that spreads probes over the interval. */
  private startProbing(balancer: BalancerState, backend: PlacementBackend): void {
    const { reportIntervalMs } = this.scenario;
    this.probe(balancer, backend);
    this.scheduler.after(this.random.nextFloat() * reportIntervalMs, () =>
      this.scheduler.every(reportIntervalMs, () => this.probe(balancer, backend)),
    );
  }

  private probe(balancer: BalancerState, target: PlacementBackend): void {
    const { backend, incarnation } = target;
    const health = { backendId: backend.id, incarnation, state: 'ready' } as const;
    const result = { backendId: backend.id, health, load: target.reportedLoad() };
    recordProbe(balancer, result, this.context());
  }

  private context(): StepContext {
    return { nowMs: this.scheduler.nowMs, random: this.random };
  }

  /** Opens the flows due by now; arrivals form a Poisson process. */
  private openFlows(): void {
    const { opensPerSecond, surgeFactor, surgeStartMs } = this.scenario;
    const surging = this.scheduler.nowMs >= surgeStartMs;
    const meanGapMs = SECOND_MS / (surging ? opensPerSecond * surgeFactor : opensPerSecond);
    while (this.nextOpenAtMs <= this.scheduler.nowMs) {
      this.openFlow();
      this.nextOpenAtMs += this.exponential(meanGapMs);
    }
  }

  private openFlow(): void {
    const flowId = Buffer.alloc(FLOW_ID_BYTES);
    flowId.writeUInt32BE(this.random.nextInt(MAX_UINT32), 0);
    flowId.writeUInt32BE(this.nextFlowNumber, FLOW_ID_BYTES / 2);
    this.nextFlowNumber += 1;
    this.attemptOpen(this.randomBalancer(), {
      key: flowId.toString('hex'),
      flowId,
      client: CLIENT_ADDRESS,
      service: this.service,
      replyTo: CLIENT_ADDRESS,
      receivedAtMs: this.scheduler.nowMs,
      deadlineAtMs: Infinity,
      triedBackendIds: [],
      attemptEndsAtMs: Infinity,
    });
  }

  private attemptOpen(balancer: BalancerState, open: PendingOpen): void {
    const view = this.chooseTarget(balancer, open);
    const target = this.backends.find(({ backend }) => backend.id === view?.backend.id);
    const exhausted = open.triedBackendIds.length >= balancer.options.maxOpenAttempts;
    if (view === undefined || target === undefined || exhausted) {
      this.counts.refused += 1;
      return;
    }
    open.triedBackendIds.push(view.backend.id);
    recordAttempt(balancer, view, this.context());
    this.scheduler.after(this.roundTripMs(balancer, target), () => {
      const accepted = target.open();
      const outcome = accepted ? 'accepted' : 'refused';
      recordAttemptEnd(balancer, view, outcome, target.incarnation, this.context());
      if (accepted) {
        this.startFlow(balancer, open, target);
      } else {
        this.attemptOpen(balancer, open);
      }
    });
  }

  private chooseTarget(balancer: BalancerState, open: PendingOpen): BackendView | undefined {
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
    const leastUtilized = others.reduce<PlacementBackend | undefined>(
      (best, one) =>
        best !== undefined && best.currentUtilization() <= one.currentUtilization() ? best : one,
      first,
    );
    return leastUtilized === undefined ? undefined : balancer.views.get(leastUtilized.backend.id);
  }

  private roundTripMs({ options }: BalancerState, { backend }: PlacementBackend): number {
    const crossings = options.zone === backend.zone ? 0 : 2;
    return OPEN_ROUND_TRIP_MS + crossings * this.scenario.crossZoneMs;
  }

  private startFlow(balancer: BalancerState, open: PendingOpen, target: PlacementBackend): void {
    this.counts.opened += 1;
    const { backend, incarnation } = target;
    const { flowId } = open;
    const fields = { keyId: TOKEN_KEY.id, serviceId: this.service.id, backendId: backend.id };
    const token = mintToken({ ...fields, incarnation, flowId }, PREPARED_TOKEN_KEY);
    const flow: Flow = {
      target,
      request: { ...open, triedBackendIds: [] },
      tableEntries: new Map([[balancer, backend.id]]),
      packet: encodeShortHeader(token, EMPTY_BODY),
      open: true,
    };
    this.scheduler.after(this.exponential(this.scenario.flowLifeMs), () => this.endFlow(flow));
    this.request(flow);
  }

  private endFlow(flow: Flow): void {
    if (flow.open) {
      flow.open = false;
      flow.target.close();
    }
  }

  /** Sends the flow's next request to a random balancer, as packet spraying does. */
  private request(flow: Flow, transmissions = 1): void {
    if (!flow.open) {
      return;
    }
    const routedBackendId = this.route(flow, this.randomBalancer());
    if (routedBackendId === undefined && transmissions < MAX_TRANSMISSIONS) {
      this.counts.droppedPackets += 1;
      this.scheduler.after(RETRANSMIT_MS, () => this.request(flow, transmissions + 1));
      return;
    }
    if (routedBackendId !== flow.target.backend.id) {
      this.counts.brokenFlows += 1;
      this.endFlow(flow);
      return;
    }
    flow.target.request();
    this.scheduler.after(this.exponential(this.scenario.requestIntervalMs), () =>
      this.request(flow),
    );
  }

  /** @returns ID of the back end that the balancer routes the flow's packet to */
  private route(flow: Flow, balancer: BalancerState): number | undefined {
    if (this.scenario.packetPath === 'flow-table') {
      return this.routeByTable(flow, balancer);
    }
    const envelope = { client: CLIENT_ADDRESS, service: SERVICE_ADDRESS, packet: flow.packet };
    const routed = routeEstablished(balancer, envelope, this.scheduler.nowMs);
    return routed.isOk() ? routed.value.port : undefined;
  }

  private routeByTable(flow: Flow, balancer: BalancerState): number | undefined {
    const entry = flow.tableEntries.get(balancer);
    if (entry !== undefined) {
      return entry;
    }
    const chosenBackendId = chooseBackend(balancer, flow.request, this.context())?.backend.id;
    if (chosenBackendId !== undefined) {
      flow.tableEntries.set(balancer, chosenBackendId);
    }
    return chosenBackendId;
  }

  private randomBalancer(): BalancerState {
    const balancer = this.balancers[this.random.nextInt(this.balancers.length)];
    if (balancer === undefined) {
      throw new RangeError('The simulation has no running balancer.');
    }
    return balancer;
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random.nextFloat()) * mean;
  }
}
