/**
 * @file The signals that ask a daemon to stop. They may come again while a stop is under way.
 */

/** What a daemon does when it is asked to stop. */
export interface StopSignalOptions {
  readonly signals: readonly NodeJS.Signals[];
  /** Called on the first of them. */
  readonly stop: () => void;
  /** Called on each later one. */
  readonly again: () => void;
}

/** Listens for the signals; one that comes again does not end the process by itself. */
export function onStopSignal({ signals, stop, again }: StopSignalOptions): void {
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) {
      again();
      return;
    }
    isStopping = true;
    stop();
  };
  signals.forEach((signal) => process.on(signal, onSignal));
}
