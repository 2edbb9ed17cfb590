/**
 * @file The trace of a simulated run: everything that the oracle checks, and, where asked for, every
 * packet. It is plain data, one JSON line an event, so that it can be stored and replayed.
 */
import { createHash } from 'node:crypto';

/** Kinds of simulated processes. */
export type ProcessKind = 'balancer' | 'control' | 'backend' | 'fabric' | 'caller' | 'operator';

/** What becomes of a process; `stopped` is a planned end. */
export type ProcessStatus = 'started' | 'crashed' | 'paused' | 'resumed' | 'stopped';

/** What happened, without its time. */
export type TraceFact =
  /** A process changes its status. */
  | {
      readonly type: 'process';
      readonly kind: ProcessKind;
      readonly process: string;
      readonly status: ProcessStatus;
      /** Requests or opens that were in progress at a planned end. */
      readonly unfinished?: number;
    }
  /** A fault begins or ends; `targets` are the processes that it touches. */
  | {
      readonly type: 'fault';
      readonly faultId: number;
      readonly fault: string;
      readonly targets: readonly string[];
      readonly phase: 'begins' | 'ends';
    }
  /** The platform's list of balancers, as the fabric has it from now on. */
  | { readonly type: 'list'; readonly balancers: readonly string[] }
  /** A packet arrived. `meantFor` and `arrivedAt` are service addresses. */
  | {
      readonly type: 'packet';
      readonly from: string;
      readonly to: string;
      readonly flowId: string;
      readonly message: string;
      readonly requestId?: number | undefined;
      readonly meantFor: string;
      /** The service of the back end that it arrived at; absent elsewhere. */
      readonly arrivedAt?: string;
    }
  /** A back end took a new flow that a balancer placed there. */
  | {
      readonly type: 'flow-accepted';
      readonly backend: string;
      readonly flowId: string;
      readonly via: string;
    }
  /** A back end began to run a request. */
  | {
      readonly type: 'run';
      readonly backend: string;
      readonly flowId: string;
      readonly requestNumber: number;
    }
  /** How a request ended for its caller. */
  | {
      readonly type: 'outcome';
      readonly caller: string;
      readonly requestNumber: number;
      readonly outcome: 'answered' | 'not-run' | 'unknown';
      readonly errorKind?: string;
      readonly flowId?: string;
      /** The back end that the request was sent to. */
      readonly backend?: string;
      /** False where the answer came whole but with wrong bytes. */
      readonly intact: boolean;
    }
  /** An established flow of a caller was lost. */
  | {
      readonly type: 'flow-broken';
      readonly caller: string;
      readonly flowId: string;
      readonly backend: string;
      readonly establishedAtMs: number;
    }
  /** A notice was published to all back ends of a service. */
  | { readonly type: 'published'; readonly service: string; readonly number: number }
  /** A caller got a notice of its feed; `first` to `last` where it missed some. */
  | {
      readonly type: 'notice';
      readonly caller: string;
      readonly number: number;
      readonly intact: boolean;
    }
  | {
      readonly type: 'notices-missed';
      readonly caller: string;
      readonly first: number;
      readonly last: number;
      /** Where the feed was. */
      readonly backend: string;
    }
  /** An operator sends a command, or the same one again. */
  | {
      readonly type: 'command-sent';
      readonly operator: string;
      readonly commandId: string;
      readonly command: string;
      /** The back end or service that it is about. */
      readonly subject: string;
      readonly service: string;
      readonly control: string;
      readonly attempt: number;
    }
  /** The answer that the operator got. */
  | {
      readonly type: 'command-answered';
      readonly operator: string;
      readonly commandId: string;
      readonly command: string;
      readonly subject: string;
      readonly service: string;
      readonly accepted: boolean;
      readonly index?: number;
      /** Version of the service after the command. */
      readonly version?: number;
      readonly errorKind?: string;
    }
  /** A control machine has applied the log up to an index. */
  | {
      readonly type: 'applied';
      readonly control: string;
      readonly index: number;
      readonly digest: string;
    }
  /** A balancer has a configuration in force. */
  | {
      readonly type: 'in-force';
      readonly balancer: string;
      readonly index: number;
      readonly digest: string;
    }
  /** What a balancer has in force at the end of a run. */
  | {
      readonly type: 'final-config';
      readonly balancer: string;
      /** Version by name of the service. */
      readonly services: Readonly<Record<string, number>>;
      /** What the operators want, by name of the back end's process. */
      readonly backends: Readonly<Record<string, string>>;
    }
  /** A control machine answered an operator's question of its state. */
  | {
      readonly type: 'shown';
      readonly operator: string;
      readonly control: string;
      readonly index: number;
      readonly askedAtMs: number;
    }
  /** A control machine changed its role. */
  | {
      readonly type: 'role';
      readonly control: string;
      readonly role: string;
      readonly term: number;
    };

/** One event of a trace. */
export type TraceEvent = { readonly atMs: number } & TraceFact;

/** Handles each event as it happens. */
export interface TraceListener {
  handle(event: TraceEvent): void;
}

/** Records a run. */
export class Trace {
  readonly events: TraceEvent[] = [];

  constructor(
    private readonly now: () => number,
    private readonly listener: TraceListener,
    /** True where packets are kept as well. */
    readonly keepsPackets: boolean,
  ) {}

  record(fact: TraceFact): void {
    const event: TraceEvent = { atMs: this.now(), ...fact };
    this.listener.handle(event);
    if (event.type !== 'packet' || this.keepsPackets) {
      this.events.push(event);
    }
  }

  /** Hash of the whole trace, in hex. */
  digest(): string {
    const hash = createHash('sha256');
    for (const event of this.events) {
      hash.update(`${JSON.stringify(event)}\n`);
    }
    return hash.digest('hex');
  }
}
