/**
 * @file `amberlift bench forward`: compares a balancer process with bare `dgram` relay processes on
 * loopback.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { median, rejectUnknownSettings, type Bench, type BenchTable } from './bench.js';
import { startBenchControl, type BenchControl } from './bench-forward-control.js';
import type {
  CountResult,
  MemoryResult,
  NewFlowFigures,
  OpenResult,
  PeerRole,
  SendResult,
} from './bench-forward-messages.js';
import { processorTimeMs, residentBytes, startPeer, type Peer } from './bench-forward-process.js';
import { startProcess, type AmberliftProcess } from '../processes/child-process.js';

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const SENDER_COUNT = 2;
const FLOWS_PER_SENDER = 10_000;
const FEW_BACKENDS = 10;
const MANY_BACKENDS = 12_000;
/** Sending time before the measurement in each round. */
const WARM_UP_MS = 300;
const COOL_DOWN_MS = 100;
/** Longer than the benchmark, so that each back end is probed only once. */
const PROBE_INTERVAL_MS = 3_600_000;
const MIN_RATIO_TO_RELAY = 0.85;
const MAX_FEW_OVER_MANY = 1.1;
/** Allows for noise in the heap size after garbage collection. */
const MAX_BYTES_PER_FLOW = 1;
const LOG_LEVEL = 'warn';

/** Options of the forwarding benchmark. */
export interface ForwardBenchOptions {
  readonly rounds: number;
  readonly roundMs: number;
  readonly opensPerSecond: number;
  readonly establishedFlows: number;
}

const defaultForwardBenchOptions: ForwardBenchOptions = {
  rounds: 5,
  roundMs: 1_000,
  opensPerSecond: 10_000,
  establishedFlows: 300_000,
};

/** Throughput and cost of one forwarder, as medians over the rounds. */
export interface ForwarderFigures {
  readonly packetsPerSecond: number;
  /** Processor time of the forwarder per packet. */
  readonly processorMicrosecondsPerPacket: number;
}

/** Figures of the forwarding benchmark. */
export interface ForwardBenchReport {
  readonly options: ForwardBenchOptions;
  /** Ratio of datagrams sent to datagrams received through the relay; above 1 if it is saturated. */
  readonly offeredOverRelayed: number;
  /** Relay that passes the destination with each `send`. */
  readonly relay: ForwarderFigures;
  /** Relay over a connected socket, the cheapest way to send with `node:dgram`. */
  readonly connectedRelay: ForwarderFigures;
  readonly fewBackends: ForwarderFigures;
  readonly manyBackends: ForwarderFigures;
  readonly backendCounts: readonly number[];
  /** Packet rate with few back ends relative to the relay; target: `MIN_RATIO_TO_RELAY`. */
  readonly ratioToRelay: number;
  readonly ratioToConnectedRelay: number;
  /** Packet rate with few back ends relative to many back ends; limit: `MAX_FEW_OVER_MANY`. */
  readonly fewOverManyBackends: number;
  readonly memory: MemoryResult & {
    /** Growth of the balancer's resident memory while it forwards these flows. */
    readonly residentGrowthBytes: number;
  };
  /** Target: all opens offered are accepted. */
  readonly newFlows: readonly NewFlowFigures[];
}

/** Process under test. */
interface Forwarder {
  readonly name: 'relay' | 'connectedRelay' | 'fewBackends' | 'manyBackends';
  readonly pid: number;
  readonly address: Address;
}

interface Round extends ForwarderFigures {
  readonly offeredOverReceived: number;
}

/** Measures packet rate, memory per flow and open rate of a balancer. */
export const forwardBench: Bench = {
  name: 'forward',
  summary: 'packet and new-flow rates of one balancer compared with a bare relay',
  run: async (options) => {
    rejectUnknownSettings(options, []);
    const rounds = options.rounds ?? defaultForwardBenchOptions.rounds;
    const report = await measure({ ...defaultForwardBenchOptions, rounds }, (message) =>
      options.progress(message),
    );
    return { figures: report, table: tableOf(report), missed: missedTargets(report) };
  },
};

/**
 * Runs the benchmark and stops its processes at the end.
 * @param progress called with one short sentence per step
 */
async function measure(
  options: ForwardBenchOptions,
  progress: (message: string) => void,
): Promise<ForwardBenchReport> {
  const cleanups: (() => Promise<unknown>)[] = [];
  try {
    const benchRun = new ForwardBenchRun(options, cleanups, progress);
    return await benchRun.measure();
  } finally {
    await Promise.all(cleanups.map((stop) => stop()));
  }
}

class ForwardBenchRun {
  constructor(
    private readonly options: ForwardBenchOptions,
    private readonly cleanups: (() => Promise<unknown>)[],
    private readonly progress: (message: string) => void,
  ) {}

  async measure(): Promise<ForwardBenchReport> {
    const memory = await this.measureMemory();
    const sink = await this.startPeer({ type: 'sink' });
    const forwarders = await this.startForwarders(sink.port);
    const rounds = await this.measureRounds(forwarders, sink);
    const residentGrowthBytes = await this.measureResidentGrowth(forwarders);
    const newFlows = [
      await this.measureNewFlows(FEW_BACKENDS),
      await this.measureNewFlows(MANY_BACKENDS),
    ];
    const figures = summarize(rounds);
    const packetRate = (name: Forwarder['name']): number => figures[name].packetsPerSecond;
    return {
      options: this.options,
      ...figures,
      offeredOverRelayed: median(rounds.relay.map((round) => round.offeredOverReceived)),
      backendCounts: [FEW_BACKENDS, MANY_BACKENDS],
      ratioToRelay: packetRate('fewBackends') / packetRate('relay'),
      ratioToConnectedRelay: packetRate('fewBackends') / packetRate('connectedRelay'),
      fewOverManyBackends: packetRate('fewBackends') / packetRate('manyBackends'),
      memory: { ...memory, residentGrowthBytes },
      newFlows,
    };
  }

  private async measureMemory(): Promise<MemoryResult> {
    this.progress('Measuring memory per established flow.');
    const peer = await this.startPeer({ type: 'memory' });
    const flowCount = this.options.establishedFlows;
    return peer.request<MemoryResult>({ type: 'measure-memory', flowCount });
  }

  private async startForwarders(sinkPort: number): Promise<Forwarder[]> {
    const to = { host: '127.0.0.1', port: sinkPort };
    const relay = await this.startPeer({ type: 'relay', to, resolvesHost: true });
    const connected = await this.startPeer({ type: 'relay', to, resolvesHost: false });
    const few = await this.startBalancer(FEW_BACKENDS, sinkPort);
    const many = await this.startBalancer(MANY_BACKENDS, sinkPort);
    return [
      { name: 'relay', pid: relay.pid, address: { host: '127.0.0.1', port: relay.port } },
      { name: 'connectedRelay', pid: connected.pid, address: { ...to, port: connected.port } },
      { name: 'fewBackends', pid: few.pid, address: few.announcement.frontAddress as Address },
      { name: 'manyBackends', pid: many.pid, address: many.announcement.frontAddress as Address },
    ];
  }

  /** Alternates between forwarders so that other load on the machine affects all of them alike. */
  private async measureRounds(
    forwarders: readonly Forwarder[],
    sink: Peer,
  ): Promise<Record<Forwarder['name'], Round[]>> {
    const rounds: Record<Forwarder['name'], Round[]> = {
      relay: [],
      connectedRelay: [],
      fewBackends: [],
      manyBackends: [],
    };
    const fewSenders = await this.startSenders(FLOWS_PER_SENDER, FEW_BACKENDS);
    const manySenders = await this.startSenders(FLOWS_PER_SENDER, MANY_BACKENDS);
    const warmUpRounds = 1;
    for (let number = 0; number < this.options.rounds + warmUpRounds; number += 1) {
      this.progress(`Measuring packet rate, round ${number} of ${this.options.rounds}.`);
      for (const forwarder of forwarders) {
        const senders = forwarder.name === 'manyBackends' ? manySenders : fewSenders;
        const round = await this.measureRound(forwarder, sink, senders);
        if (number >= warmUpRounds) {
          rounds[forwarder.name].push(round);
        }
      }
    }
    return rounds;
  }

  private async measureRound(
    forwarder: Forwarder,
    sink: Peer,
    senders: readonly Peer[],
  ): Promise<Round> {
    const durationMs = WARM_UP_MS + this.options.roundMs + COOL_DOWN_MS;
    const sending = Promise.all(
      senders.map((sender) =>
        sender.request<SendResult>({ type: 'send', to: forwarder.address, durationMs }),
      ),
    );
    await pause(WARM_UP_MS);
    const first = await sink.request<CountResult>({ type: 'count' });
    const firstProcessorMs = processorTimeMs(forwarder.pid);
    await pause(this.options.roundMs);
    const last = await sink.request<CountResult>({ type: 'count' });
    const processorMs = processorTimeMs(forwarder.pid) - firstProcessorMs;
    const results = await sending;
    const received = last.received - first.received;
    const elapsedMs = last.atMs - first.atMs;
    const offeredPerMs = results.reduce((sum, { sent }) => sum + sent, 0) / durationMs;
    return {
      packetsPerSecond: (received * MS_PER_SECOND) / elapsedMs,
      processorMicrosecondsPerPacket: (processorMs * MICROSECONDS_PER_MS) / received,
      offeredOverReceived: (offeredPerMs * elapsedMs) / received,
    };
  }

  private async measureResidentGrowth(forwarders: readonly Forwarder[]): Promise<number> {
    this.progress('Measuring resident memory of the balancer process.');
    const balancer = forwarders.find(({ name }) => name === 'fewBackends');
    if (balancer === undefined) {
      throw new Error('The forwarders do not include a balancer with few back ends.');
    }
    const { establishedFlows, roundMs, rounds } = this.options;
    const sender = await this.startPeer({
      type: 'sender',
      flowCount: establishedFlows,
      backendCount: FEW_BACKENDS,
    });
    const initialBytes = residentBytes(balancer.pid);
    await sender.request<SendResult>({
      type: 'send',
      to: balancer.address,
      durationMs: roundMs * rounds,
    });
    return residentBytes(balancer.pid) - initialBytes;
  }

  private async measureNewFlows(backendCount: number): Promise<NewFlowFigures> {
    this.progress(`Measuring new-flow rate with ${backendCount} back ends.`);
    const backend = await this.startPeer({ type: 'backend' });
    const balancer = await this.startBalancer(backendCount, backend.port);
    const opener = await this.startPeer({ type: 'opener' });
    const request = {
      type: 'open',
      to: balancer.announcement.frontAddress as Address,
      opensPerSecond: this.options.opensPerSecond,
    } as const;
    await opener.request<OpenResult>({ ...request, durationMs: this.options.roundMs });
    const durationMs = this.options.roundMs * this.options.rounds;
    const firstProcessorMs = processorTimeMs(balancer.pid);
    const result = await opener.request<OpenResult>({ ...request, durationMs });
    const processorMs = processorTimeMs(balancer.pid) - firstProcessorMs;
    const processorMicrosecondsPerOpen = (processorMs * MICROSECONDS_PER_MS) / result.offered;
    return { backendCount, processorMicrosecondsPerOpen, ...result };
  }

  private async startSenders(flowCount: number, backendCount: number): Promise<Peer[]> {
    const role: PeerRole = { type: 'sender', flowCount, backendCount };
    return Promise.all(Array.from({ length: SENDER_COUNT }, () => this.startPeer(role)));
  }

  private async startPeer(role: PeerRole): Promise<Peer> {
    const peer = await startPeer(role);
    this.cleanups.push(() => peer.stop());
    return peer;
  }

  /** Starts a balancer process and waits until its configuration is in force and it is idle. */
  private async startBalancer(
    backendCount: number,
    backendPort: number,
  ): Promise<AmberliftProcess> {
    const control = await startBenchControl(backendCount, backendPort);
    this.cleanups.push(() => control.close());
    const balancer = await startProcess('balancer', balancerArgs(control));
    this.cleanups.push(async () => {
      balancer.signal('SIGKILL');
      await balancer.exited;
    });
    await control.settle(balancer.pid);
    return balancer;
  }
}

function balancerArgs(control: BenchControl): string[] {
  const settings = {
    nodeId: 'bench-balancer',
    clusterKey: 'bench-cluster-key',
    logLevel: LOG_LEVEL,
    'balancer.controlAddresses': JSON.stringify([formatAddress(control.linkAddress)]),
    'balancer.probeIntervalMs': String(PROBE_INTERVAL_MS),
  };
  return [
    'balancer',
    ...Object.entries(settings).flatMap(([path, value]) => ['--set', `${path}=${value}`]),
  ];
}

function summarize(
  rounds: Record<Forwarder['name'], Round[]>,
): Record<Forwarder['name'], ForwarderFigures> {
  const figures = (list: readonly Round[]): ForwarderFigures => ({
    packetsPerSecond: median(list.map((round) => round.packetsPerSecond)),
    processorMicrosecondsPerPacket: median(
      list.map((round) => round.processorMicrosecondsPerPacket),
    ),
  });
  return {
    relay: figures(rounds.relay),
    connectedRelay: figures(rounds.connectedRelay),
    fewBackends: figures(rounds.fewBackends),
    manyBackends: figures(rounds.manyBackends),
  };
}

function tableOf(report: ForwardBenchReport): BenchTable {
  const { relay, connectedRelay, fewBackends, manyBackends, memory, newFlows } = report;
  const rateRow = (name: string, { packetsPerSecond }: ForwarderFigures): [string, number] => [
    `${name}, packets/s`,
    Math.round(packetsPerSecond),
  ];
  return {
    head: ['figure', 'value'],
    rows: [
      rateRow('bare relay', relay),
      rateRow('bare relay, connected', connectedRelay),
      rateRow('balancer, 10 back ends', fewBackends),
      rateRow('balancer, 12,000 back ends', manyBackends),
      ['ratioToRelay', report.ratioToRelay.toFixed(3)],
      ['fewOverManyBackends', report.fewOverManyBackends.toFixed(3)],
      ['bytes per established flow', memory.bytesPerFlow.toFixed(2)],
      ['bytes per flow of a flow table', memory.bytesPerFlowOfTable.toFixed(2)],
      ...newFlows.map(({ backendCount, acceptedPerSecond }): [string, number] => [
        `new flows/s, ${backendCount} back ends`,
        Math.round(acceptedPerSecond),
      ]),
    ],
  };
}

function missedTargets(report: ForwardBenchReport): string[] {
  const { ratioToRelay, fewOverManyBackends, memory, newFlows, options } = report;
  const targets: [boolean, string][] = [
    [ratioToRelay >= MIN_RATIO_TO_RELAY, `ratioToRelay at least ${MIN_RATIO_TO_RELAY}`],
    [fewOverManyBackends <= MAX_FEW_OVER_MANY, `fewOverManyBackends ${MAX_FEW_OVER_MANY}`],
    [memory.bytesPerFlow < MAX_BYTES_PER_FLOW, 'no memory per established flow'],
    ...newFlows.map(({ backendCount, accepted, offered }): [boolean, string] => [
      accepted === offered,
      `${options.opensPerSecond} new flows/s with ${backendCount} back ends, all accepted`,
    ]),
  ];
  return targets.filter(([isMet]) => !isMet).map(([, target]) => target);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
