/** esbuild options shared by programs and benches: each bundle is one ES module that Node runs without node_modules. */
import { fileURLToPath } from 'node:url';

import { nodeFlags } from './node-flags.mjs';

const requireBanner =
  "import { createRequire as createRequireForBundle } from 'node:module';\n" +
  'const require = createRequireForBundle(import.meta.url);';

const assertModule = fileURLToPath(new URL('assert-without-source.cjs', import.meta.url));

/** Replaces `node:assert` in all bundled packages; the replacement itself uses Node's. */
const assertWithoutSource = {
  name: 'assert without source',
  setup(build) {
    build.onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) => {
      return importer === assertModule ? undefined : { path: assertModule };
    });
  },
};

export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  banner: { js: `#!/usr/bin/env -S node ${nodeFlags.join(' ')}\n${requireBanner}` },
  plugins: [assertWithoutSource],
  logLevel: 'warning',
};

/**
 * Options for programs on the platform's machines. V8 keeps the source text of a program in memory, so whitespace and syntax are
 * minified. Identifiers are kept for readable stack traces.
 */
export const deploymentOptions = { ...bundleOptions, minifyWhitespace: true, minifySyntax: true };
