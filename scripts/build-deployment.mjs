/** Bundles the programs for the platform into `target/`, one file per program. */
import { bundlePrograms } from './bundle-programs.mjs';

/**
 * V8 keeps the source text of a program in memory, so whitespace and syntax are minified.
 * Identifiers are kept for readable stack traces.
 */
const smaller = { minifyWhitespace: true, minifySyntax: true };
const names = await bundlePrograms('platform/bin', 'target', smaller);
console.log(`built ${names.length} programs into target/`);
