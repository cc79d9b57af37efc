/** The flags of a command line, read one by one. */

import {UsageError} from '../output/usage-error.js';

/** The flags as the library parsed them. */
export class Flags {
	readonly #values: Readonly<Record<string, unknown>>;

	/**
	 * @param values - The values by the flags' names in camel case.
	 */
	constructor(values: Readonly<Record<string, unknown>>) {
		this.#values = values;
	}

	/**
	 * Tells whether a switch is on.
	 *
	 * @param name - The name in camel case.
	 * @returns True if it is.
	 */
	isSet(name: string): boolean {
		return this.#values[name] === true;
	}

	/**
	 * Gets all values of a flag that may stand more than once.
	 *
	 * @param name - The name in camel case.
	 * @returns The values in their order.
	 */
	getStrings(name: string): readonly string[] {
		const value = this.#values[name];
		if (value === undefined || value === false) {
			return [];
		}

		return (Array.isArray(value) ? value : [value]).map(String);
	}

	/**
	 * Gets the value of a flag.
	 *
	 * @param name - The name in camel case.
	 * @returns The value, if the flag stands.
	 * @throws UsageError if it stands more than once.
	 */
	getString(name: string): string | undefined {
		const values = this.getStrings(name);
		if (values.length > 1) {
			throw new UsageError(
				`${formatFlag(name)}: stands ${values.length} times, once is allowed`,
			);
		}

		return values[0];
	}

	/**
	 * Gets the value of a flag that must stand.
	 *
	 * @param name - The name in camel case.
	 * @returns The value.
	 * @throws UsageError if it does not stand.
	 */
	getStringOrThrow(name: string): string {
		const value = this.getString(name);
		if (value === undefined) {
			throw new UsageError(`${formatFlag(name)}: is missing`);
		}

		return value;
	}

	/**
	 * Gets the number that a flag gives.
	 *
	 * @param name - The name in camel case.
	 * @param isAllowed - Tells whether a number is allowed.
	 * @param allowed - What is allowed, for the message.
	 * @returns The number, if the flag stands.
	 * @throws UsageError if it is not an allowed number.
	 */
	getNumber(
		name: string,
		isAllowed: (value: number) => boolean,
		allowed: string,
	): number | undefined {
		const text = this.getString(name);
		if (text === undefined) {
			return undefined;
		}

		const value = Number(text);
		if (!Number.isFinite(value) || !isAllowed(value)) {
			throw new UsageError(
				`${formatFlag(name)}: must be ${allowed}; seen: ${text}`,
			);
		}

		return value;
	}
}

function formatFlag(name: string): string {
	return `--${name.replaceAll(/[A-Z]/gv, (letter) => `-${letter.toLowerCase()}`)}`;
}
