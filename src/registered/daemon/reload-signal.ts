/**
 * @file SIGHUP, which asks a daemon to read its settings again. It may come while the process still starts, and a
 * signal without a listener ends a process. A program therefore imports this module before all others: the
 * listener stands from then on, and what came too early is done once the daemon can.
 */
import { atProcessStart } from './start-snapshot.js';

type Handler = () => void;

let reload: Handler | undefined;
let isWanted = false;

atProcessStart(() => {
  process.on('SIGHUP', () => {
    isWanted = reload === undefined;
    reload?.();
  });
});

/**
 * Calls back on each SIGHUP, and at once where one came before.
 */
export function onReloadSignal(handler: Handler): void {
  reload = handler;
  if (isWanted) {
    isWanted = false;
    handler();
  }
}
