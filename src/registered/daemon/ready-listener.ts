/**
 * @file Whether new flows may be sent to a balancer, over HTTP: 200 while they may, 503 while it starts or stops.
 * Routers that ask find a balancer that is not ready before it refuses a flow.
 */
import type { RequestListener } from 'node:http';

const READY = 200;
const NOT_READY = 503;

/**
 * @param isReady called for each request
 * @returns the listener of the HTTP server
 */
export function createReadyListener(isReady: () => boolean): RequestListener {
  return (_request, response) => {
    response.writeHead(isReady() ? READY : NOT_READY, { 'content-length': 0 });
    response.end();
  };
}
