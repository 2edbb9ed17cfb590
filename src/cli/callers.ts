/**
 * @file `amberlift callers`: runs stand-in callers against one service, and prints what came of each
 * request.
 */
import type { CAC } from 'cac';
import { runSession } from '../standins/caller-process.js';
import type { CallerOptions } from '../standins/caller-state.js';
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
}

const REQUEST_DEADLINE_MS = 5_000;
const OPEN_DEADLINE_MS = 2_000;
const RETRANSMIT_MS = 250;

/**
 * Registers the subcommand.
 */
export function registerCallers(cli: CAC): void {
  cli
    .command('callers', 'Run stand-in callers; prints one JSON line per event')
    .option('--service <name>', 'Name of the service')
    .option('--service-address <address>', 'Address of the service')
    .option('--host <ip>', 'IP number to bind', { default: '127.0.0.1' })
    .option('--sessions <count>', 'Sessions', { default: 50 })
    .option('--requests <count>', 'Requests of each session', { default: 20 })
    .option('--first-number <n>', 'Number of the first request', { default: 0 })
    .option('--pause <ms>', 'Pause between two requests of a session', { default: 200 })
    .option('--spread <ms>', 'Time over which the sessions start', { default: 1000 })
    .option('--answer-bytes <count>', 'Length of each answer', { default: 3000 })
    .option('--feeds <count>', 'Sessions that also hold a feed', { default: 0 })
    .option('--notices <n>', 'The notice with which a feed ends', { default: 0 })
    .option('--feed-time <ms>', 'Longest time of a feed', { default: 30000 })
    .action(run);
}

async function run(flags: CallersFlags): Promise<void> {
  const service = addressFlag('service-address', flags.serviceAddress);
  const reports = await Promise.all(
    Array.from({ length: flags.sessions }, async (_, session) => {
      await new Promise((resolve) =>
        setTimeout(resolve, (session * flags.spread) / flags.sessions),
      );
      return runSession(sessionOptions(flags, session), service, flags.host, (outcome) =>
        printLine({ event: 'outcome', outcome }),
      );
    }),
  );
  const sum = (pick: (report: (typeof reports)[number]) => number): number =>
    reports.reduce((total, report) => total + pick(report), 0);
  printLine({
    event: 'finished',
    brokenFlows: sum((report) => report.brokenFlows),
    wrongAnswers: sum((report) => report.wrongAnswers),
    noticesDelivered: sum((report) => report.noticesDelivered),
    noticesLost: sum((report) => report.noticesLost),
    noticesDoubled: sum((report) => report.noticesDoubled),
  });
}

function sessionOptions(flags: CallersFlags, session: number): CallerOptions {
  const feed = { afterNotice: 0, lastNotice: flags.notices, deadlineMs: flags.feedTime };
  return {
    serviceName: flags.service,
    requestCount: flags.requests,
    firstRequestNumber: flags.firstNumber + session * flags.requests,
    answerBytes: flags.answerBytes,
    pauseMs: flags.pause,
    requestDeadlineMs: REQUEST_DEADLINE_MS,
    openDeadlineMs: OPEN_DEADLINE_MS,
    retransmitMs: RETRANSMIT_MS,
    ...(session < flags.feeds && { feed }),
  };
}

function printLine(value: object): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
