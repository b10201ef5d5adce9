import type { EngineProfile, Route, RoutingDocument } from '../../src/routing/index.js';

/** Routing documents for tests. */

/** The figures of a profile in which simulated deployments differ. */
export interface EngineShape {
  readonly slots: number;
  readonly loadsPerSecond: number;
  /** Engines in a group of the large and of the small model. */
  readonly groupSizes: readonly [large: number, small: number];
}

export function createEngineProfile({
  slots,
  loadsPerSecond,
  groupSizes: [largeSize, smallSize],
}: EngineShape): EngineProfile {
  return {
    slots,
    openDuration: 300,
    loadsPerSecond,
    concurrentLoads: 6,
    stagedModels: 1,
    models: [
      {
        name: 'large',
        groupSize: largeSize,
        share: 0.5,
        pace: 1,
        loadDuration: 16_000,
        stagedJoinDuration: 1600,
      },
      {
        name: 'small',
        groupSize: smallSize,
        share: 0.5,
        pace: 0.6,
        loadDuration: 12_000,
        stagedJoinDuration: 1100,
      },
    ],
  };
}

export const engineProfile = createEngineProfile({
  slots: 24,
  loadsPerSecond: 3,
  groupSizes: [4, 2],
});

export const streamRoute: Route = {
  name: 'draft',
  host: 'desk.example',
  pathPrefix: '/draft/',
  kind: 'streaming',
  timeout: 6000,
  objective: 300,
  longestPause: 200,
  priority: 1,
  targets: [{ service: 'engines', weight: 1 }],
  attempts: 2,
  isPublic: false,
  isResumable: true,
};

export const lookupRoute: Route = {
  name: 'lookup',
  host: 'desk.example',
  pathPrefix: '/lookup/',
  kind: 'idempotent',
  timeout: 1200,
  priority: 2,
  targets: [{ service: 'desk', weight: 1 }],
  attempts: 2,
  isPublic: false,
  isResumable: false,
};

export const bookRoute: Route = {
  ...lookupRoute,
  name: 'book',
  pathPrefix: '/book/',
  kind: 'nonIdempotent',
};

export function createDocument(changes: Partial<RoutingDocument> = {}): RoutingDocument {
  return {
    version: 1,
    routes: [streamRoute, lookupRoute, bookRoute],
    services: [
      { name: 'engines', maximumConnections: 400, engine: engineProfile },
      { name: 'desk', maximumConnections: 50 },
    ],
    accounts: [{ name: 'branch', keys: ['key-1', 'key-2'], priority: 1 }],
    callers: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 65_536,
      headerTimeout: 3000,
      idleTimeout: 15_000,
    },
    source: 'the text of the operator',
    ...changes,
  };
}
