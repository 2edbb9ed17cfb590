/** @file Candidates for opens while configuration, health and lease change. */
import { test } from 'tap';
import {
  createBalancerState,
  type BalancerState,
} from '../../../src/managed/balancer/balancer-state.js';
import { applyConfigUpdate } from '../../../src/managed/balancer/config-tables.js';
import { defaultBalancerOptions } from '../../../src/managed/balancer/balancer-options.js';
import { takeBackendChanges } from '../../../src/managed/balancer/candidates.js';
import {
  explainBackend,
  recordAttempt,
  recordAttemptEnd,
  recordProbe,
} from '../../../src/managed/balancer/backend-evidence.js';
import { chooseBackend } from '../../../src/managed/balancer/choose-backend.js';
import { seededRandom } from '../../../src/shared/common/random.js';
import type { Backend, Service } from '../../../src/managed/control/routing-config.js';

const OPENS = 60;
const address = { host: '127.0.0.1', port: 5000 };
const service: Service = {
  id: 1,
  name: 'authd',
  owner: 'tarjeta',
  address,
  policy: 'adaptive',
  limits: {},
  version: 1,
};

class Balancer {
  nowMs = 0;
  readonly state: BalancerState = createBalancerState({
    ...defaultBalancerOptions,
    balancerId: 'balancer-1',
    zone: 'zone-a',
    controlAddresses: [],
    clusterKey: '',
  });
  private readonly random = seededRandom(1);
  private index = 0;

  constructor() {
    this.state.subscription.lease.expiresAtMs = Infinity;
  }

  get context() {
    return { nowMs: this.nowMs, random: this.random };
  }

  configure(backends: readonly Partial<Backend>[]): void {
    this.index += 1;
    const common = {
      address,
      healthAddress: address,
      zone: 'zone-a',
      adminState: 'active',
    } as const;
    applyConfigUpdate(this.state, {
      type: 'snapshot',
      to: { term: 1, index: this.index },
      services: [service],
      backends: backends.map((backend, position) => ({
        id: position + 1,
        serviceId: service.id,
        ...common,
        ...backend,
      })),
      keys: [],
    });
  }

  probe(backendId: number): void {
    this.nowMs += 500;
    const health = { incarnation: 1, state: 'ready' } as const;
    recordProbe(this.state, { backendId, health, load: undefined }, this.context);
  }

  /** Runs opens and returns the distinct IDs of the chosen back ends, sorted. */
  chosenBackends(outcome: 'accepted' | 'refused' | 'timed-out' = 'accepted'): number[] {
    const ids = new Set<number>();
    for (let count = 0; count < OPENS; count += 1) {
      const view = chooseBackend(this.state, this.open(), this.context);
      if (view !== undefined) {
        ids.add(view.backend.id);
        recordAttempt(this.state, view, this.context);
        recordAttemptEnd(this.state, view, outcome, undefined, this.context);
      }
    }
    return [...ids].sort((left, right) => left - right);
  }

  private open() {
    return {
      key: '',
      flowId: new Uint8Array(8),
      client: address,
      service,
      replyTo: address,
      receivedAtMs: 0,
      deadlineAtMs: Infinity,
      triedBackendIds: [],
      attemptEndsAtMs: Infinity,
    };
  }
}

test('candidates are the ready back ends of the service', async (t) => {
  const balancer = new Balancer();
  balancer.configure([{}, {}, { serviceId: 2 }, {}]);
  t.same(balancer.chosenBackends(), [], 'none before the first probe');
  [1, 2, 3].forEach((id) => balancer.probe(id));
  t.same(balancer.chosenBackends(), [1, 2], 'excludes the other service and the unprobed back end');
  balancer.configure([{ adminState: 'draining' }, {}, { serviceId: 2 }, {}]);
  takeBackendChanges(balancer.state);
  t.same(balancer.chosenBackends(), [2], 'a drain applies immediately with its configuration');
  t.match(takeBackendChanges(balancer.state), [{ backendId: 1, reason: 'operators-drain' }]);
  balancer.configure([{ adminState: 'draining' }]);
  t.same(balancer.chosenBackends(), [], 'removed back ends are not chosen');
});

test('busy back ends are chosen if none is ready', async (t) => {
  const balancer = new Balancer();
  balancer.configure([{}, {}]);
  [1, 2].forEach((id) => balancer.probe(id));
  t.same(balancer.chosenBackends('refused'), [1, 2]);
  t.same(
    [1, 2].map((id) => explainBackend(balancer.state, id, balancer.nowMs)?.state),
    ['busy', 'busy'],
  );
  t.same(balancer.chosenBackends(), [1, 2]);
});

test('without a lease, only back ends with a confirmed identity are candidates', async (t) => {
  const balancer = new Balancer();
  balancer.configure([{}, {}]);
  [1, 2].forEach((id) => balancer.probe(id));
  balancer.state.subscription.lease.expiresAtMs = 0;
  t.same(balancer.chosenBackends(), []);
  const confirmed = balancer.state.views.get(2);
  if (confirmed !== undefined) {
    confirmed.identityConfirmedAtMs = balancer.nowMs;
  }
  t.same(balancer.chosenBackends(), [2]);
});

test('each state change is reported once, with its reason', async (t) => {
  const balancer = new Balancer();
  balancer.configure([{}, {}, {}, {}]);
  [1, 2, 3, 4].forEach((id) => balancer.probe(id));
  t.equal(takeBackendChanges(balancer.state).length, 4);
  balancer.chosenBackends('timed-out');
  const changes = takeBackendChanges(balancer.state);
  t.equal(changes.length, 1, 'at most one of four is ejected');
  t.match(changes[0], { from: 'ready', to: 'down', reason: 'opens-time-out' });
  t.same(takeBackendChanges(balancer.state), []);
  const explained = explainBackend(balancer.state, changes[0]?.backendId ?? 0, balancer.nowMs);
  t.match(explained?.sentence, /opens sent there time out/);
  t.equal(explainBackend(balancer.state, 99, balancer.nowMs), undefined);
});
