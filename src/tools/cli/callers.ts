/**
 * @file `amberlift callers`: runs simulated callers against one service and prints the outcome of each
 * request.
 */
import type { CAC } from 'cac';
import { runSessions } from '../../proof/standins/caller-process.js';
import type { CallerOptions } from '../../proof/standins/caller-state.js';
import { addressFlag } from './address-flag.js';

interface CallersFlags {
  readonly service: string;
  readonly serviceAddress: string;
  readonly host: string;
  readonly sessions: number;
  readonly requests: number;
  readonly firstNumber: number;
  readonly pause: number;
  readonly spread: number;
  readonly answerBytes: number;
  readonly feeds: number;
  readonly notices: number;
  readonly feedTime: number;
  readonly stopAfter?: number;
  readonly requestDeadline: number;
  readonly retransmit: number;
  readonly retransmitMax: number;
}

const OPEN_DEADLINE_MS = 2_000;

/** Registers the `callers` subcommand. */
export function registerCallers(cli: CAC): void {
  cli
    .command('callers', 'Run simulated callers; prints one JSON line per event')
    .option('--service <name>', 'Name of the service')
    .option('--service-address <address>', 'Address of the service')
    .option('--host <ip>', 'IP number to bind', { default: '127.0.0.1' })
    .option('--sessions <count>', 'Number of sessions', { default: 50 })
    .option('--requests <count>', 'Requests per session', { default: 20 })
    .option('--first-number <n>', 'Number of the first request', { default: 0 })
    .option('--pause <ms>', 'Pause between two requests of a session', { default: 200 })
    .option('--spread <ms>', 'Time over which the sessions start', { default: 1000 })
    .option('--answer-bytes <count>', 'Size of each answer', { default: 3000 })
    .option('--feeds <count>', 'Sessions that also hold a feed', { default: 0 })
    .option('--notices <n>', 'Number of the last notice of a feed', { default: 0 })
    .option('--feed-time <ms>', 'Maximum duration of a feed', { default: 30000 })
    .option('--stop-after <ms>', 'Start no request after this time; default: no limit')
    .option('--request-deadline <ms>', 'Timeout of one request, including its open', {
      default: 5000,
    })
    .option('--retransmit <ms>', 'Time until an unanswered packet is sent again', { default: 250 })
    .option('--retransmit-max <ms>', 'Maximum time between retransmissions', { default: 2000 })
    .action(run);
}

async function run(flags: CallersFlags): Promise<void> {
  const sessions = Array.from({ length: flags.sessions }, (_, session) =>
    sessionOptions(flags, session),
  );
  const report = await runSessions(sessions, {
    service: addressFlag('service-address', flags.serviceAddress),
    host: flags.host,
    spreadMs: flags.spread,
    onOutcome: (outcome) => printLine({ event: 'outcome', outcome }),
  });
  printLine({ event: 'finished', ...report });
}

function sessionOptions(flags: CallersFlags, session: number): CallerOptions {
  const startsAfterMs = (session * flags.spread) / flags.sessions;
  const feed = {
    afterNotice: 0,
    lastNotice: flags.notices,
    deadlineMs: Math.max(1, flags.feedTime - startsAfterMs),
  };
  return {
    serviceName: flags.service,
    requestCount: flags.requests,
    firstRequestNumber: flags.firstNumber + session * flags.requests,
    answerBytes: flags.answerBytes,
    pauseMs: flags.pause,
    ...(flags.stopAfter !== undefined && { stopAfterMs: flags.stopAfter - startsAfterMs }),
    requestDeadlineMs: flags.requestDeadline,
    openDeadlineMs: OPEN_DEADLINE_MS,
    retransmitMs: flags.retransmit,
    retransmitMaxMs: flags.retransmitMax,
    ...(session < flags.feeds && { feed }),
  };
}

function printLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
