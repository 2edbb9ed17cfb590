/** @file The built programs, which start from a V8 startup snapshot, must behave as without one and share no state. */
import { spawn, execFileSync, type ChildProcessWithoutNullStreams } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import t, { type Test } from 'tap';

const folder = mkdtempSync(join(tmpdir(), 'amberlift-programs-'));
let startedCount = 0;

t.before(() => execFileSync('sh', ['deploy/build.sh'], { stdio: 'ignore' }));

t.test('a balancer started from a snapshot serves, handles signals and ends', async (t) => {
  const { child, port, nextLine } = await start(t, 'balancer');
  t.match(
    await nextLine(),
    /\[balancer\] started name=balancer-a/,
    'settings are read at the start, not at the build',
  );
  t.equal(await statusOf(port, '/ready'), 503, 'not ready without any control machine');
  child.kill('SIGHUP');
  t.match(await nextLineWith(nextLine, 'settings'), /settings taken/, 'signals are handled');
  child.kill('SIGTERM');
  const [code] = (await once(child, 'exit')) as [number | null];
  t.equal(code, 0);
});

t.test('processes started from one snapshot draw different member IDs', async (t) => {
  const first = await start(t, 'control');
  const second = await start(t, 'control');
  const [one, other] = await Promise.all([first, second].map(memberIdOf));
  t.type(one, 'string');
  t.not(one, other, 'each process draws its own member ID');
  t.equal(await statusOf(first.port, '/Config.Get'), 503, 'HTTP is served without joining a group');
});

/** The content of the identity file, which holds a randomly drawn ID. */
async function memberIdOf({ name, nextLine }: Started): Promise<string> {
  await nextLineWith(nextLine, 'started');
  return readFileSync(join(folder, name, 'identity'), 'utf8');
}

interface Started {
  readonly name: string;
  readonly child: ChildProcessWithoutNullStreams;
  /** Port of the readiness check or of the control API. */
  readonly port: number;
  readonly nextLine: () => Promise<string>;
}

/** Starts a program with the command line of the deployment file. */
async function start(t: Test, program: 'balancer' | 'control'): Promise<Started> {
  const [packetPort, port, linkPort, seedPort] = await freePorts();
  const isControl = program === 'control';
  const seed = isControl ? port : seedPort;
  const name = `${program}-${startedCount}`;
  startedCount += 1;
  const settings = {
    nodeName: isControl ? name : 'balancer-a',
    ip: '127.0.0.1',
    zone: 'zone-a',
    internalPorts: [linkPort, linkPort],
    seeds: [`127.0.0.1:${seed}`],
    bootstrap: false,
    dataDir: join(folder, name),
    heartbeatMs: 1_200,
    listen: {
      datagramAddr: `127.0.0.1:${packetPort}`,
      ready: `127.0.0.1:${port}`,
      control: `127.0.0.1:${port}`,
    },
    tolerate: { machines: 0 },
    bounds: {
      contactMs: 5_000,
      configApplyMs: 4_000,
      syncS: 6,
      drainMs: 4_000,
      graceS: 1,
      flowLifetimeS: 60,
    },
  };
  const path = join(folder, `${name}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const deploy = readFileSync('deploy/system.toml', 'utf8');
  const args = new RegExp(`run = "node (.*target/${program}\\.blob)"`).exec(deploy)?.[1] ?? '';
  const child = spawn(process.execPath, args.split(' '), {
    env: { PATH: process.env.PATH, AMBERLIFT_NODE_FILE: path },
  });
  t.teardown(() => child.kill('SIGKILL'));
  const lines = createInterface(child.stdout)[Symbol.asyncIterator]();
  const nextLine = async () => {
    const { done, value } = (await lines.next()) as IteratorResult<string, undefined>;
    if (done === true) {
      throw new Error(`${program} ended.`);
    }
    return value;
  };
  return { name, child, port, nextLine };
}

async function nextLineWith(nextLine: () => Promise<string>, text: string): Promise<string> {
  let line = '';
  while (!line.includes(text)) {
    line = await nextLine();
  }
  return line;
}

async function freePorts(): Promise<[number, number, number, number]> {
  const servers = [1, 2, 3, 4].map(() => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as { readonly port: number }).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports as [number, number, number, number];
}

const RETRY_AFTER_MS = 50;

/** Retries until the server listens, which may be after the first log line. */
async function statusOf(port: number, path: string): Promise<number> {
  for (;;) {
    const status = await requestStatus(port, path);
    if (status !== undefined) {
      return status;
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_AFTER_MS));
  }
}

function requestStatus(port: number, path: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ host: '127.0.0.1', port, path, agent: false });
    outgoing.on('response', (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode);
    });
    outgoing.on('error', () => resolve(undefined));
    outgoing.end();
  });
}
