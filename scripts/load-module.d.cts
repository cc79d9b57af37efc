/** Types of `load-module.cjs`. */

import type {Script} from 'node:vm';

export function getCodeCacheFile(file: string): string;
export function loadModule(file: string): {
	readonly script: Script;
	readonly exports: unknown;
};
