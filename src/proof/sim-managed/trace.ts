/**
 * @file The trace of a simulated run: the events that the oracle checks and, if requested, every
 * packet. Events are plain data, stored as one JSON line each.
 */
import { createHash } from 'node:crypto';

/** Kinds of simulated processes. */
export type ProcessKind = 'balancer' | 'control' | 'backend' | 'fabric' | 'caller' | 'operator';

/** Status changes of a process; `stopped` is a graceful end. */
export type ProcessStatus = 'started' | 'crashed' | 'paused' | 'resumed' | 'stopped';

/** An event without its time. */
export type TraceEventData =
  /** A process changed its status. */
  | {
      readonly type: 'process';
      readonly kind: ProcessKind;
      readonly process: string;
      readonly status: ProcessStatus;
      /** Number of requests or opens in progress at a graceful end. */
      readonly unfinished?: number;
    }
  /** A fault began or ended; `targets` names the affected processes. */
  | {
      readonly type: 'fault';
      readonly faultId: number;
      readonly fault: string;
      readonly targets: readonly string[];
      readonly phase: 'begins' | 'ends';
    }
  /** The fabric received a new list of balancers from the platform. */
  | { readonly type: 'list'; readonly balancers: readonly string[] }
  /**
   * A packet was sent by the fabric or arrived at a back end; `meantFor` and `arrivedAt` are
   * service addresses.
   */
  | {
      readonly type: 'packet';
      readonly from: string;
      readonly to: string;
      readonly flowId: string;
      readonly message: string;
      readonly requestId?: number | undefined;
      readonly meantFor: string;
      /** Service of the back end that received the packet; absent otherwise. */
      readonly arrivedAt?: string;
    }
  /** A back end accepted a new flow from the balancer `via`. */
  | {
      readonly type: 'flow-accepted';
      readonly backend: string;
      readonly flowId: string;
      readonly via: string;
    }
  /** A back end started to process a request. */
  | {
      readonly type: 'run';
      readonly backend: string;
      readonly flowId: string;
      readonly requestNumber: number;
    }
  /** A request of a caller ended. */
  | {
      readonly type: 'outcome';
      readonly caller: string;
      readonly requestNumber: number;
      readonly outcome: 'answered' | 'not-run' | 'unknown';
      readonly errorKind?: string;
      readonly flowId?: string;
      /** The back end that the request was sent to. */
      readonly backend?: string;
      /** False if a complete answer had wrong bytes. */
      readonly intact: boolean;
    }
  /** A caller lost an established flow. */
  | {
      readonly type: 'flow-broken';
      readonly caller: string;
      readonly flowId: string;
      readonly backend: string;
      readonly establishedAtMs: number;
    }
  /** A notice was published to the back ends of a service. */
  | { readonly type: 'published'; readonly service: string; readonly number: number }
  /** A caller received a notice from its feed. */
  | {
      readonly type: 'notice';
      readonly caller: string;
      readonly number: number;
      readonly intact: boolean;
    }
  /** A caller missed the notices from `first` to `last`. */
  | {
      readonly type: 'notices-missed';
      readonly caller: string;
      readonly first: number;
      readonly last: number;
      /** Back end of the feed; empty if the feed had no flow. */
      readonly backend: string;
    }
  /** An operator sent a command; `attempt` counts from 1. */
  | {
      readonly type: 'command-sent';
      readonly operator: string;
      readonly commandId: string;
      readonly command: string;
      /** Name of the affected back end or service. */
      readonly subject: string;
      readonly service: string;
      readonly control: string;
      readonly attempt: number;
    }
  /** An operator received the final answer to a command. */
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
  /** A control machine applied the log up to an index. */
  | {
      readonly type: 'applied';
      readonly control: string;
      readonly index: number;
      readonly digest: string;
    }
  /** A balancer put a configuration into force. */
  | {
      readonly type: 'in-force';
      readonly balancer: string;
      readonly index: number;
      readonly digest: string;
    }
  /** Configuration of a balancer at the end of a run. */
  | {
      readonly type: 'final-config';
      readonly balancer: string;
      /** Versions by service name. */
      readonly services: Readonly<Record<string, number>>;
      /** Administrative states by process name of the back end. */
      readonly backends: Readonly<Record<string, string>>;
    }
  /** A control machine answered a state query of an operator. */
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

/** An event of the trace; `atMs` is virtual time. */
export type TraceEvent = { readonly atMs: number } & TraceEventData;

/** Handles each event as it happens. */
export interface TraceListener {
  handle(event: TraceEvent): void;
}

/** Passes the events of a run to a listener and stores them. */
export class Trace {
  readonly events: TraceEvent[] = [];

  constructor(
    private readonly now: () => number,
    private readonly listener: TraceListener,
    /** True if packets are stored, too. */
    readonly keepsPackets: boolean,
  ) {}

  record(fact: TraceEventData): void {
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
