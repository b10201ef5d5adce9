/** esbuild options shared by programs and benches: each bundle is one ES module that Node runs without node_modules. */
const requireBanner =
  "import { createRequire as createRequireForBundle } from 'node:module';\n" +
  'const require = createRequireForBundle(import.meta.url);';

export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  mainFields: ['module', 'main'],
  banner: { js: `#!/usr/bin/env node\n${requireBanner}` },
  logLevel: 'warning',
};
