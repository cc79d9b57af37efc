/**
 * Bundles the entry process of the platform so that it starts quickly: a small file that listens, one with
 * everything else and its code cache, and the histograms that only hosts with a hedge limit load.
 */

import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';
import {makeCodeCache} from './make-code-cache.js';

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
	entryPoints: {
		bilberryscaled: 'platform/src/bin/bilberryscaled.ts',
		'serve-module': 'platform/src/serve.ts',
		serve: 'scripts/load-serve.cjs',
		'warm-up': 'platform/src/bin/warm-up.ts',

		JsHistogramFactory: 'hdr-histogram-js/dist/JsHistogramFactory.js',
	},
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
if (!makeCodeCache('target/serve-module.cjs')) {
	process.stderr.write('no code cache was made: hosts start more slowly\n');
}
