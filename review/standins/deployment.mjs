// A small deployment on loopback addresses: the project's two programs, started with the commands of the deploy file.
import { spawn } from 'node:child_process';
import {
  closeSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

export const ports = { internal: 7720, control: 8166, ready: 8167, datagram: 8172, metrics: 9464 };
export const bounds = {
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
export const heartbeatMs = 1200;
export const zones = ['hall-a', 'hall-b', 'hall-c'];
const CORE_ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-a', 'hall-b'];

async function isFree(host, port) {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
}

/** @returns `127.X`, with no listener of another run at its addresses */
async function freeNetwork() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}`;
    const wanted = [`${network}.1.1`, `${network}.2.1`].flatMap((host) =>
      Object.values(ports).map((port) => isFree(host, port)),
    );
    if ((await Promise.all(wanted)).every(Boolean)) {
      return network;
    }
  }
  throw new Error('No free loopback addresses.');
}

function commandOf(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "node ([^"]+)"/.exec(section)[1].split(' ');
}

/** Starts 5 control machines and 3 balancers, with the settings of a small deployment. */
export async function startDeployment(record) {
  const network = await freeNetwork();
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-review-'));
  const cores = CORE_ZONES.map((zone, index) => ({
    name: `core-${zone}-${index + 1}`,
    role: 'control',
    zone,
    ip: `${network}.1.${index + 1}`,
  }));
  const fronts = zones.map((zone, index) => ({
    name: `front-${zone}-${index + 1}`,
    role: 'balancer',
    zone,
    ip: `${network}.2.${index + 1}`,
  }));
  const seeds = cores.slice(0, 3).map(({ ip }) => `${ip}:${ports.control}`);
  const running = new Map();

  function settingsOf(machine, isFirst) {
    const isCore = machine.role === 'control';
    return {
      nodeName: machine.name,
      role: machine.role,
      machineClass: isCore ? 'core' : 'front',
      serves: [isCore ? 'control' : 'front'],
      ip: machine.ip,
      zone: machine.zone,
      region: 'cr-central',
      zones: Object.fromEntries(zones.map((zone) => [zone, 'cr-central'])),
      listen: isCore
        ? { control: `${machine.ip}:${ports.control}` }
        : {
            datagramAddr: `${machine.ip}:${ports.datagram}`,
            ready: `${machine.ip}:${ports.ready}`,
          },
      internalPorts: [ports.internal, ports.internal + 15],
      seeds,
      bootstrap: isFirst,
      countsAsLoss: isCore,
      limits: {
        cpuShare: 0.7,
        cores: isCore ? 2 : 1,
        memoryMb: isCore ? 346 : 350,
        maxFds: 4096,
        linkMbps: isCore ? 700 : 1000,
        diskMb: isCore ? 128 : 0,
      },
      dataDir: isCore ? join(folder, machine.name) : null,
      discovery: 'registry',
      entry: 'announce',
      heartbeatMs,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'flows'],
      tolerate: { machines: 2, zones: 0, regions: 0 },
      bounds,
      config_mode: 'highest',
      hash: 'mod',
      forwarding: 'echo',
    };
  }

  function start(machine, isFirst = false) {
    const path = join(folder, `${machine.name}.json`);
    writeFileSync(path, JSON.stringify(settingsOf(machine, isFirst)));
    if (machine.role === 'control') {
      mkdirSync(join(folder, machine.name), { recursive: true });
    }
    const output = openSync(join(folder, `${machine.name}.log`), 'a');
    const child = spawn(process.execPath, commandOf(machine.role), {
      env: { PATH: process.env.PATH, AMBERLIFT_NODE_FILE: path },
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    running.set(machine.name, child);
    child.on('exit', (code, signal) => {
      record.line(`${machine.name} ended, code ${code}, signal ${signal}`);
      if (running.get(machine.name) === child) {
        running.delete(machine.name);
      }
    });
  }

  [...cores, ...fronts].forEach((machine) => start(machine, true));

  return {
    network,
    cores,
    fronts,
    start,
    signal: (machine, name) => running.get(machine.name)?.kill(name),
    isRunning: (machine) => running.has(machine.name),
    logOf: (machine) => readFileSync(join(folder, `${machine.name}.log`), 'utf8').split('\n'),
    async end() {
      const children = [...running.values()];
      running.clear();
      children.forEach((child) => child.kill('SIGKILL'));
      await sleep(200);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
