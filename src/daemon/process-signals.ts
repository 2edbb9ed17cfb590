/**
 * @file The signals of a daemon. They come in series and at any time: a reload may be asked for while the process
 * still starts, which ends a process that has no listener yet, and a stop may be asked for again while one is
 * under way.
 *
 * A program imports this module before all others: the listener for reloads stands from then on.
 */

type Handler = () => void;

let reload: Handler | undefined;
let isReloadWanted = false;

process.on('SIGHUP', () => {
  isReloadWanted = reload === undefined;
  reload?.();
});

/**
 * Calls back on each SIGHUP, and at once where one came before.
 */
export function onReloadSignal(handler: Handler): void {
  reload = handler;
  if (isReloadWanted) {
    isReloadWanted = false;
    handler();
  }
}

/**
 * Calls back on the first SIGTERM; later ones change nothing about a stop that is under way.
 * @param again called on each later one
 */
export function onStopSignal(stop: Handler, again: Handler): void {
  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) {
      again();
      return;
    }
    isStopping = true;
    stop();
  });
}
