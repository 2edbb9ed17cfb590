// Runs a case: starts the deployment, and ends all that it started, whatever happens.
import { clearTimeout, setTimeout } from 'node:timers';
import { createRecord } from './record.mjs';
import { startDeployment } from './deployment.mjs';
import { startRouters, waitUntilReady } from './platform.mjs';

const LIMIT_MS = 115_000;
const COULD_NOT_RUN = 2;

/**
 * @param path of the record
 * @param play plays the case; returns true if the rule was broken, false if it held, undefined if it could not run
 */
export async function runCase(path, play) {
  const record = createRecord(path);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.line(`begins, TROUBLE=${hasTrouble ? 1 : 0}`);
  let exitCode = COULD_NOT_RUN;
  let deployment;
  let routers;
  const limit = setTimeout(() => {
    record.line('the time is up: could not run');
    void end(COULD_NOT_RUN);
  }, LIMIT_MS);
  for (const name of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(name, () => void end(COULD_NOT_RUN));
  }
  try {
    deployment = await startDeployment(record);
    routers = startRouters(deployment.fronts);
    const isBroken = await play({
      record,
      deployment,
      routers,
      hasTrouble,
      waitUntilReady: () => waitUntilReady(routers),
    });
    if (isBroken !== undefined) {
      exitCode = isBroken ? 1 : 0;
    }
  } catch (cause) {
    record.line(`could not run: ${cause.stack}`);
  }
  clearTimeout(limit);
  await end(exitCode);

  async function end(code) {
    routers?.end();
    await deployment?.end();
    const verdicts = ['the rule held', 'the rule was broken', 'the case could not run'];
    record.line(`ends: ${verdicts[code]}`);
    console.log(verdicts[code]);
    process.exit(code);
  }
}
