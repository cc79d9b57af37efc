/** The settings in force, some of which can change without a restart. */

import {isDeepStrictEqual} from 'node:util';
import type {GatewaySettings} from './gateway-settings.js';

/** The result of applying settings that were read again. */
export type SettingsChange = {
	/** The changed settings that are in force now. */
	readonly taken: ReadonlyArray<keyof GatewaySettings>;
	/** The changed settings that take effect only after a restart. */
	readonly needsRestart: ReadonlyArray<keyof GatewaySettings>;
};

const reloadableKeys = new Set<keyof GatewaySettings>([
	'seeds',
	'retryBound',
	'allotmentBound',
	'warmUpBound',
	'questionsPerTargetSecond',
	'maxAccountsAgeMs',
	'maxChangeDelayMs',
	'recoveryMs',
	'shutdownMs',
	'isFirstStart',
]);

/** Holds the settings in force. */
export class LiveSettings {
	#current: GatewaySettings;

	/**
	 * @param settings - The settings at the start.
	 */
	constructor(settings: GatewaySettings) {
		this.#current = settings;
	}

	/** Gets the settings in force. */
	get current(): GatewaySettings {
		return this.#current;
	}

	/**
	 * Applies the settings that can change without a restart.
	 *
	 * @param next - The settings as they were read again.
	 * @returns Which changed settings were applied and which need a restart.
	 */
	apply(next: GatewaySettings): SettingsChange {
		const keys = Object.keys({
			...this.#current,
			...next,
		}) as Array<keyof GatewaySettings>;
		const changed = keys.filter(
			(key) => !isDeepStrictEqual(next[key], this.#current[key]),
		);
		const {
			seeds,
			retryBound,
			allotmentBound,
			warmUpBound,
			questionsPerTargetSecond,
			shutdownMs,
		} = next;
		const {maxAccountsAgeMs, maxChangeDelayMs, recoveryMs, isFirstStart} = next;
		this.#current = {
			...this.#current,
			seeds,
			retryBound,
			...(allotmentBound !== undefined && {allotmentBound}),
			...(warmUpBound !== undefined && {warmUpBound}),
			questionsPerTargetSecond,
			maxAccountsAgeMs,
			maxChangeDelayMs,
			recoveryMs,
			shutdownMs,
			isFirstStart,
		};
		return {
			taken: changed.filter((key) => reloadableKeys.has(key)),
			needsRestart: changed.filter((key) => !reloadableKeys.has(key)),
		};
	}
}
