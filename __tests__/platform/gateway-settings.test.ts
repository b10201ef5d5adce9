import { describe, expect, it } from 'vitest';

import { platformGatewaySettingsSchema } from '../../platform/gateway-settings.js';
import { parseSettings } from '../../src/settings/index.js';

function readOrder(contracts: string): string {
  const text = `{
    "name": "gateway-1",
    "failureDomain": "bole",
    "listen": "10.0.0.4:8400",
    "readiness": "10.0.0.4:8401",
    "seeds": { "addresses": ["10.0.0.1:8501"], "port": 7340 }
    ${contracts}
  }`;
  const settings = parseSettings(platformGatewaySettingsSchema, 'gateway.jsonc', text).unwrap();
  return settings.admission.order;
}

describe("settings of the platform's gateway", () => {
  /** Guards against a changed order on deployments that do not ask for it. */
  it.each(['', ', "contracts": []', ', "contracts": ["places"]'])(
    'keep the newest-first order with %s',
    (contracts) => {
      expect(readOrder(contracts)).toBe('newest');
    },
  );

  /** Guards against a deployment of competing callers that runs with the order of the others. */
  it('order by urgency where callers compete for capacity', () => {
    expect(readOrder(', "contracts": ["places", "pressure"]')).toBe('urgency');
  });
});
