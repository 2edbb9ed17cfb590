/**
 * @file Handles the signals that stop a daemon, including repeated ones during shutdown.
 */

/** Handlers of stop signals. */
export interface StopSignalOptions {
  readonly signals: readonly NodeJS.Signals[];
  /** Called on the first signal. */
  readonly onStop: () => void;
  /** Called on each later signal. */
  readonly onRepeat: () => void;
}

/** Installs the signal handlers, which replace the default action of ending the process. */
export function onStopSignal({ signals, onStop, onRepeat }: StopSignalOptions): void {
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) {
      onRepeat();
      return;
    }
    isStopping = true;
    onStop();
  };
  signals.forEach((signal) => process.on(signal, onSignal));
}
