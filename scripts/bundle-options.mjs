/** Options of esbuild that programs and benches share: one ES module each, run by Node without node_modules. */
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
