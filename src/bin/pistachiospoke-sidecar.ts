import { caughtSignals } from '../common/caught-signals.js';
import { createEntropySource, createLogger, runProcess, systemClock } from '../common/index.js';
import { readProcessSettings, sidecarSettingsSchema } from '../settings/index.js';
import { SidecarProcess } from '../sidecar/index.js';

/** Runs a sidecar, which represents the upstream on its host. */

const settings = readProcessSettings(
  'pistachiospoke-sidecar',
  'Announces its host, holds leases, admits attempts and orders the upstream beside it.',
  sidecarSettingsSchema,
);
const logger = createLogger(settings.host, settings.log.level);
const sidecar = new SidecarProcess({
  settings,
  clock: systemClock,
  random: createEntropySource(),
  logger,
});
await runProcess(sidecar.listParts(), logger, caughtSignals);
