/** Typed access to the flags of a command line. */

import {UsageError} from '../output/usage-error.js';

/** The flags as parsed by cac. */
export class Flags {
	readonly #values: Readonly<Record<string, unknown>>;

	/**
	 * @param values - The values by flag name in camel case.
	 */
	constructor(values: Readonly<Record<string, unknown>>) {
		this.#values = values;
	}

	/**
	 * Checks whether a boolean flag is set.
	 *
	 * @param name - The name in camel case.
	 * @returns True if the flag is set.
	 */
	isSet(name: string): boolean {
		return this.#values[name] === true;
	}

	/**
	 * Gets all values of a flag that can be repeated.
	 *
	 * @param name - The name in camel case.
	 * @returns The values in the order of the command line.
	 */
	getStrings(name: string): readonly string[] {
		const value = this.#values[name];
		if (value === undefined || value === false) {
			return [];
		}

		return (Array.isArray(value) ? value : [value]).map(String);
	}

	/**
	 * Gets the value of an optional flag.
	 *
	 * @param name - The name in camel case.
	 * @returns The value, or undefined if the flag is not set.
	 * @throws UsageError if the flag is repeated.
	 */
	getString(name: string): string | undefined {
		const values = this.getStrings(name);
		if (values.length > 1) {
			throw new UsageError(
				`${formatFlag(name)}: given ${values.length} times; only one value is allowed`,
			);
		}

		return values[0];
	}

	/**
	 * Gets the value of a required flag.
	 *
	 * @param name - The name in camel case.
	 * @returns The value.
	 * @throws UsageError if the flag is missing or repeated.
	 */
	getStringOrThrow(name: string): string {
		const value = this.getString(name);
		if (value === undefined) {
			throw new UsageError(`${formatFlag(name)} is required`);
		}

		return value;
	}

	/**
	 * Gets the value of an optional numeric flag.
	 *
	 * @param name - The name in camel case.
	 * @param isAllowed - Checks whether a number is allowed.
	 * @param requirement - The allowed values, for the error message.
	 * @returns The number, or undefined if the flag is not set.
	 * @throws UsageError if the flag is repeated or the value is not an allowed number.
	 */
	getNumber(
		name: string,
		isAllowed: (value: number) => boolean,
		requirement: string,
	): number | undefined {
		const text = this.getString(name);
		if (text === undefined) {
			return undefined;
		}

		const value = Number(text);
		if (!Number.isFinite(value) || !isAllowed(value)) {
			throw new UsageError(
				`${formatFlag(name)}: must be ${requirement}; seen: ${text}`,
			);
		}

		return value;
	}
}

function formatFlag(name: string): string {
	return `--${name.replaceAll(/[A-Z]/gv, (letter) => `-${letter.toLowerCase()}`)}`;
}
