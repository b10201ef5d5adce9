/** Size and length of a soak; longer and larger ones are started by hand, see docs/DEVELOPERS.md. Times in milliseconds. */

export interface SoakSettings {
  readonly seeds: readonly number[];
  readonly gatewayCount: number;
  readonly engineCount: number;
  readonly callerCount: number;
  readonly duration: number;
  readonly meanFaultInterval: number;
}

/** Groups that must be open before the first request; more are formed by demand. */
export const initialGroups = 2;
/** Longer than a request may wait and run. */
export const grace = 5000;
/** Time without faults in which callers must be served again. */
export const recoveryTime = 8000;

export function readSoakSettings(defaultEngineCount: number): SoakSettings {
  const firstSeed = readNumber('FIRST_SEED', 1);
  return {
    seeds: Array.from({ length: readNumber('SEEDS', 2) }, (_, index) => firstSeed + index),
    gatewayCount: readNumber('GATEWAYS', 3),
    engineCount: readNumber('ENGINES', defaultEngineCount),
    callerCount: readNumber('CALLERS', 12),
    duration: readNumber('MILLISECONDS', 12_000),
    meanFaultInterval: readNumber('FAULT_INTERVAL', 500),
  };
}

function readNumber(name: string, usual: number): number {
  return Number(process.env[`PISTACHIOSPOKE_SOAK_${name}`] ?? usual);
}
