/**
 * @file A small deployment of the two programs on loopback addresses: settings in the form of `platform/settings.template`,
 * the commands of `deploy/system.toml`, a record of what happened, and the end of all processes that were started.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const INTERNAL_PORT = 7720;
const CONTROL_PORT = 8166;
const READY_PORT = 8167;
export const PACKET_PORT = 8172;
export const HEARTBEAT_MS = 1_200;
export { sleep };

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** True unless TROUBLE=0: the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The bounds of the site tv-cartago. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 4000,
  ackMs: 5000,
  syncS: 4,
  drainMs: 3000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 3000,
  rollbackSlackMs: 250,
  stretchMaxMs: 12000,
  recoveryS: 12,
  flowStrayMs: 2000,
  flowLifetimeS: 60,
};

/** @returns a function that writes a line with the time in ms since its creation */
export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, '');
  const startedAt = performance.now();
  const record = (text) => {
    const line = `${(performance.now() - startedAt).toFixed(0).padStart(6)} ${text}\n`;
    appendFileSync(path, line);
    process.stdout.write(line);
  };
  record.nowMs = () => performance.now() - startedAt;
  return record;
}

/** @returns the answer of an HTTP call; status 0 if there is none within the time */
export function call(method, host, port, path, body, timeoutMs = 1_000) {
  return new Promise((resolve) => {
    const headers = body === undefined ? {} : { 'content-type': 'application/json' };
    const outgoing = request(
      { method, host, port, path, headers, timeout: timeoutMs },
      (answer) => {
        const chunks = [];
        answer.on('data', (chunk) => chunks.push(chunk));
        answer.on('end', () => resolve({ status: answer.statusCode, text: chunks.join('') }));
        answer.on('error', () => resolve({ status: 0, text: '' }));
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve({ status: 0, text: '' }));
    outgoing.end(body);
  });
}

/** @returns the second byte of 127.x.0.0 addresses whose ports are free */
async function freeNet(first) {
  for (let net = first; net < first + 10; net += 1) {
    if (await isFree(`127.${net}.1.1`)) {
      return net;
    }
  }
  throw new Error('no free addresses');
}

function isFree(host) {
  return new Promise((resolve) => {
    const server = createServer().listen(CONTROL_PORT, host);
    server.once('error', () => resolve(false));
    server.once('listening', () => server.close(() => resolve(true)));
  });
}

/** The command of a role in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const command = new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)?.[1];
  if (command === undefined) {
    throw new Error(`no command for ${role}`);
  }
  return command.split(' ');
}

/**
 * Starts control machines and balancers, in zones in turn.
 * @returns their addresses, and functions on them
 */
export async function startDeployment({ record, controls, balancers, tolerate, net: firstNet }) {
  const net = await freeNet(firstNet);
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-review-'));
  const zones = ['hall-a', 'hall-b', 'hall-c'];
  const controlHosts = Array.from({ length: controls }, (_, index) => `127.${net}.1.${index + 1}`);
  const balancerHosts = Array.from({ length: balancers }, (_, i) => `127.${net}.2.${i + 1}`);
  const running = new Map();
  let isEnding = false;

  const settingsOf = (role, host, index, isFirst, disk) => ({
    nodeName: `${role}-${index + 1}`,
    role,
    machineClass: role === 'control' ? 'core' : 'front',
    ip: host,
    zone: zones[index % zones.length],
    region: 'cr-central',
    internalPorts: [INTERNAL_PORT, INTERNAL_PORT + 15],
    seeds: controlHosts.slice(0, 3).map((seed) => `${seed}:${CONTROL_PORT}`),
    bootstrap: isFirst,
    countsAsLoss: role === 'control',
    ...(role === 'control' && { dataDir: join(folder, `data-${host}-${disk}`) }),
    heartbeatMs: HEARTBEAT_MS,
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'flows'],
    config_mode: 'highest',
    hash: 'mod',
    forwarding: 'echo',
    zones: Object.fromEntries(zones.map((zone) => [zone, 'cr-central'])),
    listen:
      role === 'control'
        ? { control: `${host}:${CONTROL_PORT}` }
        : { datagramAddr: `${host}:${PACKET_PORT}`, ready: `${host}:${READY_PORT}` },
    limits:
      role === 'control'
        ? { memoryMb: 346, maxFds: 4096, linkMbps: 700, diskMb: 128 }
        : { memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
    tolerate: { machines: tolerate, zones: 0, regions: 0 },
    bounds: BOUNDS,
  });

  /** @param disk another name stands for another, empty disk */
  const start = (role, host, index, isFirst, disk = 'first') => {
    const path = join(folder, `${role}-${host}.json`);
    writeFileSync(path, JSON.stringify(settingsOf(role, host, index, isFirst, disk)));
    const log = openSync(join(folder, `${role}-${host}.log`), 'a');
    const [program, ...words] = commandOf(role);
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, AMBERLIFT_NODE_FILE: path };
    const child = spawn(program, words, { cwd: ROOT, env, stdio: ['ignore', log, log] });
    running.set(host, child);
    child.on('exit', (code, signal) => {
      if (running.get(host) === child) {
        running.delete(host);
      }
      if (!isEnding) {
        record(`process ${role} ${host} ended code=${code} signal=${signal}`);
      }
    });
    return child;
  };

  /** Ends all processes by their IDs. */
  const end = () => {
    isEnding = true;
    running.forEach((child) => child.kill('SIGKILL'));
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(folder, { recursive: true, force: true });
    }
  };
  process.on('exit', end);
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => process.exit(NOT_RUN)));

  controlHosts.forEach((host, index) => start('control', host, index, true));
  balancerHosts.forEach((host, index) => start('balancer', host, index, true));

  /** Like the operator: sends an order to one node after the other until it is acknowledged. */
  const order = async (path, body, patienceMs = 10_000) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const untilMs = record.nowMs() + patienceMs;
    for (let turn = 0; record.nowMs() < untilMs; turn += 1) {
      const host = controlHosts[turn % controlHosts.length];
      const { status } = await call('POST', host, CONTROL_PORT, path, text);
      record(`operator sends ${path} version=${body?.version} to ${host}: ${status}`);
      if (status !== 0 && status < 500) {
        return status;
      }
      await sleep(100);
    }
    return 0;
  };

  /** Waits until all balancers answer 200. */
  const waitReady = async (patienceMs = 15_000) => {
    const untilMs = record.nowMs() + patienceMs;
    for (const host of balancerHosts) {
      while ((await call('GET', host, READY_PORT, '/ready')).status !== 200) {
        if (record.nowMs() > untilMs) {
          return false;
        }
        await sleep(100);
      }
    }
    return true;
  };

  return { net, folder, controlHosts, balancerHosts, start, running, order, waitReady, end };
}

/** @returns a configuration document with routes of `[host, port, service, type]` */
export function configOf(version, routes) {
  const services = [...new Set(routes.map(([, , service]) => service))];
  return {
    version,
    routes: routes.map(([host, port, service, type = 'safe'], index) => ({
      name: `r-${index}`,
      host,
      pathPrefix: `/${port}/`,
      type,
      timeoutMs: 2000,
      targetMs: 121,
      priority: 1,
      service,
      maxAttempts: 2,
    })),
    services: services.map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 2000,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 262144,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

export { CONTROL_PORT };
