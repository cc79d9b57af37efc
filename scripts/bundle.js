/** Bundles the entry process of the platform into one file, for a quick start. */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const undiciCore = fileURLToPath(new URL('undici-core.js', import.meta.url));

await build({
	entryPoints: ['platform/src/bin/bilberryscaled.ts'],
	outfile: 'target/bilberryscaled.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	conditions: ['source'],
	mainFields: ['module', 'main'],
	minifySyntax: true,
	legalComments: 'none',
	banner: {
		js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
	},
	alias: {undici: undiciCore},
});
