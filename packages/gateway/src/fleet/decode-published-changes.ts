/** Decodes the changes that another host sends. */

import type {
	PublishedChange,
	PublishedChanges,
} from '../snapshot/snapshot-source.js';

type RawFields = Readonly<Record<string, unknown>>;

/**
 * Decodes and checks a host's response to a read.
 *
 * @param value - The result in the response. Hosts of an earlier version send no era, no hosts on the way, and not how long they held the request.
 * @returns The changes; undefined if a field is missing or has the wrong type.
 */
export function decodePublishedChanges(
	value: unknown,
): PublishedChanges | undefined {
	if (!isTable(value)) {
		return undefined;
	}

	const {isWhole, changes, era = 0, revision, ageMs, holdMs} = value;
	const {heldMs = 0, via = [], viaAgesMs = [], confirmationCount} = value;
	const areFieldsValid =
		typeof isWhole === 'boolean' &&
		isCount(era) &&
		isCount(revision) &&
		isDuration(ageMs) &&
		isDuration(heldMs) &&
		isDuration(holdMs) &&
		isStringArray(via) &&
		isDurationArray(viaAgesMs) &&
		(confirmationCount === undefined || isCount(confirmationCount));
	return areFieldsValid &&
		Array.isArray(changes) &&
		changes.every((change) => isChange(change))
		? {
				isWhole,
				changes,
				era,
				revision,
				ageMs,
				heldMs,
				holdMs,
				via,
				viaAgesMs,
				...(confirmationCount !== undefined && {confirmationCount}),
			}
		: undefined;
}

/** Checks an item; a removal has no text. */
function isChange(value: unknown): value is PublishedChange {
	return (
		isTable(value) &&
		typeof value.name === 'string' &&
		(value.text === undefined || typeof value.text === 'string') &&
		isCount(value.revision)
	);
}

function isStringArray(value: unknown): value is string[] {
	return (
		Array.isArray(value) && value.every((entry) => typeof entry === 'string')
	);
}

function isDurationArray(value: unknown): value is number[] {
	return Array.isArray(value) && value.every((entry) => isDuration(entry));
}

function isTable(value: unknown): value is RawFields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isDuration(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
