import { caughtSignals } from '../common/caught-signals.js';
import { createLogger, runProcess, systemClock } from '../common/index.js';
import { ControlProcess } from '../control/index.js';
import { controlSettingsSchema, readProcessSettings } from '../settings/index.js';

/** Runs a control host: configuration, placement and idempotency claims, with durable state. */

const settings = readProcessSettings(
  'pistachiospoke-control',
  'Keeps configuration, places groups and claims idempotency keys.',
  controlSettingsSchema,
);
const logger = createLogger(settings.name, settings.log.level);
const control = new ControlProcess({ settings, clock: systemClock, logger });
await runProcess(control.listParts(), logger, caughtSignals);
