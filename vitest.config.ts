import { defineConfig } from 'vitest/config';

/** ts-results ships ES modules that Node's own loader refuses; vitest inlines it instead. */
export default defineConfig({
  test: {
    include: ['__tests__/**/*.test.ts'],
    server: { deps: { inline: ['ts-results'] } },
    testTimeout: 120_000,
    hookTimeout: 120_000,
  },
});
