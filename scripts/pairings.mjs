// Runs the programs of two builds together on loopback: each as control, each as balancer, one control group of both, and
// each on the data folders that the other wrote. Both pairs of programs are run: `group` with `ingress`, `control` with
// `balancer`. Ends with 1 where one of the pairings fails.
// Usage: node scripts/pairings.mjs --old FOLDER --new FOLDER   (two checkouts after `npm ci && npm run build`)
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { basename, join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { pathToFileURL } from 'node:url';
import { cac } from 'cac';

const HOST = '127.0.0.1';
const TOKEN = 'example-token';
const RESEND_AFTER_MS = 200;
/** Longest wait for one step of a pairing: starts of a dozen processes on a busy machine. */
const STEP_TIMEOUT_MS = 30_000;
const CONTROL_COUNT = 3;
const DRAINED_OPENS = 20;

/** Throws where a check of a pairing fails. */
function check(isTrue, what) {
  if (!isTrue) {
    throw new Error(what);
  }
}

/** Calls until it returns something other than undefined; errors count as not yet. */
async function eventually(what, call) {
  const deadlineMs = Date.now() + STEP_TIMEOUT_MS;
  let lastError;
  while (Date.now() < deadlineMs) {
    try {
      const value = await call();
      if (value !== undefined) {
        return value;
      }
    } catch (error) {
      lastError = error;
    }
    await sleep(RESEND_AFTER_MS);
  }
  throw new Error(
    `not in time: ${what}${lastError === undefined ? '' : ` (${lastError.message})`}`,
  );
}

/** Addresses whose ports were free a moment ago. */
async function freeAddresses(count) {
  const servers = Array.from({ length: count }, () => createServer().listen(0, HOST));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const addresses = servers.map((server) => `${HOST}:${server.address().port}`);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return addresses;
}

function flagsOf(settings) {
  return Object.entries(settings).flatMap(([name, value]) => [
    '--set',
    `${name}=${JSON.stringify(value)}`,
  ]);
}

/** The processes and files of one pairing; all end with `close`. */
function createStage() {
  const folder = mkdtempSync(join(tmpdir(), 'amberlift-pairing-'));
  const running = new Set();

  return { folder, start, startWith, run, end, close };

  function start(build, command, settings, words = []) {
    return startWith(build, command, [...words, ...flagsOf({ logLevel: 'error', ...settings })]);
  }

  /** @returns the process, and the JSON of its first line */
  async function startWith(build, command, words) {
    const child = spawn(process.execPath, [join(build, 'bin/amberlift.js'), command, ...words], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    running.add(child);
    child.on('exit', () => running.delete(child));
    const [line] = await Promise.race([
      once(child.stdout, 'data'),
      once(child, 'exit').then(([code]) => {
        throw new Error(`${command} ended with code ${code}`);
      }),
    ]);
    return { child, ready: JSON.parse(String(line).split('\n')[0]) };
  }

  /** @returns all that a command printed, where it ended with 0 */
  async function run(build, words) {
    const child = spawn(process.execPath, [join(build, 'bin/amberlift.js'), ...words], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const parts = { stdout: [], stderr: [] };
    child.stdout.on('data', (part) => parts.stdout.push(part));
    child.stderr.on('data', (part) => parts.stderr.push(part));
    const [code] = await once(child, 'close');
    check(code === 0, `${words[0]}: code ${code}, ${Buffer.concat(parts.stderr)}`);
    return String(Buffer.concat(parts.stdout));
  }

  async function end(started) {
    const exited = once(started.child, 'exit');
    started.child.kill('SIGKILL');
    await exited;
  }

  function close() {
    running.forEach((child) => child.kill('SIGKILL'));
    rmSync(folder, { recursive: true, force: true });
  }
}

// Back ends that register themselves.

async function loadPackets(build) {
  const file = join(build, 'dist/src/registered/ingress/token-packet.js');
  return import(pathToFileURL(file).href);
}

async function bindSocket() {
  const socket = createSocket('udp4');
  socket.bind(0, HOST);
  await once(socket, 'listening');
  return { socket, address: { host: HOST, port: socket.address().port } };
}

function addressOf(text) {
  const [host, port] = text.split(':');
  return { host, port: Number(port) };
}

/** Sends a packet again and again until one comes back that fits. */
async function answerTo({ socket }, to, packet, at, fits) {
  const answers = [];
  const collect = (datagram) => answers.push(datagram);
  at.socket.on('message', collect);
  try {
    return await eventually('an answer to a packet', () => {
      const { host, port } = addressOf(to);
      socket.send(packet, port, host);
      return answers.map(fits).find((answer) => answer !== undefined);
    });
  } finally {
    at.socket.off('message', collect);
  }
}

async function call(to, method, path, body) {
  const response = await fetch(`http://${to}${path}`, {
    method,
    headers: { 'content-type': 'application/json', authorization: `Bearer ${TOKEN}` },
    ...(body !== undefined && { body: JSON.stringify(body) }),
    signal: AbortSignal.timeout(2_000),
  });
  check(response.status === 200, `${method} ${path}: ${response.status}`);
  return response.text();
}

async function startGroup(stage, builds, addresses, isFirstStart) {
  const controls = builds.map((build, index) =>
    stage.start(build, 'group', {
      name: `control-${index}`,
      zone: `zone-${index}`,
      zones: ['zone-0', 'zone-1', 'zone-2'],
      dataFolder: join(stage.folder, `control-${index}`),
      linkAddress: addresses.links[index],
      callAddress: addresses.calls[index],
      seeds: addresses.links,
      operatorToken: TOKEN,
      isFirstStart,
    }),
  );
  return Promise.all(controls);
}

async function startIngress(stage, build, addresses) {
  return stage.start(build, 'ingress', {
    name: 'balancer-1',
    zone: 'zone-0',
    packetAddress: addresses.packet,
    peerAddress: addresses.peer,
    readyAddress: addresses.ready,
    metricsAddress: addresses.metrics,
    controlSeeds: addresses.links,
  });
}

async function groupAddresses() {
  const all = await freeAddresses(2 * CONTROL_COUNT + 4);
  const [packet, peer, ready, metrics] = all.slice(2 * CONTROL_COUNT);
  const links = all.slice(0, CONTROL_COUNT);
  return {
    links,
    calls: all.slice(CONTROL_COUNT, 2 * CONTROL_COUNT),
    packet,
    peer,
    ready,
    metrics,
  };
}

function heartbeat(backend, sequence, isDraining = false) {
  return {
    service: 'authd',
    address: `${HOST}:${backend.address.port}`,
    zone: backend.zone,
    instance: backend.instance,
    sequence,
    isDraining,
  };
}

function beat(addresses, backend, sequence, isDraining) {
  const path = `/v1/backends/${backend.id}`;
  return eventually(`a heartbeat of ${backend.id}`, async () => {
    const body = heartbeat(backend, sequence, isDraining);
    const [first] = addresses.calls;
    return (await call(first, 'PUT', path, body)) ?? '';
  });
}

function ctlWords(addresses, ...words) {
  const flags = addresses.calls.flatMap((control) => ['--control', control]);
  return ['ctl', ...flags, '--token', TOKEN, '--json', ...words];
}

/**
 * Opens a flow from a socket of its own: a balancer takes a second open from the same one for a copy of the first.
 * @returns what came at which back end
 */
async function openFlow(packets, backends, addresses, sequence) {
  const caller = await bindSocket();
  const open = packets.sealPacket({
    kind: 'open',
    from: caller.address,
    to: { host: '198.18.0.1', port: 443 },
    token: 0,
    copyNumber: 0,
    acceptNumber: 0,
    requestId: 0,
    sequence,
    acknowledged: 0,
    dataLength: 0,
  });
  const ways = backends.map((backend) => ({
    ...backend,
    fits: (datagram) => {
      const { packet, instance } = packets.decodeForBackend(datagram) ?? {};
      const isThis = packet?.kind === 'open' && packet.sequence === sequence;
      return isThis ? { open, packet, instance, backend } : undefined;
    },
  }));
  const datagram = packets.encodePacket(open);
  const arrived = [];
  const collectors = ways.map(({ socket, fits }) => {
    const collect = (received) => {
      const found = fits(received);
      if (found !== undefined) arrived.push(found);
    };
    socket.on('message', collect);
    return () => socket.off('message', collect);
  });
  try {
    return await eventually('an open at a back end', () => {
      const { host, port } = addressOf(addresses.packet);
      caller.socket.send(datagram, port, host);
      return arrived[0];
    });
  } finally {
    collectors.forEach((stop) => stop());
    caller.socket.close();
  }
}

/** A group of one build, or of several, and a balancer; then the group again as another build on the same folders. */
async function pairRegistered({ packets, groupBuilds, ingressBuild, laterBuild, here }) {
  const stage = createStage();
  const sockets = [];
  try {
    const addresses = await groupAddresses();
    const controls = await startGroup(stage, groupBuilds, addresses, true);
    await startIngress(stage, ingressBuild, addresses);
    const declare = ctlWords(addresses, 'apply', join(here, 'examples/declared/config-2.yaml'));
    await eventually('a configuration', () => stage.run(groupBuilds[0], declare));

    const caller = await bindSocket();
    const backends = await Promise.all(
      ['a', 'b'].map(async (name, index) => ({
        ...(await bindSocket()),
        id: `backend-${name}`,
        zone: 'zone-0',
        instance: `00000000000000a${index + 1}`,
      })),
    );
    sockets.push(caller, ...backends);
    const [kept, drained] = backends;
    await beat(addresses, kept, 1);
    await beat(addresses, drained, 1);
    const first = await openFlow(packets, backends, addresses, 1);
    check(first.packet.token !== 0, 'the open carries no token');
    const data = packets.sealPacket({ ...first.open, kind: 'data', token: first.packet.token });
    await answerTo(
      caller,
      addresses.packet,
      packets.encodePacket(data),
      first.backend,
      (datagram) => (packets.decodeForBackend(datagram)?.packet.kind === 'data' ? true : undefined),
    );

    await beat(addresses, drained, 2, true);
    await beat(addresses, kept, 2);
    await sleep(1_000);
    for (let sequence = 10; sequence < 10 + DRAINED_OPENS; sequence += 1) {
      const { backend } = await openFlow(packets, backends, addresses, sequence);
      check(backend.id === kept.id, 'a draining back end got a new flow');
    }
    const metrics = await (await fetch(`http://${addresses.metrics}/metrics`)).text();
    check(metrics.includes('amberlift_ingress_config_version 2'), 'another version is in force');
    check(
      /amberlift_ingress_opens_total\{how="chosen"\} [1-9]/.test(metrics),
      'no open is counted',
    );

    await eventually('an evacuation', () =>
      stage.run(groupBuilds[0], ctlWords(addresses, 'evacuate', 'zone-0')),
    );
    const refused = packets.sealPacket({
      ...first.open,
      from: caller.address,
      sequence: 1_000,
    });
    await answerTo(caller, addresses.packet, packets.encodePacket(refused), caller, (datagram) =>
      packets.decodePacket(datagram)?.kind === 'reset' ? true : undefined,
    );

    await Promise.all(controls.map((control) => stage.end(control)));
    await startGroup(
      stage,
      groupBuilds.map(() => laterBuild),
      addresses,
      false,
    );
    const config = await eventually('the configuration from the folders', async () =>
      JSON.parse(await stage.run(laterBuild, ctlWords(addresses, 'show', 'config'))),
    );
    check(config.version === 2, `version ${config.version} was found`);
    const { zones } = JSON.parse(await stage.run(laterBuild, ctlWords(addresses, 'show', 'zones')));
    const zone = zones.find(({ zone: name }) => name === 'zone-0');
    check(zone?.isEvacuated === true && zone.orders === 1, 'the order for the zone was lost');
    await stage.run(laterBuild, ctlWords(addresses, 'readmit', 'zone-0'));
    await beat(addresses, drained, 3);
    await beat(addresses, kept, 3);
    await sleep(1_000);
    for (let sequence = 2_000; sequence < 2_000 + DRAINED_OPENS; sequence += 1) {
      const { backend } = await openFlow(packets, backends, addresses, sequence);
      check(backend.id === kept.id, 'the departure was lost with the restart');
    }
  } finally {
    sockets.forEach(({ socket }) => socket.close());
    stage.close();
  }
}

// Back ends that operators manage.

const ADMIN = { adminToken: 'admin-token', operators: [{ name: 'tarjeta', token: TOKEN }] };
const CLUSTER_KEY = 'pairing-cluster-key';

function startControl(stage, build, { link, operator }) {
  return stage.start(build, 'control', {
    nodeId: 'control-1',
    clusterKey: CLUSTER_KEY,
    dataFolder: join(stage.folder, 'control'),
    'control.linkAddress': link,
    'control.operatorAddress': operator,
    'control.adminToken': ADMIN.adminToken,
    'control.operators': ADMIN.operators,
  });
}

async function startBalancer(stage, build, address, link) {
  return stage.start(build, 'balancer', {
    nodeId: 'balancer-1',
    clusterKey: CLUSTER_KEY,
    'balancer.frontAddress': address,
    'balancer.controlAddresses': [link],
  });
}

function textOf({ host, port }) {
  return `${host}:${port}`;
}

async function pairManaged({ controlBuild, balancerBuild, laterBuild, here }) {
  const stage = createStage();
  try {
    const [link, operator, front] = await freeAddresses(3);
    const control = await startControl(stage, controlBuild, { link, operator });
    const fabric = await stage.startWith(here, 'fabric', ['--service', `${HOST}:0`]);
    const { serviceAddresses, returnAddress, platformAddress } = fabric.ready;
    const service = textOf(serviceAddresses[0]);
    const backend = await stage.startWith(here, 'backend', [
      ...['--service', 'authd', '--service-address', service],
      ...['--fabric', textOf(returnAddress)],
    ]);
    const ctl = (build, ...words) =>
      stage.run(build, ['ctl', '--control', operator, '--token', TOKEN, '--json', ...words]);
    const { address, healthAddress } = backend.ready;
    const add = `add backend to authd at ${textOf(address)} health ${textOf(healthAddress)} zone zone-a`;
    await eventually('a service', () => ctl(controlBuild, `define service authd at ${service}`));
    await ctl(controlBuild, add);
    await startBalancer(stage, balancerBuild, front, link);
    const list = [{ address: addressOf(front), zone: 'zone-a' }];
    const posted = await fetch(`http://${textOf(platformAddress)}/balancers`, {
      method: 'POST',
      body: JSON.stringify(list),
    });
    check(posted.ok, `the list of balancers: ${posted.status}`);
    await eventually('the service in force', async () => {
      const shown = await ctl(controlBuild, 'show services');
      return /"versionInForceEverywhere":\s*2/.test(shown) ? shown : undefined;
    });
    await sleep(1_000);
    await serve(stage, here, service);

    const before = await ctl(controlBuild, 'show services');
    await stage.end(control);
    await serve(stage, here, service);
    await startControl(stage, laterBuild, { link, operator });
    const after = await eventually('the services from the folder', () =>
      ctl(laterBuild, 'show services'),
    );
    const versionsOf = (text) => text.match(/"version":\s*\d+/g)?.join();
    check(versionsOf(before) === versionsOf(after), `before ${before}, after ${after}`);
    await ctl(laterBuild, 'drain backend 1');
    await eventually('the drain in force', async () => {
      const shown = await ctl(laterBuild, 'show backends');
      return /draining/.test(shown) ? shown : undefined;
    });
  } finally {
    stage.close();
  }
}

/** Callers of a service; each request must succeed. */
async function serve(stage, here, service) {
  const words = ['--service', 'authd', '--service-address', service];
  const printed = await stage.run(here, [
    'callers',
    ...words,
    ...['--sessions', '5', '--requests', '10', '--pause', '10', '--spread', '100'],
  ]);
  const outcomes = printed
    .trim()
    .split('\n')
    .filter((line) => line.includes('"outcome"'));
  const bad = outcomes.filter((line) => !/"type":\s*"answered"/.test(line));
  check(outcomes.length > 0, `callers printed ${printed.slice(0, 300)}`);
  check(bad.length === 0, `requests failed: ${bad.slice(0, 3).join(' ')}`);
}

async function main(oldBuild, newBuild) {
  const here = resolve(newBuild);
  const packets = await loadPackets(here);
  const builds = { old: resolve(oldBuild), new: here };
  const names = Object.keys(builds);
  const pairings = names.flatMap((control) =>
    names.map((balancer) => ({ control, balancer, later: control === 'old' ? 'new' : 'old' })),
  );
  const runs = [
    ...pairings.map(({ control, balancer, later }) => ({
      title: `group ${control}, ingress ${balancer}, folders read by ${later}`,
      run: () =>
        pairRegistered({
          packets,
          here,
          groupBuilds: Array.from({ length: CONTROL_COUNT }, () => builds[control]),
          ingressBuild: builds[balancer],
          laterBuild: builds[later],
        }),
    })),
    ...names.map((balancer) => ({
      title: `group old, old, new, ingress ${balancer}, folders read by new`,
      run: () =>
        pairRegistered({
          packets,
          here,
          groupBuilds: [builds.old, builds.old, builds.new],
          ingressBuild: builds[balancer],
          laterBuild: builds.new,
        }),
    })),
    ...pairings.map(({ control, balancer, later }) => ({
      title: `control ${control}, balancer ${balancer}, folder read by ${later}`,
      run: () =>
        pairManaged({
          here,
          controlBuild: builds[control],
          balancerBuild: builds[balancer],
          laterBuild: builds[later],
        }),
    })),
  ];
  let failed = 0;
  for (const { title, run } of runs) {
    try {
      await run();
      console.log(`passed: ${title}`);
    } catch (error) {
      failed += 1;
      console.log(`FAILED: ${title}: ${error.message}`);
    }
  }
  console.log(`${runs.length - failed} passed, ${failed} failed`);
  process.exitCode = failed === 0 ? 0 : 1;
}

if (process.argv[1] !== undefined && basename(process.argv[1]) === 'pairings.mjs') {
  const cli = cac('pairings');
  cli
    .command('', 'Run the programs of two builds together')
    .option('--old <folder>', 'A checkout that is built')
    .option('--new <folder>', 'Another one')
    .action(({ old: oldBuild, new: newBuild }) => {
      if (oldBuild === undefined || newBuild === undefined) {
        console.error('Needed: --old FOLDER --new FOLDER');
        process.exitCode = 2;
        return undefined;
      }
      return main(oldBuild, newBuild);
    });
  cli.help();
  cli.parse();
}
