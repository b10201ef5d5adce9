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

type SoakSize = Omit<SoakSettings, 'seeds'>;

const usualSize: SoakSize = {
  gatewayCount: 3,
  engineCount: 8,
  callerCount: 12,
  duration: 12_000,
  meanFaultInterval: 500,
};

/** `size`: what a soak has by default in place of the usual size. */
export function readSoakSettings(size: Partial<SoakSize> = {}): SoakSettings {
  const defaults = { ...usualSize, ...size };
  const firstSeed = readNumber('FIRST_SEED', 1);
  return {
    seeds: Array.from({ length: readNumber('SEEDS', 2) }, (_, index) => firstSeed + index),
    gatewayCount: readNumber('GATEWAYS', defaults.gatewayCount),
    engineCount: readNumber('ENGINES', defaults.engineCount),
    callerCount: readNumber('CALLERS', defaults.callerCount),
    duration: readNumber('MILLISECONDS', defaults.duration),
    meanFaultInterval: readNumber('FAULT_INTERVAL', defaults.meanFaultInterval),
  };
}

function readNumber(name: string, usual: number): number {
  return Number(process.env[`PISTACHIOSPOKE_SOAK_${name}`] ?? usual);
}
