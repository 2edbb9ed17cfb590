// Configurations as an operator writes them.
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 262_144,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** @param routes each with `name`, `host`, `port` and `service` */
export function configOf(version, routes, services = routes.map(({ service }) => service)) {
  return {
    version,
    routes: routes.map(({ name, host, port, service }) => ({
      name,
      host,
      pathPrefix: `/${port}/`,
      type: 'unsafe',
      timeoutMs: 2000,
      targetMs: 121,
      priority: 1,
      service,
      maxAttempts: 2,
    })),
    services: [...new Set(services)].map((name) => ({
      name,
      healthPath: '/health',
      maxConns: 2000,
      protocol: 'h1',
      tls: false,
    })),
    limits: LIMITS,
  };
}
