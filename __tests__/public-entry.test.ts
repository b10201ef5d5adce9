import { describe, expect, it } from 'vitest';

import * as pistachiospoke from '../src/index.js';

describe('the public entry', () => {
  it('exports the decision cores and the processes', () => {
    expect(Object.keys(pistachiospoke)).toEqual(
      expect.arrayContaining([
        'AttemptController',
        'ConsensusNode',
        'ControlProcess',
        'ControlStateMachine',
        'DrainController',
        'HostHealth',
        'LeaseLead',
        'LeaseMember',
        'OrderController',
        'planPlacement',
        'RequestController',
        'resultCodes',
        'Router',
        'SidecarProcess',
        'WatchedStateTracker',
      ]),
    );
  });
});
