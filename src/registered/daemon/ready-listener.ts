/**
 * @file HTTP readiness check of a balancer: 200 while it accepts new flows, 503 while it starts or stops.
 */
import type { RequestListener } from 'node:http';

const READY = 200;
const NOT_READY = 503;

/**
 * @param isReady called for each request
 * @returns the request listener for the HTTP server
 */
export function createReadyListener(isReady: () => boolean): RequestListener {
  return (_request, response) => {
    response.writeHead(isReady() ? READY : NOT_READY, { 'content-length': 0 });
    response.end();
  };
}
