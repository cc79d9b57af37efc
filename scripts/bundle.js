/** Bundles the entry process of the platform: a small file that listens, and the rest, for a quick start. */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const getPath = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Leaves `serve` to a file of its own, which the first file loads once it listens. */
const serveApart = {
	name: 'serve-apart',
	setup({onResolve}) {
		// The filters are handed to Go, which knows no flags.
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /\/serve\.js$/}, () => ({
			path: './serve.cjs',
			external: true,
		}));
	},
};

const withoutHttp2 = {
	name: 'without-http2',
	setup({onResolve}) {
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /\/client-h2\.js$/}, () => ({
			path: getPath('no-http2.js'),
		}));
	},
};

await build({
	entryPoints: ['platform/src/bin/bilberryscaled.ts', 'platform/src/serve.ts'],
	entryNames: '[name]',
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	// The loader of ES modules takes 25 ms and 1.5 MB more at each start.
	format: 'cjs',
	supported: {'dynamic-import': false},
	target: 'node20',
	conditions: ['source'],
	mainFields: ['module', 'main'],
	minifySyntax: true,
	legalComments: 'none',
	alias: {
		undici: getPath('undici-core.js'),
		'prom-client': getPath('prom-core.js'),
	},
	plugins: [serveApart, withoutHttp2],
});
