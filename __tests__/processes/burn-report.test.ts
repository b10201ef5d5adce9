import { readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { afterEach, describe, expect, it } from 'vitest';
import { z } from 'zod';

import { Fleet, waitFor } from '../support/index.js';

/** `pistachiospoke report burn` against gateways that run, one of which is stopped. */

const reportSchema = z.object({
  answered: z.array(z.object({ gateway: z.string() })),
  unanswered: z.array(z.object({ gateway: z.string(), reason: z.string() })),
  unrecorded: z.number(),
  targets: z.array(
    z.object({
      target: z.string(),
      outcomes: z.object({ whole: z.number(), failed: z.number(), notRun: z.number() }),
    }),
  ),
});

type Report = z.infer<typeof reportSchema>;

let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.stop();
  fleet = undefined;
});

async function readReport(running: Fleet): Promise<Report> {
  const { exit, output } = await running.runCommand(['report', 'burn', '--json']);
  expect(exit.code).toBe(0);
  return reportSchema.parse(JSON.parse(output));
}

function findOutcomes(report: Report) {
  return report.targets.find(({ target }) => target === 'demo-llm')?.outcomes;
}

/** Sends requests until one is answered with the status; returns how many were answered with each. */
async function sendUntil(running: Fleet, gateway: number, status: number) {
  const counts = new Map<number, number>();
  await waitFor(`an answer ${status} by gateway ${gateway}`, async () => {
    const response = await running.chat({ gateway });
    await response.text();
    counts.set(response.status, (counts.get(response.status) ?? 0) + 1);
    return response.status === status;
  });
  return counts;
}

async function sendMany(running: Fleet, gateway: number, count: number): Promise<void> {
  for (let request = 0; request < count; request += 1) {
    const response = await running.chat({ gateway });
    await response.text();
    expect(response.status).toBe(200);
  }
}

describe('the burn report over processes', () => {
  it('adds up what callers got from all gateways', async () => {
    const running = await Fleet.start({ gateways: 2, serviceHosts: 0 });
    fleet = running;
    const before = findOutcomes(await readReport(running));
    await sendMany(running, 1, 5);
    await sendMany(running, 2, 3);
    const after = findOutcomes(await readReport(running));
    expect(after).toEqual({ ...before, whole: (before?.whole ?? 0) + 8 });

    running.list('engine').forEach(({ program }) => {
      program.signal('SIGKILL');
    });
    const counts = await sendUntil(running, 1, 503);
    const withoutEngines = findOutcomes(await readReport(running));
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    expect(withoutEngines?.notRun).toBe((after?.notRun ?? 0) + (counts.get(503) ?? 0));
    expect(sumOutcomes(withoutEngines)).toBe(sumOutcomes(after) + total);
  });

  // Symptom: a service looks well while half of its callers get nothing. Sequence: a gateway is killed; the report is asked for.
  // Cause: a sum over those that answer only, which does not say who did not.
  it('names a gateway that does not answer', async () => {
    const running = await Fleet.start({ gateways: 2, serviceHosts: 0 });
    fleet = running;
    await sendMany(running, 2, 3);
    const both = await readReport(running);
    expect(both.answered.map(({ gateway }) => gateway).sort()).toEqual(['gateway-1', 'gateway-2']);
    expect(both.unanswered).toEqual([]);

    const lost = running.member('gateway-2');
    lost.program.signal('SIGKILL');
    await lost.program.waitForExit();
    const alone = await readReport(running);
    expect(alone.answered.map(({ gateway }) => gateway)).toEqual(['gateway-1']);
    expect(alone.unanswered.map(({ gateway }) => gateway)).toEqual([lost.address]);
    expect(findOutcomes(alone)?.whole).toBeLessThan(findOutcomes(both)?.whole ?? 0);

    const page = join(running.group.folder, 'burn.html');
    const { exit, output } = await running.runCommand(['report', 'burn', '--html', page]);
    expect(exit.code).toBe(0);
    expect(output).toContain('DID NOT ANSWER');
    expect(await readFile(page, 'utf8')).toContain(lost.address);
  });
});

function sumOutcomes(outcomes: ReturnType<typeof findOutcomes>): number {
  const { whole, failed, notRun } = outcomes ?? { whole: 0, failed: 0, notRun: 0 };
  return whole + failed + notRun;
}
