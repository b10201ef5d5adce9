/** Bundles the programs for the platform into `target/`; one file a program. */
import { bundlePrograms } from './bundle-programs.mjs';

/**
 * V8 keeps the text of a program in memory, so it is kept short.
 * Names stay, for stack traces.
 */
const smaller = { minifyWhitespace: true, minifySyntax: true };
const names = await bundlePrograms('platform/bin', 'target', smaller);
console.log(`built ${names.length} programs into target/`);
