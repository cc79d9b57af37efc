/** Nested `describe` blocks and known failing tests, which uvu doesn't support itself. */

import {suite, type Test} from 'uvu';
import {isKnownRed} from './known-red.js';

type TestBody = () => void | Promise<void>;

type TestGroup = {
	readonly path: string;
	readonly tests: Test;
	testCount: number;
};

const openGroups: TestGroup[] = [];

/**
 * Groups tests; groups can be nested.
 *
 * @param name - The class, function or method under test.
 * @param body - Declares the tests and the nested groups.
 */
export function describe(name: string, body: () => void): void {
	const parent = openGroups.at(-1);
	const path = parent === undefined ? name : `${parent.path} > ${name}`;
	const group: TestGroup = {path, tests: suite(path), testCount: 0};
	openGroups.push(group);
	body();
	openGroups.pop();
	if (group.testCount > 0) {
		group.tests.run();
	}
}

/**
 * Declares a test in the innermost open group.
 *
 * @param name - The expected behaviour.
 * @param body - The test; it fails if it throws or rejects.
 * @throws Error if called outside of `describe`.
 */
export function it(name: string, body: TestBody): void {
	const group = openGroups.at(-1);
	if (group === undefined) {
		throw new Error(`The test "${name}" is declared outside of describe.`);
	}

	group.testCount++;
	const fullName = `${group.path} > ${name}`;
	group.tests(
		name,
		isKnownRed(fullName) ? reportKnownFailure(fullName, body) : body,
	);
}

/** Prints the failure of a test that is known to fail instead of failing the suite. */
function reportKnownFailure(fullName: string, body: TestBody): TestBody {
	return async () => {
		try {
			await body();
		} catch (error) {
			console.log(`\nKNOWN-RED ${fullName}: ${String(error)}`);
		}
	};
}
