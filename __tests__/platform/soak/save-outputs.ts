import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { RunningProgram } from '../../support/index.js';

/** Keeps what the programs of a soak have written, to trace a failure. Nothing is kept unless the environment names a folder. */

const folder = process.env.PISTACHIOSPOKE_SOAK_OUTPUT;

/** Writes a file for each start of a program, in the order of the starts. */
export async function saveOutputs(
  soak: string,
  programs: readonly RunningProgram[],
  summary: string,
): Promise<void> {
  if (folder === undefined) {
    return;
  }
  const target = join(folder, soak);
  await mkdir(target, { recursive: true });
  await writeFile(join(target, 'summary.txt'), summary);
  for (const [index, { label, output }] of programs.entries()) {
    await writeFile(join(target, `${index}-${label.replaceAll(' ', '-')}.log`), output);
  }
}
