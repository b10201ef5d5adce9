import { defineConfig } from 'vitest/config';

const shared = {
  /** ts-results ships ES modules that Node's own loader refuses; vitest inlines it instead. */
  server: { deps: { inline: ['ts-results'] } },
  testTimeout: 120_000,
  hookTimeout: 120_000,
};

/**
 * Tests with processes run one file at a time, after the others: dozens of programs beside property tests that take every core
 * would leave leases and heartbeats without processor time, and the verdict would depend on the machine's load.
 */
export default defineConfig({
  test: {
    projects: [
      {
        test: {
          ...shared,
          name: 'decisions',
          include: ['__tests__/**/*.test.ts'],
          exclude: ['__tests__/processes/**'],
          sequence: { groupOrder: 0 },
        },
      },
      {
        test: {
          ...shared,
          name: 'processes',
          include: ['__tests__/processes/**/*.test.ts'],
          fileParallelism: false,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
