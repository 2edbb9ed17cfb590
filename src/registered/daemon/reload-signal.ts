/**
 * @file SIGHUP, which makes a daemon reload its settings. Without a listener the signal would terminate the process,
 * so a program imports this module before all others; a signal during startup is handled once the daemon is ready.
 */
import { atProcessStart } from './start-snapshot.js';

type Handler = () => void;

let reload: Handler | undefined;
let isPending = false;

atProcessStart(() => {
  process.on('SIGHUP', () => {
    isPending = reload === undefined;
    reload?.();
  });
});

/** Registers the handler of SIGHUP; calls it immediately if a signal is pending. */
export function onReloadSignal(handler: Handler): void {
  reload = handler;
  if (isPending) {
    isPending = false;
    handler();
  }
}
