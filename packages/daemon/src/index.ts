/** The entry host as a library, for tests and benchmarks. */

export {EntryHost, type EntryHostOptions} from './context/entry-host.js';
export {
	loadSettings,
	parseSettings,
	type LoadedSettings,
} from './settings/load-settings.js';
export type {Settings} from './settings/settings.js';
