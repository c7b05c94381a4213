import { digest } from '../../src/core/auth/index.ts'
import type { Deployment } from '../../src/core/deployment/index.ts'

type Route = Deployment['routes'][number]

/** Returns a route with defaults, overridden by `changes`. */
export function route (changes: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'a.example',
    prefix: '/p/',
    idempotent: true,
    priority: 1,
    open: false,
    objectiveMs: 500,
    timeoutMs: 2000,
    maxAttempts: 2,
    destinations: [{ service: 's', weight: 1 }],
    ...changes
  }
}

/** Returns a deployment with one route, two services and one workspace, overridden by `changes`. */
export function deployment (version: number, changes: Partial<Deployment> = {}): Deployment {
  return {
    version,
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    routes: [route()],
    services: [{ name: 's', maxConnections: 10 }, { name: 't', maxConnections: 10 }],
    workspaces: [{ name: 'w', keys: [digest('key-of-w')], rate: 10, burst: 10 }],
    ...changes
  }
}
