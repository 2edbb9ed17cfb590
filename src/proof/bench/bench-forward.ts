/**
 * @file The forwarding bench: one real balancer process against bare `dgram` relay processes on
 * loopback, round by round in one run, and medians of the rounds.
 */
import { formatAddress, type Address } from '../../shared/common/address.js';
import { median, refuseUnknownSettings, type Bench, type BenchTable } from './bench.js';
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
/** Part of a round before the count begins, in milliseconds. */
const LEAD_IN_MS = 300;
const LEAD_OUT_MS = 100;
/** Long enough that no second probe of a back end comes while the bench runs. */
const PROBE_INTERVAL_MS = 3_600_000;
const MIN_RATIO_TO_RELAY = 0.85;
const MAX_FEW_OVER_MANY = 1.1;
/** What collections leave behind at random, over 300,000 flows, lies below this. */
const MAX_BYTES_PER_FLOW = 1;
const LOG_LEVEL = 'warn';

/** Options of the bench; times in milliseconds. */
export interface ForwardBenchOptions {
  readonly rounds: number;
  readonly roundMs: number;
  readonly opensPerSecond: number;
  readonly establishedFlows: number;
}

/** Options that apply where none are given. */
const defaultForwardBenchOptions: ForwardBenchOptions = {
  rounds: 5,
  roundMs: 1_000,
  opensPerSecond: 10_000,
  establishedFlows: 300_000,
};

/** What one forwarder did, as medians over the rounds. */
export interface ForwarderFigures {
  readonly packetsPerSecond: number;
  /** Processor time of the forwarder for one packet, in microseconds. */
  readonly processorMicrosecondsPerPacket: number;
}

/** The figures of the bench. */
export interface ForwardBenchReport {
  readonly options: ForwardBenchOptions;
  /** Datagrams sent over datagrams received by the relay's sink; above 1 where it was saturated. */
  readonly offeredOverRelayed: number;
  /** A relay that calls `send(datagram, port, host)`, as most do. */
  readonly relay: ForwarderFigures;
  /** A relay over a connected socket: the least that `node:dgram` can do for a packet. */
  readonly connectedRelay: ForwarderFigures;
  readonly fewBackends: ForwarderFigures;
  readonly manyBackends: ForwarderFigures;
  readonly backendCounts: readonly number[];
  /** Packets a second with few back ends over the relay's; to reach: 0.85. */
  readonly ratioToRelay: number;
  readonly ratioToConnectedRelay: number;
  /** Packets a second with few back ends over those with many; to reach: at most 1.10. */
  readonly fewOverManyBackends: number;
  readonly memory: MemoryResult & {
    /** Growth of the balancer process's resident memory while those flows passed, in bytes. */
    readonly residentGrowthBytes: number;
  };
  /** To reach: 10,000 a second, none refused by the balancer itself. */
  readonly newFlows: readonly NewFlowFigures[];
}

/** A process under test. */
interface Forwarder {
  readonly name: 'relay' | 'connectedRelay' | 'fewBackends' | 'manyBackends';
  readonly pid: number;
  readonly address: Address;
}

interface Round extends ForwarderFigures {
  readonly offeredOverReceived: number;
}

/** `amberlift bench forward`. */
export const forwardBench: Bench = {
  name: 'forward',
  summary: 'packets and new flows a second of one balancer against a bare relay',
  run: async (given) => {
    refuseUnknownSettings(given, []);
    const rounds = given.rounds ?? defaultForwardBenchOptions.rounds;
    const report = await measure({ ...defaultForwardBenchOptions, rounds }, (message) =>
      given.progress(message),
    );
    return { figures: report, table: tableOf(report), missed: missedTargets(report) };
  },
};

/**
 * Runs the bench.
 * @param progress called with one short sentence as the bench goes on
 */
async function measure(
  options: ForwardBenchOptions,
  progress: (message: string) => void,
): Promise<ForwardBenchReport> {
  const stops: (() => Promise<unknown>)[] = [];
  try {
    const lab = new Lab(options, stops, progress);
    return await lab.measure();
  } finally {
    await Promise.all(stops.map((stop) => stop()));
  }
}

class Lab {
  constructor(
    private readonly options: ForwardBenchOptions,
    private readonly stops: (() => Promise<unknown>)[],
    private readonly progress: (message: string) => void,
  ) {}

  async measure(): Promise<ForwardBenchReport> {
    const memory = await this.measureMemory();
    const sink = await this.peer({ type: 'sink' });
    const forwarders = await this.startForwarders(sink.port);
    const rounds = await this.measureRounds(forwarders, sink);
    const residentGrowthBytes = await this.measureResidentGrowth(forwarders);
    const newFlows = [
      await this.measureNewFlows(FEW_BACKENDS),
      await this.measureNewFlows(MANY_BACKENDS),
    ];
    const figures = summarize(rounds);
    const rate = (name: Forwarder['name']): number => figures[name].packetsPerSecond;
    return {
      options: this.options,
      ...figures,
      offeredOverRelayed: median(rounds.relay.map((round) => round.offeredOverReceived)),
      backendCounts: [FEW_BACKENDS, MANY_BACKENDS],
      ratioToRelay: rate('fewBackends') / rate('relay'),
      ratioToConnectedRelay: rate('fewBackends') / rate('connectedRelay'),
      fewOverManyBackends: rate('fewBackends') / rate('manyBackends'),
      memory: { ...memory, residentGrowthBytes },
      newFlows,
    };
  }

  private async measureMemory(): Promise<MemoryResult> {
    this.progress('Memory per established flow.');
    const peer = await this.peer({ type: 'memory' });
    const flowCount = this.options.establishedFlows;
    return peer.ask<MemoryResult>({ type: 'measure-memory', flowCount });
  }

  private async startForwarders(sinkPort: number): Promise<Forwarder[]> {
    const to = { host: '127.0.0.1', port: sinkPort };
    const relay = await this.peer({ type: 'relay', to, resolvesHost: true });
    const connected = await this.peer({ type: 'relay', to, resolvesHost: false });
    const few = await this.balancer(FEW_BACKENDS, sinkPort);
    const many = await this.balancer(MANY_BACKENDS, sinkPort);
    return [
      { name: 'relay', pid: relay.pid, address: { host: '127.0.0.1', port: relay.port } },
      { name: 'connectedRelay', pid: connected.pid, address: { ...to, port: connected.port } },
      { name: 'fewBackends', pid: few.pid, address: few.announcement.frontAddress as Address },
      { name: 'manyBackends', pid: many.pid, address: many.announcement.frontAddress as Address },
    ];
  }

  /** Rounds take turns, so that whatever else the machine does falls on all alike. */
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
    const fewSenders = await this.senders(FLOWS_PER_SENDER, FEW_BACKENDS);
    const manySenders = await this.senders(FLOWS_PER_SENDER, MANY_BACKENDS);
    const warmUpRounds = 1;
    for (let number = 0; number < this.options.rounds + warmUpRounds; number += 1) {
      this.progress(`Packets a second, round ${number} of ${this.options.rounds}.`);
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
    const durationMs = LEAD_IN_MS + this.options.roundMs + LEAD_OUT_MS;
    const sending = Promise.all(
      senders.map((sender) =>
        sender.ask<SendResult>({ type: 'send', to: forwarder.address, durationMs }),
      ),
    );
    await pause(LEAD_IN_MS);
    const first = await sink.ask<CountResult>({ type: 'count' });
    const firstProcessorMs = processorTimeMs(forwarder.pid);
    await pause(this.options.roundMs);
    const last = await sink.ask<CountResult>({ type: 'count' });
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
    this.progress('Resident memory of the balancer process.');
    const balancer = forwarders.find(({ name }) => name === 'fewBackends');
    if (balancer === undefined) {
      throw new Error('No balancer runs.');
    }
    const { establishedFlows, roundMs, rounds } = this.options;
    const sender = await this.peer({
      type: 'sender',
      flowCount: establishedFlows,
      backendCount: FEW_BACKENDS,
    });
    const before = residentBytes(balancer.pid);
    await sender.ask<SendResult>({
      type: 'send',
      to: balancer.address,
      durationMs: roundMs * rounds,
    });
    return residentBytes(balancer.pid) - before;
  }

  private async measureNewFlows(backendCount: number): Promise<NewFlowFigures> {
    this.progress(`New flows a second with ${backendCount} back ends.`);
    const backend = await this.peer({ type: 'backend' });
    const balancer = await this.balancer(backendCount, backend.port);
    const opener = await this.peer({ type: 'opener' });
    const request = {
      type: 'open',
      to: balancer.announcement.frontAddress as Address,
      opensPerSecond: this.options.opensPerSecond,
    } as const;
    await opener.ask<OpenResult>({ ...request, durationMs: this.options.roundMs });
    const durationMs = this.options.roundMs * this.options.rounds;
    const firstProcessorMs = processorTimeMs(balancer.pid);
    const result = await opener.ask<OpenResult>({ ...request, durationMs });
    const processorMs = processorTimeMs(balancer.pid) - firstProcessorMs;
    const processorMicrosecondsPerOpen = (processorMs * MICROSECONDS_PER_MS) / result.offered;
    return { backendCount, processorMicrosecondsPerOpen, ...result };
  }

  private async senders(flowCount: number, backendCount: number): Promise<Peer[]> {
    const role: PeerRole = { type: 'sender', flowCount, backendCount };
    return Promise.all(Array.from({ length: SENDER_COUNT }, () => this.peer(role)));
  }

  private async peer(role: PeerRole): Promise<Peer> {
    const peer = await startPeer(role);
    this.stops.push(() => peer.stop());
    return peer;
  }

  /** Starts a balancer process and waits until its configuration is in force. */
  private async balancer(backendCount: number, backendPort: number): Promise<AmberliftProcess> {
    const control = await startBenchControl(backendCount, backendPort);
    this.stops.push(() => control.close());
    const balancer = await startProcess('balancer', balancerArgs(control));
    this.stops.push(async () => {
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
  const forwarded = (name: string, { packetsPerSecond }: ForwarderFigures): [string, number] => [
    `${name}, packets/s`,
    Math.round(packetsPerSecond),
  ];
  return {
    head: ['figure', 'value'],
    rows: [
      forwarded('bare relay', relay),
      forwarded('bare relay, connected', connectedRelay),
      forwarded('balancer, 10 back ends', fewBackends),
      forwarded('balancer, 12,000 back ends', manyBackends),
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
  return targets.filter(([reached]) => !reached).map(([, target]) => target);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
