/** Loads a CommonJS file with V8's code cache, so that a process need not compile it again. */

'use strict';

const fs = require('node:fs');
const path = require('node:path');
const {Script} = require('node:vm');

// `wrap` of `node:module` would load the loader of ES modules.
const wrapperStart
	= '(function (exports, require, module, __filename, __dirname) {';
const wrapperEnd = '\n});';

/** Reads the code cache of a file; undefined if there is none. */
function readCodeCache(file) {
	try {
		return fs.readFileSync(getCodeCacheFile(file));
	} catch {
		return undefined;
	}
}

/**
 * Gets where the code cache of a file is expected.
 *
 * @param {string} file - The path of the CommonJS file.
 * @returns {string} The path of its code cache.
 */
function getCodeCacheFile(file) {
	return `${file}.cache`;
}

/**
 * Compiles and runs a CommonJS file. V8 ignores a code cache that another version or other flags have made.
 *
 * @param {string} file - The absolute path of the file.
 * @returns {{script: Script, exports: unknown}} The compiled script and what the file exports.
 */
function loadModule(file) {
	const script = new Script(`${wrapperStart}${fs.readFileSync(file, 'utf8')}${wrapperEnd}`, {
		filename: file,
		cachedData: readCodeCache(file),
	});
	const loaded = {exports: {}};
	script.runInThisContext()(
		loaded.exports,
		require,
		loaded,
		file,
		path.dirname(file),
	);
	return {script, exports: loaded.exports};
}

module.exports = {getCodeCacheFile, loadModule};
