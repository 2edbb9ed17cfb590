/**
 * @file The publisher of a service's notices: numbers them from 1 on and hands each to all back ends
 * of the service. What a back end did not take is handed to it again before the next one.
 */
import type { Address } from '../common/address.js';
import { sendJson } from '../daemon/http-json.js';

const HTTP_TIMEOUT_MS = 2_000;

/** Publishes to the back ends of one service. */
export class NoticePublisher {
  private readonly payloads: string[] = [];
  /** How many notices each back end has taken, by its position. */
  private readonly taken: number[];

  /**
   * @param backends health addresses of the back ends
   */
  constructor(private readonly backends: readonly Address[]) {
    this.taken = backends.map(() => 0);
  }

  /** Publishes one notice; resolves once every back end was asked to take it. */
  async publish(payload: string): Promise<void> {
    this.payloads.push(payload);
    await Promise.all(this.backends.map((backend, position) => this.handOver(backend, position)));
  }

  private async handOver(to: Address, position: number): Promise<void> {
    for (const payload of this.payloads.slice(this.taken[position])) {
      const number = (this.taken[position] ?? 0) + 1;
      const body = { number, payload };
      const request = { to, method: 'POST', path: '/publish', body } as const;
      const response = await sendJson({ ...request, timeoutMs: HTTP_TIMEOUT_MS });
      if (response.isErr() || response.value.status !== 200) {
        return;
      }
      this.taken[position] = number;
    }
  }
}
