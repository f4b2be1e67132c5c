/** A route as the operator writes it. */
export function route(name, kind, service, changes = {}) {
  return {
    name,
    host: "h.example",
    prefix: `/${name}/`,
    kind,
    timeoutMs: 2_000,
    targetLatencyMs: 387,
    priority: 2,
    service,
    maxAttempts: kind === "unsafe" ? 1 : 2,
    public: false,
    ...changes,
  };
}

/** A configuration as the operator writes it. */
export function configuration(version, routes, services, more) {
  return {
    version,
    routes,
    services: services.map((name) => ({
      name,
      healthPath: "/healthz",
      maxConnections: 96,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...more,
  };
}
