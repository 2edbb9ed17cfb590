/**
 * @file A thread that sends back each byte that it gets over loopback TCP, to measure a bare round trip.
 */
import { createServer, type AddressInfo } from 'node:net';
import { parentPort } from 'node:worker_threads';

const server = createServer((socket) => {
  socket.setNoDelay(true);
  socket.pipe(socket);
});
server.listen(0, '127.0.0.1', () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
