/** Nested `describe` blocks, which uvu itself does not have. */

import {suite, type Test} from 'uvu';
import {isKnownRed} from './known-red.js';

type TestBody = () => void | Promise<void>;

type Block = {
	readonly path: string;
	readonly tests: Test;
	size: number;
};

const openBlocks: Block[] = [];

/**
 * Groups tests; may stand within another group.
 *
 * @param name - The thing or the method under test.
 * @param body - Declares the tests.
 */
export function describe(name: string, body: () => void): void {
	const parent = openBlocks.at(-1);
	const path = parent === undefined ? name : `${parent.path} > ${name}`;
	const block: Block = {path, tests: suite(path), size: 0};
	openBlocks.push(block);
	body();
	openBlocks.pop();
	if (block.size > 0) {
		block.tests.run();
	}
}

/**
 * Declares one test of the innermost group.
 *
 * @param name - What must hold.
 * @param body - The test; it fails by throwing.
 * @throws Error if no group is open.
 */
export function it(name: string, body: TestBody): void {
	const block = openBlocks.at(-1);
	if (block === undefined) {
		throw new Error(`The test "${name}" stands outside of describe.`);
	}

	block.size++;
	const fullName = `${block.path} > ${name}`;
	block.tests(name, isKnownRed(fullName) ? passOver(fullName, body) : body);
}

function passOver(fullName: string, body: TestBody): TestBody {
	return async () => {
		try {
			await body();
		} catch (error) {
			console.log(`\nKNOWN-RED ${fullName}: ${String(error)}`);
		}
	};
}
