import { caughtSignals } from '../common/caught-signals.js';
import { createEntropySource, createLogger, runProcess, systemClock } from '../common/index.js';
import { createGatewayParts } from '../gateway/index.js';
import { gatewaySettingsSchema, readProcessSettings } from '../settings/index.js';

/** Runs a gateway, which owns each caller's request until its single final answer. */

const settings = readProcessSettings(
  'pistachiospoke-gateway',
  "Takes callers' requests and brings each to a group or an upstream.",
  gatewaySettingsSchema,
);
const logger = createLogger(settings.name, settings.log.level);
const clock = systemClock;
const random = createEntropySource();
await runProcess(createGatewayParts({ settings, clock, random, logger }), logger, caughtSignals);
