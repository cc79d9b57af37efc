/**
 * Bundles the entry process of the platform into three files, so that it starts quickly: a small one
 * that listens, one with everything else, and the histograms that only hosts with a hedge limit load.
 */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const getPath = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Keeps `serve` in a separate file, which the first file loads once it listens. */
const externalServe = {
	name: 'external-serve',
	setup({onResolve}) {
		// Esbuild passes the filters to Go's regexp package, which doesn't support JavaScript flags.
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /\/serve\.js$/}, () => ({
			path: './serve.cjs',
			external: true,
		}));
	},
};

/** Keeps the histograms in a separate file, which a host that hedges loads. */
const externalHistogram = {
	name: 'external-histogram',
	setup({onResolve}) {
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /^hdr-histogram-js\/dist/}, ({kind, path}) =>
			kind === 'entry-point'
				? undefined
				: {
						path: `./${path.split('/').at(-1).replace('.js', '.cjs')}`,
						external: true,
					},
		);
	},
};

/** Replaces undici's HTTP/2 client with a stub. */
const http2Stub = {
	name: 'http2-stub',
	setup({onResolve}) {
		// eslint-disable-next-line require-unicode-regexp
		onResolve({filter: /\/client-h2\.js$/}, () => ({
			path: getPath('no-http2.js'),
		}));
	},
};

await build({
	entryPoints: [
		'platform/src/bin/bilberryscaled.ts',
		'platform/src/serve.ts',
		'hdr-histogram-js/dist/JsHistogramFactory.js',
	],
	entryNames: '[name]',
	outdir: 'target',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	// The ES module loader adds 25 ms and 1.5 MB to each start.
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
	plugins: [externalServe, externalHistogram, http2Stub],
});
